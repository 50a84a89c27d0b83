// The attempts of a simulated fleet at its endpoints, and the handling of its events.
#include <algorithm>
#include <cmath>
#include <deque>
#include <utility>

#include "fleet.hpp"

namespace ashbeam {
namespace {

constexpr Duration kNetworkDelay = Duration::ms(1);
constexpr Duration kConnectTimeout = Duration::ms(250);
constexpr Duration kCancelDelay = Duration::ms(5);
constexpr Duration kMaxQueue = Duration::s(2);  // an endpoint rejects requests while its queue is longer
constexpr unsigned kUnsafeClass = 2;
constexpr unsigned kBadReleaseErrorOneIn = 3;
constexpr unsigned kSampledOneIn = 10;

}  // namespace

// ---- Attempts ----

void Fleet::send_attempt(SimulatedRouter& router, RequestId id, EndpointIndex index) {
  SimulatedRequest& request = router.requests[id];
  SimulatedEndpoint& endpoint = endpoints_[index];
  count_attempt(router, request, index);
  const auto attempt = static_cast<unsigned>(request.attempts.size());
  request.attempts.push_back({index, now_, true, true});
  if (!endpoint.accepts_connections()) {
    events_.schedule(now_ + kConnectTimeout,
                     AttemptEnded{router.process(), id, attempt, AttemptResult::kConnectFailed});
    return;
  }
  const SimulatedAnswer answer = serve(endpoint, request);
  events_.schedule(answer.at, AttemptEnded{router.process(), id, attempt, answer.result});
}

void Fleet::count_attempt(SimulatedRouter& router, const SimulatedRequest& request, EndpointIndex endpoint) {
  if (request.done) ++counts_.repeated_answers;
  if (request.request_class == kUnsafeClass) {
    const bool may_have_run = std::any_of(
        request.attempts.begin(), request.attempts.end(),
        [](const SimulatedAttempt& attempt) { return attempt.in_flight || attempt.may_have_run; });
    ++counts_.unsafe_sent;
    if (!request.attempts.empty()) ++counts_.unsafe_retried;
    if (may_have_run) ++counts_.unsafe_repeated;
  }
  if (now_ - router.drain_notified_at[endpoint] > settings_.drain_grace) ++counts_.sent_after_drain_grace;
  if (endpoints_[endpoint].version == kCanaryVersion) count_canary_attempt(router, request.request_class);
}

void Fleet::count_canary_attempt(SimulatedRouter& router, unsigned request_class) {
  const Instant window_begin = now_ - settings_.exposure_window;
  std::deque<Instant>& attempts = router.canary_attempts_at[request_class];
  std::deque<Instant>& requests = router.requests_at[request_class];
  attempts.push_back(now_);
  while (attempts.front() < window_begin) attempts.pop_front();
  while (!requests.empty() && requests.front() < window_begin) requests.pop_front();
  ++counts_.canary_sent;
  if (release_ != FleetRelease::kNone) return;
  const double most =
      settings_.exposure_allowance + settings_.exposure_caps[0] * static_cast<double>(requests.size());
  if (static_cast<double>(attempts.size()) > most) ++counts_.over_exposure_cap;
}

Fleet::SimulatedAnswer Fleet::serve(SimulatedEndpoint& endpoint, const SimulatedRequest& request) {
  const double work_ms = -std::log(1 - random_.next_double()) * kMeanWorkMs;
  endpoint.add_work(now_, work_ms, settings_);
  const bool cold = endpoint.is_cold(now_, settings_);
  if (cold) count_overload(endpoint);
  const Instant queue_end = endpoint.enqueue(now_, work_ms, settings_);
  const Instant end = std::max(queue_end, now_ + Duration::ms(work_ms)) + kNetworkDelay;
  const AttemptResult result = attempt_result(endpoint, end, request.deadline);
  if (cold && result == AttemptResult::kOk && !std::exchange(endpoint.answered_since_cold, true))
    ++counts_.cold_answered;
  if (random_.next_below(kSampledOneIn) == 0)
    platform_.count_outcome(endpoint.version, request.request_class, result != AttemptResult::kOk);
  const bool rejected = result == AttemptResult::kRejected;
  return {rejected ? now_ + kNetworkDelay * 2 : std::min(end, request.deadline), result};
}

void Fleet::count_overload(SimulatedEndpoint& endpoint) {
  const double overload_work_ms = endpoint.overload_work_ms(now_, settings_);
  counts_.cold_peak_ratio = std::max(counts_.cold_peak_ratio, endpoint.window_work_ms() / overload_work_ms);
  if (endpoint.window_work_ms() <= overload_work_ms) return;
  endpoint.overloaded = true;
  ++counts_.cold_overloads;
}

AttemptResult Fleet::attempt_result(const SimulatedEndpoint& endpoint, Instant end, Instant deadline) {
  AttemptResult result = end < deadline ? AttemptResult::kOk : AttemptResult::kTimeout;
  const bool bad_version = release_ == FleetRelease::kBad && endpoint.version == kCanaryVersion;
  if (bad_version && random_.next_below(kBadReleaseErrorOneIn) == 0) {
    result = AttemptResult::kError;
    ++counts_.canary_errors;
  }
  if (endpoint.free_at() - now_ > kMaxQueue) result = AttemptResult::kRejected;
  return result;
}

void Fleet::cancel_attempt(SimulatedRouter& router, RequestId request, unsigned attempt) {
  events_.schedule(now_ + kCancelDelay,
                   AttemptEnded{router.process(), request, attempt, AttemptResult::kCancelled});
}

void Fleet::schedule_wakeup(SimulatedRouter& router, Duration delay, std::uint64_t token) {
  events_.schedule(now_ + delay, Wakeup{router.process(), token});
}

// ---- Events ----

void Fleet::run_due_events() {
  while (events_.has_due(now_)) {
    const EventBody body = events_.pop();
    std::visit([this](const auto& event) { handle(event); }, body);
  }
}

// Returns the router with its clock set to now, or null if that process has ended.
SimulatedRouter* Fleet::running_router(const RouterProcess& process) {
  SimulatedRouter& router = routers_[process.router];
  if (!router.policy || process.incarnation != router.incarnation) return nullptr;
  router.policy->set_time(now_);
  return &router;
}

void Fleet::handle(const AttemptEnded& event) {
  SimulatedRouter* const router = running_router(event.process);
  if (!router) return;
  SimulatedRequest& request = router->requests[event.request];
  SimulatedAttempt& attempt = request.attempts[event.attempt];
  if (!attempt.in_flight) return;
  attempt.in_flight = false;
  attempt.may_have_run =
      event.result != AttemptResult::kRejected && event.result != AttemptResult::kConnectFailed;
  const bool answers_client = event.result == AttemptResult::kOk && !request.done;
  if (answers_client) {
    request.done = true;
    ++counts_.answered;
  }
  router->policy->on_attempt_end(
      {event.request, event.attempt, attempt.endpoint, event.result, now_ - attempt.sent_at, answers_client});
}

void Fleet::handle(const Wakeup& event) {
  SimulatedRouter* const router = running_router(event.process);
  if (router) router->policy->on_wakeup(event.token);
}

void Fleet::handle(const ClientRetry& event) {
  SimulatedRouter* const router = running_router(event.process);
  if (router) send_request(*router, event.retries_left);
}

void Fleet::handle(const VoteAnswered& event) {
  SimulatedRouter* const router = running_router(event.process);
  if (!router) return;
  if (event.outcome == VoteOutcome::kAccepted) {
    router->policy->on_release_state(platform_.release_state(now_));
  } else {
    router->policy->on_vote_refused(event.outcome);
  }
}

void Fleet::handle(const ReleaseStateNotice& event) {
  SimulatedRouter* const router = running_router(event.process);
  if (router) router->policy->on_release_state(platform_.release_state(now_));
}

void Fleet::handle(const OutcomeSampleNotice& event) {
  SimulatedRouter* const router = running_router(event.process);
  if (!router) return;
  for (const OutcomeSample& sample : platform_.outcome_samples()) router->policy->on_outcome_sample(sample);
}

void Fleet::handle(const EndpointNotice& event) {
  SimulatedRouter& router = routers_[event.router];
  if (!router.policy) return;
  router.policy->set_time(now_);
  const SimulatedEndpoint& endpoint = endpoints_[event.endpoint];
  Instant& drain_notified_at = router.drain_notified_at[event.endpoint];
  if (endpoint.draining && drain_notified_at == Instant::never()) {
    drain_notified_at = now_;
    ++counts_.drains_notified;
  }
  const EndpointState state = endpoint.draining ? EndpointState::kDraining : EndpointState::kReady;
  router.policy->begin_endpoint_update(false);
  router.policy->update_endpoint({event.endpoint, state, endpoint.version, endpoint.zone, event.endpoint,
                                  endpoint.machine_type, endpoint.started_at});
  router.policy->end_endpoint_update();
}

void Fleet::handle(const EndpointStarted& event) {
  endpoints_[event.endpoint].deployed = true;
  start_endpoint(event.endpoint);
}

}  // namespace ashbeam
