#include "policy/endpoint_monitor.hpp"

#include <algorithm>

namespace ashbeam::policy {

namespace {

// An endpoint with attempts in flight counts as failed once if it does not respond for this time, or for this
// multiple of its expected time between responses if that is longer.
constexpr Duration kMinUnresponsiveTime = Duration::ms(800);
constexpr double kUnresponsiveFactor = 4;

// An endpoint has peers if at least this number of endpoints of its role are ready.
constexpr std::size_t kMinPeers = 2;

}  // namespace

void EndpointMonitor::scan(Instant now) {
  const RouterSettings& settings = parts_.settings;
  parts_.latency.decay_stale_estimates(now);
  parts_.capacity.begin_scan();
  parts_.slow_start.begin_scan(now);
  parts_.balancer.clear_slow_start_endpoints();
  in_service_ = {};
  ready_capacity_ = 0;
  const Duration window = std::max(settings.exposure_window, settings.slow_start_window);
  const double arrivals = parts_.arrivals.sum_class_counts_since(now - window + settings.clock_tolerance);
  EndpointIndex index = 0;
  for (Endpoint& endpoint : parts_.endpoints) {
    if (endpoint.state == EndpointState::kReady) scan_endpoint(index, endpoint, now);
    ++index;
  }
  parts_.capacity.end_scan();
  parts_.slow_start.end_scan(arrivals * (settings.slow_start_window / window), ready_capacity_);
}

void EndpointMonitor::scan_endpoint(EndpointIndex index, Endpoint& endpoint, Instant now) {
  const double limit = parts_.slow_start.attempt_limit(endpoint, now);
  const bool is_limited_by_jitter = limit < 1;
  if (is_limited_by_jitter && endpoint.zone == parts_.settings.zone && endpoint.slow_start.jitter < limit)
    parts_.balancer.add_slow_start_endpoint(index);
  if (endpoint.attempts_in_flight > 0) count_unresponsiveness(index, endpoint, now);
  if (endpoint.outlier.ejected) parts_.outliers.readmit_if_recovered(index, endpoint, now);

  const ReleaseRole role = parts_.release.evidence_role(endpoint.version);
  const double capacity = parts_.slow_start.capacity(endpoint, now);
  ready_capacity_ += capacity;
  parts_.capacity.add(endpoint, role, is_limited_by_jitter ? 0 : expected_attempts(endpoint, capacity));
  if (endpoint.outlier.ejected) return;

  in_service_.endpoints[role] += 1;
  in_service_.capacity += capacity;
  in_service_.outcomes[role].merge(endpoint.outcomes_by_class.back());
  const bool stable = !parts_.release.is_capped(endpoint.version);
  if (stable && parts_.slow_start.is_reliably_warm(endpoint, now))
    parts_.slow_start.add_warm_stable(endpoint, now);
}

void EndpointMonitor::count_unresponsiveness(EndpointIndex index, Endpoint& endpoint, Instant now) {
  const Duration unresponsive_time = now - std::max(endpoint.last_response_at, endpoint.unanswered_since);
  const Duration expected_gap = Duration::ms(parts_.latency.expected_response_gap_ms(endpoint, now));
  if (unresponsive_time <= std::max(kMinUnresponsiveTime, expected_gap * kUnresponsiveFactor)) return;
  endpoint.last_response_at = now;
  add_outcome(index, 1, now);
}

double EndpointMonitor::expected_attempts(const Endpoint& endpoint, double capacity) const {
  const SlowStart::ExpectedAttempts expected = parts_.slow_start.expected_attempts(endpoint.machine_type);
  return capacity *
         (expected.attempts * parts_.latency.peers_estimate_ms(endpoint.zone, expected.machine_type) /
          parts_.latency.peers_estimate_ms(endpoint));
}

void EndpointMonitor::add_outcome(EndpointIndex index, double failure, Instant now) {
  Endpoint& endpoint = parts_.endpoints[index];
  parts_.outliers.add_outcome(index, endpoint, failure, peers_of(endpoint), now);
}

OutlierPeers EndpointMonitor::peers_of(const Endpoint& endpoint) const {
  const ReleaseRole role = parts_.release.evidence_role(endpoint.version);
  const std::size_t ready =
      role == ReleaseRole::kCanary ? parts_.endpoints.canary_ready() : parts_.endpoints.stable_ready();
  const bool is_only_canary = ready < kMinPeers && parts_.release.is_capped(endpoint.version);
  return {in_service_.outcomes[role].failure_rate(), is_only_canary};
}

}  // namespace ashbeam::policy
