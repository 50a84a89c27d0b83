// What one router of a fleet is told: three path groups, one of each kind, two zones, two kinds of machine,
// three stages. Shared by the proof and the benchmark of decisions.
#pragma once
#include "policy/router_policy.hpp"

namespace ashbeam {

// `sold_per_s`: hits a second within the customers' shares, all routers together.
inline RouterSettings fleet_settings(unsigned routers, double sold_per_s) {
  RouterSettings t;
  for (const Idempotency r : {Idempotency::kIdempotent, Idempotency::kKeyed, Idempotency::kUnsafe})
    t.request_classes.push_back(
        {r, IdempotencyScope::kZone, Span::ms(700), Span::ms(2400), Span::s(5), 1, 0});
  t.tenant_quota_per_s = {sold_per_s};
  t.zone_count = t.machine_type_count = 2;
  t.router_count = routers;
  t.may_cancel = t.may_send_retry_after = true;
  t.max_retry_after = Span::s(2);
  t.max_attempts = 4;
  t.drain_grace = t.slow_start_window = Span::s(1);
  t.slow_start_duration = Span::s(3);
  t.clock_tick = Span::ms(1);
  t.initial_capacity = 0.33;
  t.cross_zone_cost = 0.08;
  t.exposure_caps = {0.1, 0.4, 1.0};
  t.stage_fractions = {0.08, 0.25, 1.0};
  t.exposure_per_class = true;
  t.exposure_allowance = 2;
  t.exposure_window = Span::s(2);
  t.vote_ttl = Span::s(10);
  t.bake_time = Span::s(2);
  t.abort_votes_needed = routers / 6;
  t.platform_calls_per_s = 16;
  return t;
}

}  // namespace ashbeam
