#include "fleet.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>

#include "fleet_settings.hpp"

namespace ashbeam {
namespace {

constexpr double kLoadFraction = 0.6;    // requests as a fraction of the capacity of all endpoints
constexpr double kQuotaFraction = 0.85;  // the tenants' quotas, as the same fraction
constexpr Duration kStep = Duration::ms(5);
constexpr Duration kNotificationDelay = Duration::ms(1);
constexpr Duration kVoteAnswerDelay = Duration::ms(90);
constexpr Duration kReleaseStartTime = Duration::s(3);
constexpr Duration kZoneLossTime = Duration::s(3);
constexpr Duration kZoneRestoreTime = Duration::s(7);
constexpr Duration kColdRestartTime = Duration::s(9);
constexpr Duration kDrainTime = Duration::s(11);
constexpr unsigned kLostZone = 1;
constexpr unsigned kClientRetries = 3;

}  // namespace

Fleet::Fleet(const FleetSettings& fleet, FleetCounts& counts)
    : release_(fleet.release), counts_(counts), random_(fleet.seed), endpoints_(fleet.endpoints),
      routers_(fleet.routers), platform_(fleet.routers, settings_, counts, *this) {
  capacity_per_s_ = create_endpoints() * 1000 / kMeanWorkMs;
  settings_ = fleet_settings(fleet.routers, kQuotaFraction * capacity_per_s_);
  if (release_ != FleetRelease::kNone) {
    settings_.bake_time = Duration::ms(1200);
    settings_.max_platform_calls_per_s = fleet.routers / 4.0;
  }
  distribute_traffic();
  for (SimulatedRouter& router : routers_) start_router(router);
}

void Fleet::run(Duration duration) {
  const Instant begin = now_;
  for (; now_ - begin < duration; now_ = now_ + kStep) {
    const Duration elapsed = now_ - begin;
    if (release_ == FleetRelease::kNone) {
      run_faults(elapsed);
    } else if (elapsed >= kReleaseStartTime) {
      platform_.run(now_, kStep);
    }
    run_due_events();
    send_due_requests();
  }
  count_missing_answers();
}

// ---- Setup ----

double Fleet::create_endpoints() {
  constexpr double kLargeCores = 4.0;
  constexpr double kSmallCores = 1.2;
  double deployed_cores = 0;
  for (unsigned i = 0; i < endpoints_.size(); ++i) {
    SimulatedEndpoint& endpoint = endpoints_[i];
    const bool canary_of_release = release_ != FleetRelease::kNone && i >= endpoints_.size() / 2;
    const bool always_canary = release_ == FleetRelease::kNone && i % 12 == 5;
    endpoint.zone = i % 2;
    endpoint.machine_type = canary_of_release ? random_.next_below(2) : i / 2 % 2;
    endpoint.cores =
        (endpoint.machine_type == 0 ? kLargeCores : kSmallCores) * (0.85 + 0.3 * random_.next_double());
    if (canary_of_release || always_canary) endpoint.version = kCanaryVersion;
    endpoint.deployed = !canary_of_release;
    endpoint.up = !canary_of_release;
    if (endpoint.deployed) deployed_cores += endpoint.cores;
  }
  return deployed_cores;
}

// A quarter of the routers receive several times the mean traffic.
void Fleet::distribute_traffic() {
  double weights = 0;
  for (unsigned i = 0; i < routers_.size(); ++i) {
    SimulatedRouter& router = routers_[i];
    router.network = this;
    router.index = i;
    router.requests_per_s = i % 4 == 3 ? 4 : 0.5 + random_.next_double();
    weights += router.requests_per_s;
  }
  for (SimulatedRouter& router : routers_) router.requests_per_s *= kLoadFraction * capacity_per_s_ / weights;
}

// Starts a router's process with the list of the previous one, in which the latest changes are missing.
void Fleet::start_router(SimulatedRouter& router) {
  router.reset(endpoints_.size());
  RouterSettings settings = settings_;
  settings.zone = router.index % 2;
  router.policy = make_router_policy(settings, random_.next() | 1ULL, router);
  router.policy->set_time(now_);
  router.policy->start();
  router.policy->begin_endpoint_update(true);
  for (EndpointIndex i = 0; i < endpoints_.size(); ++i) {
    const SimulatedEndpoint& endpoint = endpoints_[i];
    if (!endpoint.deployed) continue;
    router.policy->update_endpoint(
        {i, EndpointState::kReady, endpoint.version, endpoint.zone, i, endpoint.machine_type, {}});
  }
  router.policy->end_endpoint_update();
  if (release_ == FleetRelease::kNone) {
    router.policy->on_release_state(
        {kCanaryVersion, 0, ReleasePhase::kCanary, settings_.exposure_caps[0], Duration::s(4)});
  } else {
    router.policy->on_release_state({kStableVersion, 2, ReleasePhase::kReleased, 1, Duration::s(60)});
  }
}

// ---- Faults ----

void Fleet::run_faults(Duration elapsed) {
  struct ScheduledFault {
    Duration at;
    Fault fault;
  };
  static constexpr ScheduledFault kFaults[] = {{kZoneLossTime, &Fleet::lose_zone},
                                               {kZoneRestoreTime, &Fleet::restore_zone},
                                               {kColdRestartTime, &Fleet::restart_cold_endpoints},
                                               {kDrainTime, &Fleet::drain_endpoints}};
  while (next_fault_ < std::size(kFaults) && elapsed >= kFaults[next_fault_].at) {
    const Fault fault = kFaults[next_fault_].fault;
    ++next_fault_;
    (this->*fault)();
  }
}

void Fleet::lose_zone() {
  zone_lost_ = true;
  for (SimulatedEndpoint& endpoint : endpoints_) {
    if (endpoint.zone == kLostZone) endpoint.up = false;
  }
  for (SimulatedRouter& router : routers_) {
    if (router.index % 2 != kLostZone) continue;
    router.policy.reset();
    ++router.incarnation;
  }
}

void Fleet::restore_zone() {
  zone_lost_ = false;
  for (EndpointIndex i = 0; i < endpoints_.size(); ++i) {
    if (endpoints_[i].zone == kLostZone) start_endpoint(i);
  }
  for (SimulatedRouter& router : routers_) {
    if (router.policy) continue;
    start_router(router);
    ++counts_.routers_restarted;
  }
}

void Fleet::restart_cold_endpoints() {
  for (EndpointIndex i = 1; i < endpoints_.size(); i += 8) start_endpoint(i);
}

void Fleet::drain_endpoints() {
  for (EndpointIndex i = 0; i < endpoints_.size(); i += 10) drain_endpoint(i);
}

void Fleet::start_endpoint(EndpointIndex endpoint) {
  endpoints_[endpoint].start(now_);
  ++counts_.cold_starts;
  notify_endpoint(endpoint);
}

void Fleet::drain_endpoint(EndpointIndex endpoint) {
  endpoints_[endpoint].draining = true;
  notify_endpoint(endpoint);
}

// Each router is notified separately: most within 1.35 s, one in twenty 3 s later.
void Fleet::notify_endpoint(EndpointIndex endpoint) {
  for (const SimulatedRouter& router : routers_) {
    const double usual_delay_ms = 250 + 1100 * random_.next_double();
    const double late_by_ms = random_.next_below(20) == 0 ? 3000 : 0;
    events_.schedule(now_ + Duration::ms(usual_delay_ms + late_by_ms),
                     EndpointNotice{router.index, endpoint});
  }
}

// ---- The release platform ----

void Fleet::notify_release_state() {
  for (const SimulatedRouter& router : routers_) {
    const Duration delay = Duration::ms(200 + 700 * random_.next_double());
    events_.schedule(now_ + delay, ReleaseStateNotice{router.process()});
  }
}

void Fleet::notify_outcome_samples() {
  for (const SimulatedRouter& router : routers_)
    events_.schedule(now_ + kNotificationDelay, OutcomeSampleNotice{router.process()});
}

Duration Fleet::start_canary_endpoints(double fraction) {
  const auto first = static_cast<EndpointIndex>(endpoints_.size() / 2);
  const auto wanted = static_cast<unsigned>(std::lround(fraction * first));
  Duration last_start;
  for (EndpointIndex i = first; i < first + wanted; ++i) {
    if (endpoints_[i].deployed) continue;
    const Duration start_delay = Duration::ms(1200 + 1100 * random_.next_double());
    last_start = std::max(last_start, start_delay);
    events_.schedule(now_ + start_delay, EndpointStarted{i});
  }
  return last_start;
}

void Fleet::drain_canary_endpoints() {
  for (EndpointIndex i = 0; i < endpoints_.size(); ++i) {
    if (endpoints_[i].version == kCanaryVersion && endpoints_[i].deployed) drain_endpoint(i);
  }
}

void Fleet::cast_vote(SimulatedRouter& router, unsigned stage, Vote vote) {
  const VoteOutcome outcome = platform_.receive_vote(router.index, stage, vote, now_);
  events_.schedule(now_ + kVoteAnswerDelay, VoteAnswered{router.process(), outcome});
}

// ---- Clients ----

void Fleet::send_due_requests() {
  for (SimulatedRouter& router : routers_) {
    // The load balancer in front of the routers spreads the clients of lost routers over the others.
    const double lost_routers_factor = zone_lost_ ? 2 : 1;
    const double per_s = router.policy ? router.requests_per_s * lost_routers_factor : 0;
    router.requests_due += per_s * kStep.s() * 2 * random_.next_double();
    for (; router.requests_due >= 1; router.requests_due -= 1) send_request(router, kClientRetries);
  }
}

void Fleet::send_request(SimulatedRouter& router, unsigned client_retries) {
  const auto id = static_cast<RequestId>(router.requests.size());
  const unsigned request_class = random_.next_below(kRequestClasses);
  const Instant deadline = now_ + settings_.request_classes[0].client_timeout;
  router.requests.push_back({request_class, client_retries, deadline, false, {}});
  router.requests_at[request_class].push_back(now_);
  ++counts_.requests;
  router.policy->set_time(now_);
  router.policy->on_request({id, request_class, 0, 0, deadline});
}

void Fleet::end_request(SimulatedRouter& router, RequestId id, Duration retry_after) {
  SimulatedRequest& request = router.requests[id];
  if (request.done) ++counts_.repeated_answers;
  if (now_ > request.deadline) ++counts_.missing_answers;
  request.done = true;
  if (request.client_retries == 0) return;
  // Half of the clients honour Retry-After, the others retry soon.
  const bool honours_retry_after = random_.next_below(2) == 0;
  const Duration wait =
      honours_retry_after ? retry_after + Duration::ms(30) : Duration::ms(30 + 200 * random_.next_double());
  events_.schedule(now_ + wait, ClientRetry{router.process(), request.client_retries - 1});
}

void Fleet::count_missing_answers() {
  for (const SimulatedRouter& router : routers_) {
    for (const SimulatedRequest& request : router.requests) {
      if (!request.done && request.deadline < now_) ++counts_.missing_answers;
    }
  }
}

}  // namespace ashbeam
