// Determines whether the endpoint or the request itself caused an error answer.
//
// An error answer does not count against its endpoint until the request has ended. If a second endpoint
// answers the request with an error as well, the request is at fault, and the errors count against neither
// endpoint. If a second endpoint serves the request, the first endpoint is at fault. If no other endpoint has
// answered the request, the error counts partially: the more often requests have been at fault recently, the
// less it counts.
#pragma once
#include <optional>

#include "policy/request.hpp"

namespace ashbeam::policy {

// An error that counts against an endpoint.
struct SettledError {
  EndpointIndex endpoint = 0;
  Instant sent_at;     // When the attempt was sent.
  double failure = 1;  // From 0 (does not count) to 1 (counts as a full failure).
};

class ErrorAttribution {
 public:
  // Called when an endpoint has answered an attempt of the request with an error.
  void add_error(Request& request, const Attempt& attempt) {
    UnsettledError& error = request.error;
    if (error.state == UnsettledError::State::kNone) {
      error = {UnsettledError::State::kPending, attempt.endpoint, attempt.sent_at};
      return;
    }
    const bool same_endpoint =
        error.state == UnsettledError::State::kPending && error.endpoint == attempt.endpoint;
    if (same_endpoint) return;
    request_fault_rate_ += kFaultRateWeight * (1 - request_fault_rate_);
    error.state = UnsettledError::State::kRequestAtFault;
  }

  // Called when the request has its final answer; `served` says whether an endpoint has answered it
  // successfully. Returns the error that counts against an endpoint, if there is one.
  std::optional<SettledError> settle(Request& request, bool served) {
    UnsettledError& error = request.error;
    if (error.state != UnsettledError::State::kPending) return std::nullopt;
    if (served) request_fault_rate_ -= kFaultRateWeight * request_fault_rate_;
    const double failure = served ? 1 : 1 - request_fault_rate_;
    error.state = UnsettledError::State::kNone;
    return SettledError{error.endpoint, error.sent_at, failure};
  }

 private:
  // Weight of a new error in `request_fault_rate_`.
  static constexpr double kFaultRateWeight = 0.15;

  // Moving average of the fraction of errors that the requests themselves caused.
  double request_fault_rate_ = 0;
};

}  // namespace ashbeam::policy
