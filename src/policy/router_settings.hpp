// The settings of a router, fixed at its start: the request classes, what the platform permits, and the
// limits of the routing rules. terms/ reads them from the deployment's settings and defines the names of the
// keys.
#pragma once
#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/time.hpp"
#include "policy/types.hpp"

namespace ashbeam {

// A class of requests with the same priority, latency objective and idempotency.
struct RequestClass {
  Idempotency idempotency = Idempotency::kIdempotent;
  IdempotencyScope scope = IdempotencyScope::kAll;  // Used only if `idempotency` is kKeyed.
  Duration latency_objective;                       // An answer is in time if it arrives within this.
  Duration client_timeout;
  Duration key_retention;           // How long endpoints remember the idempotency key of a keyed request.
  double priority_weight = 1;       // The value of an answer in time, relative to other classes.
  double late_priority_weight = 0;  // The value of a late answer, relative to other classes.
};

struct RouterSettings {
  // ---- Requests ----
  std::vector<RequestClass> request_classes;
  // The quota of each tenant in requests per second, for all routers together.
  std::vector<double> tenant_quota_per_s;
  // Requests over their tenant's quota have their weight multiplied by this.
  double over_quota_weight_factor = 1;

  // ---- This router and the fleet ----
  std::uint32_t zone_count = 1;
  std::uint32_t zone = 0;  // The zone of this router.
  std::uint32_t machine_type_count = 1;
  std::uint32_t router_count = 1;
  std::uint32_t router_index = 0;  // The index of this router in the fleet.

  // ---- What the platform permits ----
  bool must_watch_endpoints = false;  // If false, the endpoint list is pushed without a watch.
  bool may_cancel = false;            // Whether attempts in flight may be cancelled.
  bool may_hedge = false;             // Whether a request may have two attempts in flight at a time.
  std::uint32_t max_attempts = 1;     // For each request.
  bool may_send_retry_after = false;
  Duration max_retry_after;

  // ---- Endpoints ----
  // No new attempt may go to an endpoint once this time has passed since the notification of its drain.
  Duration drain_grace;
  // The endpoint list must be requested at least this often.
  Duration endpoint_poll_interval;
  // The window in which attempts to an endpoint in slow start are counted.
  Duration slow_start_window;
  // The time from the start of an endpoint until it has its full capacity.
  Duration slow_start_duration;
  // Events that are counted at both ends of a connection may differ in time by this much.
  Duration clock_tolerance;
  // An endpoint fails under more than this multiple of the load that it can serve in a window.
  double overload_factor = 2;
  // The capacity of an endpoint at its start, as a fraction of its full capacity.
  double initial_capacity_fraction = 1;
  // The cost of sending a request to another zone, as a fraction of the value of a mean request.
  double cross_zone_cost = 0;
  double health_check_cost = 0;

  // ---- Releases ----
  // For each stage, the fraction of requests that may go to the canary.
  std::vector<double> exposure_caps;
  // For each stage, the fraction of endpoints that run the canary.
  std::vector<double> stage_endpoint_fractions;
  // Whether the exposure cap applies to each request class separately.
  bool exposure_per_class = false;
  // Whether a sticky key that a version has answered must never go to an earlier version.
  bool sticky_keys = false;
  // How many arrivals, or attempts to one endpoint, a sliding window counts.
  std::size_t max_counted_events = std::size_t{1} << 16U;
  // How many sticky keys are remembered.
  std::size_t max_sticky_keys = std::size_t{1} << 17U;
  // Whether the platform promotes releases by itself. If so, routers do not vote to promote.
  bool promoted_automatically = false;
  // Whether canary endpoints replace stable ones instead of running beside them.
  bool rolling_update = false;
  // In this number of first stages, only idempotent requests may go to the canary.
  std::uint32_t idempotent_only_stage_count = 0;
  // The number of canary attempts within a window that are permitted in addition to the exposure cap.
  double exposure_allowance = 0;
  // The window in which canary attempts and requests are counted for the exposure cap.
  Duration exposure_window;
  // The minimum time in a stage.
  Duration bake_time;

  // ---- Votes and evidence ----
  Duration vote_ttl;
  Duration sample_interval;              // Between two outcome samples of the platform.
  Duration vote_answer_timeout;          // For the platform's answer to a vote.
  std::uint32_t abort_votes_needed = 1;  // The number of routers with a current abort vote that aborts.
  double max_platform_calls_per_s = 1;   // By all routers together.
  double dispute_report_fraction = 0;    // The fraction of wrong answers that clients report.
  double outcome_sample_fraction = 1;    // The fraction of outcomes that the platform samples.
};

}  // namespace ashbeam
