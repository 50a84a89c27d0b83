// What a router is configured with at its start: what requests are, what the platform allows, and the rules'
// figures. Read from the deployment's settings by terms/, which names the keys.
#pragma once
#include <cstdint>
#include <vector>

#include "base/time.hpp"
#include "policy/types.hpp"

namespace ashbeam {

// Requests that are treated alike.
struct RequestClass {
  Idempotency idempotency = Idempotency::kIdempotent;
  IdempotencyScope scope = IdempotencyScope::kAll;  // of a keyed class
  Duration latency_objective;                       // an answer within it is in time
  Duration client_timeout;
  Duration key_retention;           // how long endpoints know the key of a keyed request
  double priority_weight = 1;       // what an answer in time is worth
  double late_priority_weight = 0;  // what a late one is worth
};

struct RouterSettings {
  // Requests.
  std::vector<RequestClass> request_classes;
  std::vector<double> tenant_quota_per_s;  // requests a second, all routers together; by tenant
  double over_quota_weight_factor = 1;     // factor on the weight of requests over their tenant's quota

  // This router, and the fleet.
  std::uint32_t zone_count = 1;
  std::uint32_t zone = 0;  // this router's
  std::uint32_t machine_type_count = 1;
  std::uint32_t router_count = 1;
  std::uint32_t router_index = 0;  // this router's

  // What the platform allows.
  bool must_watch_endpoints = false;  // else the endpoint list comes unasked
  bool may_cancel = false;            // an attempt in flight
  bool may_hedge = false;             // two attempts of a request in flight at a time
  std::uint32_t max_attempts = 1;     // of a request
  bool may_send_retry_after = false;
  Duration max_retry_after;

  // Endpoints.
  Duration drain_grace;                  // after the notice of a drain nothing new may go to the endpoint
  Duration endpoint_poll_interval;       // how often the list is to be asked for at least
  Duration slow_start_window;            // over which attempts to an endpoint that warms up are counted
  Duration slow_start_duration;          // from its start until it is warm
  Duration clock_tolerance;              // by which the counts at two ends of a connection may differ
  double overload_factor = 2;            // of what an endpoint can do in a window: pushes it over
  double initial_capacity_fraction = 1;  // of a warm one's, just started
  double cross_zone_cost = 0;            // of a request sent to another zone, in parts of its weight
  double health_check_cost = 0;

  // Releases.
  std::vector<double> exposure_caps;             // by stage: part of requests that may go to the canary
  std::vector<double> stage_endpoint_fractions;  // by stage: part of endpoints that run the canary
  bool exposure_per_class = false;               // the cap holds for each request class by itself
  bool sticky_keys = false;             // a key that a version has answered never goes to an earlier one
  bool promoted_automatically = false;  // the platform promotes by itself; 'promote' is not voted
  bool rolling_update = false;          // canary endpoints replace stable ones
  std::uint32_t idempotent_only_stage_count = 0;  // the first so many stages take idempotent requests alone
  double exposure_allowance = 0;                  // attempts beside the cap
  Duration exposure_window;
  Duration bake_time;  // the least time in a stage

  // Votes and evidence.
  Duration vote_ttl;
  Duration sample_interval;              // between outcome samples
  Duration vote_answer_timeout;          // of the platform
  std::uint32_t abort_votes_needed = 1;  // routers that must stand for 'abort'
  double max_platform_calls_per_s = 1;   // from all routers together
  double dispute_report_fraction = 0;    // part of wrong answers that is reported
  double outcome_sample_fraction = 1;
};

}  // namespace ashbeam
