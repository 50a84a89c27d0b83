// A request in flight and its attempts: plain state, changed by RequestRouter, and by ErrorAttribution where
// said.
#pragma once
#include <algorithm>
#include <array>
#include <cstddef>

#include "base/time.hpp"
#include "policy/types.hpp"

namespace ashbeam::policy {

struct Attempt {
  EndpointIndex endpoint = 0;
  ReleaseVersion version = 0;  // of the endpoint when the attempt was sent
  Instant sent_at;
  double predicted_ms = 0;
  double load = 0;  // our other attempts in flight at the endpoint when it was sent
  bool in_flight = false;
  bool may_have_run = false;  // true while it is in flight
};

// An error answer of an endpoint whose cause is not settled yet, see ErrorAttribution.
struct UnsettledError {
  enum class State : std::uint8_t {
    kNone,
    kPending,         // the endpoint or the request is at fault
    kRequestAtFault,  // two endpoints have answered it with an error
  };
  State state = State::kNone;
  EndpointIndex endpoint = 0;
  Instant sent_at;
};

// What is done with a request when its timer is due.
enum class NextStep : std::uint8_t { kNone, kRoute, kHedge, kRejectOrFail };

struct Request {
  static constexpr std::size_t kMaxAttempts = 8;

  RequestId id = 0;
  bool is_in_use = false;  // its slot is in use
  bool answered = false;   // it has its final answer; attempts may still be in flight
  unsigned request_class = 0;
  std::uint64_t sticky_key = 0;
  double weight = 1;                // against the mean request's
  double max_latency_fraction = 1;  // the part of the time left that an attempt may be predicted to take
  Instant objective_deadline;       // an answer by then is in time
  Instant deadline;                 // the final answer is due, with a margin before the client's own deadline
  std::array<Attempt, kMaxAttempts> attempts;
  unsigned attempt_count = 0;
  UnsettledError error;
  Instant next_step_at = Instant::never();
  NextStep next_step = NextStep::kNone;

  double ms_to_objective(Instant now) const { return (objective_deadline - now).ms(); }
  bool has_attempt_in_flight() const {
    return std::any_of(attempts.begin(), attempts.begin() + attempt_count,
                       [](const Attempt& attempt) { return attempt.in_flight; });
  }
  // Has it run, or may it yet?
  bool may_have_run() const {
    return std::any_of(attempts.begin(), attempts.begin() + attempt_count,
                       [](const Attempt& attempt) { return attempt.may_have_run; });
  }
  void schedule(NextStep step, Instant at) {
    next_step = step;
    next_step_at = at;
  }
};

}  // namespace ashbeam::policy
