#include "policy/slow_start.hpp"

namespace ashbeam::policy {

namespace {

// An endpoint in slow start is limited to this fraction of its share of the tenants' quotas, because machines
// of a smaller type can serve less than the mean.
constexpr double kMaxQuotaFraction = 0.75;
// While the router is new, it limits endpoints to this fraction of the load that would overload them.
constexpr double kNewRouterLoadFraction = 0.7;
// If no endpoint of the machine type has full capacity, the limit is this fraction of the even share of
// requests.
constexpr double kFallbackArrivalsFraction = 0.7;
// A zone counts as lost after this number of failures to connect without an answer.
constexpr double kZoneLostThreshold = 3;
// The weight of the attempts in one scan in the mean over time.
constexpr double kExpectedAttemptsWeight = 0.005;

}  // namespace

SlowStart::SlowStart(const RouterSettings& settings)
    : settings_(settings), machine_types_(settings.machine_type_count), zones_(settings.zone_count) {
  for (const double quota_per_s : settings.tenant_quota_per_s)
    quota_per_s_ += quota_per_s / settings.router_count;
}

void SlowStart::ensure_zone(unsigned zone) {
  if (zone >= zones_.size()) zones_.resize(zone + 1);
}

void SlowStart::set_endpoint_count(std::size_t max_ready, Instant now) {
  if (quota_per_s_ > 0 && max_ready > 0)
    quota_per_endpoint_ = quota_per_s_ * settings_.slow_start_window.s() / static_cast<double>(max_ready);
  new_router_limit_ = new_router_limit(now);
}

void SlowStart::on_connect_failed(Endpoint& endpoint, Instant now) {
  endpoint.slow_start.connect_failed_at = now;
  ZoneConnectivity& zone = zones_[endpoint.zone];
  if (++zone.connect_failures >= kZoneLostThreshold) zone.lost_at = now;
}

void SlowStart::begin_scan(Instant now) {
  new_router_limit_ = new_router_limit(now);
  for (MachineType& type : machine_types_) {
    type.attempts = 0;
    type.endpoints = 0;
  }
}

void SlowStart::add_warm_stable(Endpoint& endpoint, Instant now) {
  MachineType& type = machine_types_[endpoint.machine_type];
  type.attempts +=
      static_cast<double>(endpoint.slow_start.attempts.count_since(now - settings_.slow_start_window));
  type.endpoints += 1;
}

void SlowStart::end_scan(double arrivals, double capacity) {
  // If many requests arrive while endpoints are missing, the share of each remaining one is still limited by
  // its share of the quota.
  const double even_share =
      std::min(arrivals / std::max(capacity, 1.0), kMaxQuotaFraction * quota_per_endpoint_);
  for (MachineType& type : machine_types_) {
    if (type.endpoints == 0) {
      type.full_capacity_limit = kFallbackArrivalsFraction * even_share;
      continue;
    }
    const double mean_attempts = type.attempts / type.endpoints;
    type.full_capacity_limit = std::min(mean_attempts, even_share);
    type.expected_attempts.add(mean_attempts, kExpectedAttemptsWeight);
  }
}

SlowStart::ExpectedAttempts SlowStart::expected_attempts(unsigned machine_type) const {
  unsigned type = machine_type;
  for (unsigned other = 0; other < machine_types_.size() && machine_types_[type].expected_attempts.count == 0;
       ++other)
    type = other;
  return {type, machine_types_[type].expected_attempts.mean};
}

double SlowStart::new_router_limit(Instant now) const {
  const bool is_new = now - router_started_at_ < settings_.slow_start_duration && quota_per_endpoint_ < 1;
  if (!is_new) return kUnlimited;
  return kNewRouterLoadFraction * settings_.overload_factor * capacity_since(router_started_at_, now) *
         quota_per_endpoint_;
}

}  // namespace ashbeam::policy
