#include "policy/request_router.hpp"

#include <algorithm>

namespace ashbeam::policy {

namespace {

constexpr Duration kTick = Duration::ms(20);
constexpr Duration kMaxEndpointPollInterval = Duration::s(3);
// The final answer is sent this long before the client's deadline, so that it arrives in time.
constexpr Duration kAnswerDeadlineMargin = Duration::ms(26);

// Tokens of schedule_wakeup().
constexpr std::uint64_t kTickToken = 1;
constexpr std::uint64_t kWatchRetryToken = 2;

// A request waits for an endpoint while more than this multiple of its class's mean latency is left before
// its objective deadline.
constexpr double kMinWaitTimeFactor = 1.5;
// A request is retried while more than this multiple of its class's mean latency is left before its deadline.
constexpr double kMinRetryTimeFactor = 0.5;

// An attempt is hedged after this multiple of its predicted latency, clamped to these fractions of the
// latency objective.
constexpr double kHedgeDelayFactor = 3;
constexpr double kMinHedgeDelayFraction = 0.35;
constexpr double kMaxHedgeDelayFraction = 0.65;

// Retry-After is drawn evenly from this minimum and range.
constexpr double kMinRetryAfterMs = 150;
constexpr double kRetryAfterRangeMs = 300;

}  // namespace

RequestRouter::RequestRouter(const RouterSettings& settings, std::uint64_t seed, RouterActions& actions)
    : settings_(settings), actions_(actions), log_(actions), random_(seed),
      endpoints_(settings_.request_classes.size(), settings_.machine_type_count),
      arrivals_(settings_.request_classes.size(),
                std::max(settings_.exposure_window, settings_.slow_start_window),
                settings_.max_counted_events),
      latency_(settings_), slow_start_(settings_), capacity_(settings_), exposure_(settings_, arrivals_),
      sticky_keys_(settings_.sticky_keys, settings_.max_sticky_keys),
      guards_(settings_, endpoints_, release_, exposure_, slow_start_, sticky_keys_),
      balancer_({settings_, endpoints_, release_, latency_, slow_start_, capacity_, sticky_keys_}, guards_,
                random_),
      admission_(settings_), retry_budget_(settings_.router_count), outliers_(log_, random_),
      monitor_({settings_, endpoints_, release_, arrivals_, latency_, slow_start_, capacity_, balancer_,
                outliers_}),
      regression_({settings_, endpoints_, release_, latency_, arrivals_, log_}),
      outcomes_({endpoints_, release_, monitor_, latency_, slow_start_, regression_}),
      controller_({settings_, endpoints_, monitor_, release_, regression_, log_, actions_, random_}),
      endpoint_watch_pacing_(std::min(settings_.endpoint_poll_interval, kMaxEndpointPollInterval)) {}

void RequestRouter::start() {
  controller_.start(now_);
  slow_start_.start(now_);
  actions_.schedule_wakeup(kTick, kTickToken);
  if (settings_.must_watch_endpoints) actions_.watch_endpoints();
}

// ---- The endpoint list ----

void RequestRouter::begin_endpoint_update(bool complete) {
  endpoint_watch_pacing_.on_success();
  endpoints_.begin_update(complete);
}

void RequestRouter::update_endpoint(const EndpointUpdate& update) {
  endpoints_.update(update, now_, random_);
  latency_.ensure_zone(update.zone);
  slow_start_.ensure_zone(update.zone);
  capacity_.ensure_zone(update.zone);
}

void RequestRouter::end_endpoint_update() {
  if (const auto lowest_version = endpoints_.end_update()) release_.assume_released(*lowest_version);
  slow_start_.set_endpoint_count(endpoints_.max_ready(), now_);
  endpoints_.count_roles(release_);
}

// The current list stays in use until its lease expires.
void RequestRouter::on_endpoint_watch_failed(EndpointWatchFailure failure) {
  // Where the list is pushed, a change counts as notified as soon as discovery is available again. The next
  // call has to follow within the drain grace, unless discovery may be overloaded.
  const bool soon = !settings_.must_watch_endpoints && failure != EndpointWatchFailure::kOther;
  const double random_fraction = random_.next_double();
  const Duration delay =
      soon ? CallPacing::short_delay(random_fraction) : endpoint_watch_pacing_.on_failure(random_fraction);
  actions_.schedule_wakeup(delay, kWatchRetryToken);
}

void RequestRouter::set_endpoint_list_validity(const EndpointListValidity& validity) {
  guards_.set_list_validity(validity);
}

void RequestRouter::on_endpoint_accepted_request(EndpointIndex endpoint, Instant sent) {
  if (!endpoints_.contains(endpoint)) return;
  Instant& last_accepted = endpoints_[endpoint].last_accepted;
  last_accepted = std::max(last_accepted, sent);
}

// ---- The release ----

void RequestRouter::on_release_state(const ReleaseState& state) {
  if (controller_.on_release_state(state, now_)) end_endpoint_update();
}

void RequestRouter::on_vote_refused(VoteOutcome outcome) { controller_.on_vote_refused(outcome, now_); }

void RequestRouter::on_outcome_sample(const OutcomeSample& sample) { regression_.add_sample(sample); }

void RequestRouter::on_disputed_answer(const DisputedAnswer& disputed) {
  regression_.add_disputed_answer(disputed, now_);
}

// ---- Steps of a request ----

void RequestRouter::on_request(const RequestArrival& arrival) {
  if (arrival.request_class >= settings_.request_classes.size()) return actions_.fail(arrival.request);
  const std::uint32_t slot = requests_.allocate();
  request_slots_.put(arrival.request, slot);
  Request& request = requests_[slot];
  request.id = arrival.request;
  request.is_in_use = true;
  request.request_class = arrival.request_class;
  request.sticky_key = arrival.sticky_key;
  request.deadline = arrival.deadline - kAnswerDeadlineMargin;
  request.objective_deadline = std::min(now_ + class_of(request).latency_objective, request.deadline);
  admission_.on_request(request, arrival.tenant, latency_.class_mean_ms(request.request_class));
  arrivals_.add(request.request_class, now_);
  retry_budget_.on_request();
  route(request);
}

void RequestRouter::route(Request& request) {
  const auto selection = choose_endpoint(request);
  if (!selection) return wait_for_endpoint(request);
  const bool endpoint_is_idle = endpoints_[selection->endpoint].attempts_in_flight == 0;
  const bool admitted = admission_.admits(request, *selection, endpoint_is_idle, now_, random_);
  if (!admitted && guards_.may_reject(request)) return reject_or_fail(request);
  send(request, *selection, false);
}

void RequestRouter::wait_for_endpoint(Request& request) {
  const bool may_be_sent =
      class_of(request).idempotency == Idempotency::kIdempotent || !request.may_have_run();
  const double min_time_left_ms = latency_.class_mean_ms(request.request_class) * kMinWaitTimeFactor;
  const bool should_wait = may_be_sent && request.ms_to_objective(now_) > min_time_left_ms &&
                           endpoints_.ready() > 0 && guards_.is_list_valid(now_);
  if (!should_wait) return reject_or_fail(request);
  request.schedule(NextStep::kRoute, now_ + kTick);
}

void RequestRouter::send(Request& request, const Selection& selection, bool is_hedge) {
  Endpoint& endpoint = endpoints_[selection.endpoint];
  Attempt& attempt = request.attempts[request.attempt_count++];
  attempt.endpoint = selection.endpoint;
  attempt.version = endpoint.version;
  attempt.sent_at = now_;
  attempt.predicted_ms = selection.predicted_ms;
  attempt.load = endpoint.attempts_in_flight;
  attempt.in_flight = true;
  attempt.may_have_run = true;
  ++endpoint.attempts_in_flight;
  if (endpoint.unanswered_since <= endpoint.last_response_at) endpoint.unanswered_since = now_;
  slow_start_.add_attempt(endpoint, now_);
  if (release_.is_capped(endpoint.version)) exposure_.add_canary_attempt(request.request_class, now_);
  actions_.send_attempt(request.id, selection.endpoint);
  request.schedule(NextStep::kRejectOrFail, request.deadline);
  if (!is_hedge) schedule_hedge(request, selection);
}

void RequestRouter::schedule_hedge(Request& request, const Selection& selection) {
  const RequestClass& request_class = class_of(request);
  if (request_class.idempotency == Idempotency::kUnsafe) return;
  if (request.attempt_count >= guards_.max_attempts()) return;
  if (!settings_.may_hedge && !settings_.may_cancel) return;
  const double objective_ms = request_class.latency_objective.ms();
  const Duration delay =
      Duration::ms(std::clamp(kHedgeDelayFactor * selection.predicted_ms,
                              kMinHedgeDelayFraction * objective_ms, kMaxHedgeDelayFraction * objective_ms));
  if (now_ + delay + kTick < request.deadline) request.schedule(NextStep::kHedge, now_ + delay);
}

void RequestRouter::hedge_or_cancel(Request& request) {
  request.schedule(NextStep::kRejectOrFail, request.deadline);
  if (!retry_budget_.allows_hedge() || request.attempt_count >= guards_.max_attempts()) return;
  if (now_ >= request.objective_deadline) return;
  const auto selection = choose_endpoint(request);
  if (!selection || selection->predicted_ms > request.ms_to_objective(now_)) return;
  retry_budget_.spend_hedge();
  if (!settings_.may_hedge) return actions_.cancel_attempt(request.id, request.attempt_count - 1);
  send(request, *selection, true);
}

void RequestRouter::retry_or_reject(Request& request, AttemptResult result) {
  if (request.has_attempt_in_flight()) return;
  const Duration min_time_left =
      Duration::ms(latency_.class_mean_ms(request.request_class) * kMinRetryTimeFactor);
  const bool has_time_left = now_ + min_time_left < request.deadline;
  const bool has_attempts_left = request.attempt_count < guards_.max_attempts();
  if (result == AttemptResult::kLocalFailure && has_time_left && has_attempts_left) {
    // Nothing was sent, so the retry costs no budget. The delay lets this machine recover.
    const auto backoff = static_cast<double>(1U << request.attempt_count);
    return request.schedule(NextStep::kRoute, now_ + kTick * backoff);
  }
  const bool is_request_at_fault = request.error.state == UnsettledError::State::kRequestAtFault;
  if (!has_time_left || !has_attempts_left || !retry_budget_.allows_retry() || is_request_at_fault)
    return reject_or_fail(request);
  retry_budget_.spend_retry();
  route(request);
}

void RequestRouter::reject_or_fail(Request& request) {
  if (guards_.may_reject(request) && now_ < request.deadline) actions_.reject(request.id, draw_retry_after());
  else actions_.fail(request.id);
  finish(request, false);
}

void RequestRouter::finish(Request& request, bool served) {
  outcomes_.on_request_end(request, served, now_);
  request.answered = true;
  request.schedule(NextStep::kNone, Instant::never());
  for (unsigned i = 0; i < request.attempt_count; ++i) {
    if (request.attempts[i].in_flight && settings_.may_cancel) actions_.cancel_attempt(request.id, i);
  }
  deallocate_if_done(request);
}

void RequestRouter::deallocate_if_done(Request& request) {
  if (request.has_attempt_in_flight()) return;
  const std::uint32_t slot = request_slots_.find(request.id);
  request_slots_.erase(request.id);
  request.is_in_use = false;
  requests_.deallocate(slot);
}

void RequestRouter::on_attempt_end(const AttemptEnd& end) {
  Request* const request = find_request(end.request);
  if (!request || !endpoints_.contains(end.endpoint)) return;
  if (end.attempt >= request->attempt_count || !request->attempts[end.attempt].in_flight) return;
  Attempt& attempt = request->attempts[end.attempt];
  end_attempt(attempt, endpoints_[end.endpoint], end.result);
  outcomes_.on_attempt_end(*request, attempt, end.result, end.duration, now_);
  if (end.result == AttemptResult::kOk && attempt.version >= release_.version())
    sticky_keys_.bind(*request, attempt.version);
  if (request->answered) deallocate_if_done(*request);
  else if (end.answered_client) finish(*request, end.result == AttemptResult::kOk);
  else retry_or_reject(*request, end.result);
}

void RequestRouter::end_attempt(Attempt& attempt, Endpoint& endpoint, AttemptResult result) const {
  attempt.in_flight = false;
  attempt.may_have_run = may_have_run(result);
  if (endpoint.attempts_in_flight > 0) --endpoint.attempts_in_flight;
  if (endpoint_answered(result)) endpoint.last_response_at = now_;
}

void RequestRouter::on_client_disconnect(RequestId id) {
  Request* const request = find_request(id);
  if (request && !request->answered) finish(*request, false);
}

Request* RequestRouter::find_request(RequestId id) {
  const std::uint32_t slot = request_slots_.find(id);
  return slot == IndexMap::kNone ? nullptr : &requests_[slot];
}

Duration RequestRouter::draw_retry_after() {
  const Duration drawn = Duration::ms(kMinRetryAfterMs + kRetryAfterRangeMs * random_.next_double());
  return settings_.may_send_retry_after ? std::min(settings_.max_retry_after, drawn) : Duration();
}

// ---- Time ----

void RequestRouter::on_wakeup(std::uint64_t token) {
  if (token == kWatchRetryToken) return actions_.watch_endpoints();
  if (token == kTickToken) on_tick();
}

void RequestRouter::on_tick() {
  actions_.schedule_wakeup(kTick, kTickToken);
  admission_.on_tick(kTick);
  monitor_.scan(now_);
  for (std::uint32_t slot = 0; slot < requests_.slot_count(); ++slot) {
    Request& request = requests_[slot];
    if (request.is_in_use && !request.answered && request.next_step_at <= now_) run_due_step(request);
  }
  controller_.on_tick(now_);
}

void RequestRouter::run_due_step(Request& request) {
  switch (request.next_step) {
    case NextStep::kNone:
      return;
    case NextStep::kRoute:
      return route(request);
    case NextStep::kHedge:
      return hedge_or_cancel(request);
    case NextStep::kRejectOrFail:
      return reject_or_fail(request);
  }
}

}  // namespace ashbeam::policy

namespace ashbeam {

std::unique_ptr<RouterPolicy> make_router_policy(const RouterSettings& settings, std::uint64_t seed,
                                                 RouterActions& actions) {
  return std::make_unique<policy::RequestRouter>(settings, seed, actions);
}

}  // namespace ashbeam
