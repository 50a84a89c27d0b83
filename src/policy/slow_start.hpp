// How much an endpoint that warms up may get from this router.
//
// Job: an endpoint that has just started can do a part of its capacity only, which grows until it is warm,
// and fails if all routers together push it over. So each router counts its attempts there within a window,
// and allows no more than what it sends a warm endpoint of the same machine type, nor than its part of all
// requests by capacity, scaled by the least that the endpoint can do at its age. Where that is less than one
// attempt, a jitter drawn once for each start decides which routers may send one, so that the fleet together
// sends what the endpoint can do. An endpoint that could not be connected to may have started since, and
// counts as cold, and so do all endpoints of a zone that was lost.
//
// A router that has just started itself does not know which endpoints have: for as long it sends each
// endpoint at most what one as young as itself can do.
//
// Order of calls: begin_scan(), add() for each ready warm stable endpoint, end_scan(), once a tick. Units:
// attempts within RouterSettings::slow_start_window. No I/O. Errors: none.
#pragma once
#include <algorithm>
#include <vector>

#include "base/decaying_mean.hpp"
#include "policy/endpoint.hpp"
#include "policy/router_settings.hpp"

namespace ashbeam::policy {

class SlowStart {
 public:
  static constexpr double kUnlimited = 1e9;

  explicit SlowStart(const RouterSettings& settings);

  void start(Instant now) { router_started_at_ = now; }
  void ensure_zone(unsigned zone);
  // The list has changed: `max_ready` is the most endpoints that were ready at a time.
  void set_endpoint_count(std::size_t max_ready, Instant now);

  // Evidence that an endpoint, or its whole zone, may start anew.
  void on_connect_failed(Endpoint& endpoint, Instant now);
  void on_answer(const Endpoint& endpoint) { zones_[endpoint.zone].connect_failures = 0; }

  void begin_scan(Instant now);
  void add_warm_stable(Endpoint& endpoint, Instant now);
  // `arrivals`: requests in the window; `capacity`: of all ready endpoints, in warm ones.
  void end_scan(double arrivals, double capacity);

  // The part of its capacity that a process has that started then.
  double capacity_since(Instant started_at, Instant now) const {
    const double elapsed_fraction = std::clamp((now - started_at) / settings_.slow_start_duration, 0.0, 1.0);
    return settings_.initial_capacity_fraction + (1 - settings_.initial_capacity_fraction) * elapsed_fraction;
  }
  double capacity(const Endpoint& endpoint, Instant now) const {
    return capacity_since(endpoint.started_at, now);
  }
  // Has its process, as listed, run for the time that it takes to warm up?
  bool is_warm(const Endpoint& endpoint, Instant now) const {
    return now - endpoint.started_at >= settings_.slow_start_duration;
  }
  // The same, counted from its last sign of a start that the list may not show yet.
  bool is_reliably_warm(const Endpoint& endpoint, Instant now) const {
    return now - latest_possible_start(endpoint) >= settings_.slow_start_duration;
  }
  // What it may get in a window; kUnlimited: any number.
  double attempt_limit(const Endpoint& endpoint, Instant now) const {
    const Instant started_at = latest_possible_start(endpoint);
    const bool is_cold = now - started_at < settings_.slow_start_duration + kWarmUpMargin;
    const double cold_limit =
        is_cold ? machine_types_[endpoint.machine_type].full_capacity_limit * capacity_since(started_at, now)
                : kUnlimited;
    return std::min(new_router_limit_, cold_limit);
  }
  // May it get one more attempt now?
  bool allows(Endpoint& endpoint, Instant now) const {
    const double limit = attempt_limit(endpoint, now);
    if (limit >= kUnlimited) return true;
    SlowStartState& state = endpoint.slow_start;
    const auto sent = static_cast<double>(state.attempts.count_since(now - settings_.slow_start_window));
    return sent + state.jitter < limit;
  }
  // What a warm stable endpoint of this machine type usually gets; of another type where there is none of it.
  struct ExpectedAttempts {
    unsigned machine_type = 0;  // that the figure is of
    double attempts = 0;
  };
  ExpectedAttempts expected_attempts(unsigned machine_type) const;

 private:
  static constexpr Duration kWarmUpMargin = Duration::ms(300);

  struct MachineType {
    double attempts = 0;             // to warm stable endpoints, in the scan at hand
    double endpoints = 0;            // of those
    double full_capacity_limit = 0;  // of an endpoint with its full capacity
    DecayingMean expected_attempts;
  };
  struct ZoneConnectivity {
    double connect_failures = 0;  // with no answer since
    Instant lost_at;              // the last of so many that the zone counts as lost
  };

  Instant latest_possible_start(const Endpoint& endpoint) const {
    return std::max(
        {endpoint.started_at, endpoint.slow_start.connect_failed_at, zones_[endpoint.zone].lost_at});
  }
  double new_router_limit(Instant now) const;

  const RouterSettings& settings_;
  double quota_per_s_ = 0;                  // of all tenants, this router's part
  double quota_per_endpoint_ = kUnlimited;  // of that, in a window, of each endpoint
  double new_router_limit_ = kUnlimited;
  Instant router_started_at_;
  std::vector<MachineType> machine_types_;
  std::vector<ZoneConnectivity> zones_;
};

}  // namespace ashbeam::policy
