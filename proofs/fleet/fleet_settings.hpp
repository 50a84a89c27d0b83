// The settings of a router of the simulated fleet: three request classes, one per idempotency, two zones, two
// machine types and three stages. The fault test of fleets and the benchmark of router decisions share them.
#pragma once
#include "policy/router_policy.hpp"

namespace ashbeam {

inline RequestClass fleet_request_class(Idempotency idempotency) {
  return {idempotency, IdempotencyScope::kZone, Duration::ms(700), Duration::ms(2400), Duration::s(5), 1, 0};
}

// `quota_per_s` is the tenants' quota for all routers together, in requests per second.
inline RouterSettings fleet_settings(unsigned routers, double quota_per_s) {
  RouterSettings settings;
  settings.request_classes = {fleet_request_class(Idempotency::kIdempotent),
                              fleet_request_class(Idempotency::kKeyed),
                              fleet_request_class(Idempotency::kUnsafe)};
  settings.tenant_quota_per_s = {quota_per_s};
  settings.zone_count = 2;
  settings.machine_type_count = 2;
  settings.router_count = routers;
  settings.may_cancel = true;
  settings.may_send_retry_after = true;
  settings.max_retry_after = Duration::s(2);
  settings.max_attempts = 4;
  settings.drain_grace = Duration::s(1);
  settings.slow_start_window = Duration::s(1);
  settings.slow_start_duration = Duration::s(3);
  settings.clock_tolerance = Duration::ms(1);
  settings.initial_capacity_fraction = 0.33;
  settings.cross_zone_cost = 0.08;
  settings.exposure_caps = {0.1, 0.4, 1.0};
  settings.stage_endpoint_fractions = {0.08, 0.25, 1.0};
  settings.exposure_per_class = true;
  settings.exposure_allowance = 2;
  settings.exposure_window = Duration::s(2);
  settings.vote_ttl = Duration::s(10);
  settings.bake_time = Duration::s(2);
  settings.abort_votes_needed = routers / 6;
  settings.max_platform_calls_per_s = 16;
  return settings;
}

}  // namespace ashbeam
