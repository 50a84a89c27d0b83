#include "routing/endpoint_list_lease.hpp"

#include <algorithm>
#include <string>

namespace ashbeam {

namespace {

// Instants further in the past than this stand for "never" (see policy::EndpointLease).
constexpr Duration kMaxAge = Duration::s(1e6);

}  // namespace

EndpointListLease::EndpointListLease(RouterContext& context, EndpointPools& pools,
                                     const policy::EndpointLeaseSettings& settings)
    : context_(context), pools_(pools), lease_(settings),
      expiry_timer_(context.loop, [this] { on_changed("not confirmed in time"); }) {}

void EndpointListLease::start() {
  configured_list_valid_until_ = context_.loop.now() + context_.limits.configured_list_validity;
  on_changed("router started");
}

void EndpointListLease::on_list_confirmed() {
  lease_.on_line_received(context_.loop.now());
  on_changed("confirmed by discovery");
}

void EndpointListLease::on_call_accepted() {
  lease_.on_call_accepted();
  publish();
}

void EndpointListLease::on_line_started() {
  lease_.on_line_started(context_.loop.now());
  publish();
}

void EndpointListLease::on_watch_ended(const WatchEnd& end) {
  const Instant now = context_.loop.now();
  lease_.on_watch_ended(now, end.reason == WatchEndReason::kSilent || end.reason == WatchEndReason::kStalled);
  if (end.reason == WatchEndReason::kRefused) lease_.on_call_refused(end.call_started_at);
  on_changed(name_of(end.reason));
}

void EndpointListLease::on_discovery_moved() {
  lease_.on_discovery_moved(context_.loop.now());
  publish();
}

void EndpointListLease::on_endpoint_answered(EndpointIndex endpoint, Instant sent,
                                             Instant connection_opened) {
  if (lease_.is_listed_process(connection_opened))
    context_.policy.at_now().on_endpoint_accepted_request(endpoint, sent);
}

void EndpointListLease::on_changed(const char* reason) {
  publish();
  const policy::LeaseState now = state();
  if (now == logged_state_) return;
  logged_state_ = now;
  log_state(reason);
}

void EndpointListLease::log_state(const char* reason) const {
  if (logged_state_ == policy::LeaseState::kFresh) return context_.log("endpoint list: lease fresh");
  const Duration age = context_.loop.now() - lease_.confirmed_at();
  const std::string confirmed = age < kMaxAge ? std::to_string(age.us() / 1000) + " ms ago" : "never";
  context_.log(std::string("endpoint list: lease ") + policy::name_of(logged_state_) + ", cause: " + reason +
               ", last confirmed " + confirmed);
}

void EndpointListLease::publish() {
  EndpointListValidity validity = lease_.validity();
  validity.valid_until = std::max(validity.valid_until, configured_list_valid_until_);
  context_.policy.at_now().set_endpoint_list_validity(validity);
  // While the list is current, no endpoint depends on its answers.
  pools_.prefer_connections(state() == policy::LeaseState::kFresh ? Instant() : lease_.confirmed_at());
  if (validity.valid_until > context_.loop.now()) {
    expiry_timer_.schedule_at(validity.valid_until);
  } else {
    expiry_timer_.cancel();
  }
}

policy::EndpointLeaseSettings endpoint_lease_settings(const Limits& limits, const RouterSettings& settings,
                                                      Duration connect_timeout) {
  policy::EndpointLeaseSettings lease;
  if (settings.must_watch_endpoints)
    lease.max_notification_delay = std::min(lease.max_notification_delay, settings.endpoint_poll_interval);
  lease.is_pushed = !settings.must_watch_endpoints;
  lease.drain_grace = settings.drain_grace;
  lease.send_delay = connect_timeout + limits.max_processing_delay + limits.max_network_delay;
  return lease;
}

}  // namespace ashbeam
