// Tells errors that a request causes from those that an endpoint causes.
//
// Job: an error answer is held back as evidence until the request has ended. One that fails at a second
// endpoint as well is at fault itself, and counts against neither endpoint. One that a second endpoint serves
// was failed by the first. What no other endpoint has confirmed or refuted counts in part, by how often
// requests have been at fault of late. Units: none. No I/O. Errors: none.
#pragma once
#include <optional>

#include "policy/request.hpp"

namespace ashbeam::policy {

// An error that counts against an endpoint.
struct SettledError {
  EndpointIndex endpoint = 0;
  Instant sent_at;     // of the attempt
  double failure = 1;  // how far it counts, 0 to 1
};

class ErrorAttribution {
 public:
  // An attempt was answered with an error.
  void add_error(Request& request, const Attempt& attempt) {
    UnsettledError& error = request.error;
    if (error.state == UnsettledError::State::kNone) {
      error = {UnsettledError::State::kPending, attempt.endpoint, attempt.sent_at};
      return;
    }
    const bool same_endpoint =
        error.state == UnsettledError::State::kPending && error.endpoint == attempt.endpoint;
    if (same_endpoint) return;
    request_fault_rate_ += kRateWeight * (1 - request_fault_rate_);
    error.state = UnsettledError::State::kRequestAtFault;
  }

  // The request has its final answer; `served`: an endpoint's. Returns the error that counts, if one does.
  std::optional<SettledError> settle(Request& request, bool served) {
    UnsettledError& error = request.error;
    if (error.state != UnsettledError::State::kPending) return std::nullopt;
    if (served) request_fault_rate_ -= kRateWeight * request_fault_rate_;
    const double failure = served ? 1 : 1 - request_fault_rate_;
    error.state = UnsettledError::State::kNone;
    return SettledError{error.endpoint, error.sent_at, failure};
  }

 private:
  static constexpr double kRateWeight = 0.15;

  double request_fault_rate_ = 0;  // of errors, how many were requests' own
};

}  // namespace ashbeam::policy
