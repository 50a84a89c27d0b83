// The state of a request in flight and of its attempts. RequestRouter changes all of it, except that
// Admission sets Request::weight and max_latency_fraction, and ErrorAttribution changes Request::error.
#pragma once
#include <algorithm>
#include <array>
#include <cstddef>

#include "base/time.hpp"
#include "policy/types.hpp"

namespace ashbeam::policy {

struct Attempt {
  EndpointIndex endpoint = 0;
  ReleaseVersion version = 0;  // The endpoint's version when the attempt was sent.
  Instant sent_at;
  double predicted_ms = 0;  // The latency that was predicted when the attempt was sent.
  double load = 0;          // This router's other attempts in flight at the endpoint at that time.
  bool in_flight = false;
  bool may_have_run = false;  // Whether the endpoint may have executed the request. True while in flight.
};

// An error answer of an endpoint whose cause is not known yet. See ErrorAttribution.
struct UnsettledError {
  enum class State : std::uint8_t {
    kNone,
    kPending,         // Either the endpoint or the request is at fault.
    kRequestAtFault,  // Two endpoints have answered the request with an error.
  };
  State state = State::kNone;
  EndpointIndex endpoint = 0;
  Instant sent_at;  // When the attempt that failed was sent.
};

// What RequestRouter does with a request when its timer expires.
enum class NextStep : std::uint8_t { kNone, kRoute, kHedge, kRejectOrFail };

struct Request {
  static constexpr std::size_t kMaxAttempts = 8;

  RequestId id = 0;
  bool is_in_use = false;  // Whether this slot holds a request.
  bool answered = false;   // Whether it has its final answer. Attempts may still be in flight.
  unsigned request_class = 0;
  std::uint64_t sticky_key = 0;
  double weight = 1;  // The value of the request, relative to the mean request.
  // The maximum predicted latency with which the request is admitted, as a fraction of the time left.
  double max_latency_fraction = 1;
  Instant objective_deadline;  // An answer by this time meets the latency objective.
  Instant deadline;            // The final answer is due, with a margin before the client's own deadline.
  std::array<Attempt, kMaxAttempts> attempts;
  unsigned attempt_count = 0;
  UnsettledError error;
  Instant next_step_at = Instant::never();
  NextStep next_step = NextStep::kNone;

  // Returns the time left until the objective deadline. Negative after it.
  double ms_to_objective(Instant now) const { return (objective_deadline - now).ms(); }
  bool has_attempt_in_flight() const {
    return std::any_of(attempts.begin(), attempts.begin() + attempt_count,
                       [](const Attempt& attempt) { return attempt.in_flight; });
  }
  // Returns whether an endpoint may have executed the request or may still execute it.
  bool may_have_run() const {
    return std::any_of(attempts.begin(), attempts.begin() + attempt_count,
                       [](const Attempt& attempt) { return attempt.may_have_run; });
  }
  // Replaces the step that is scheduled, if any.
  void schedule(NextStep step, Instant at) {
    next_step = step;
    next_step_at = at;
  }
};

}  // namespace ashbeam::policy
