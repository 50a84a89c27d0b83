// Limits the attempts that this router sends to an endpoint in slow start.
//
// An endpoint that has just started has only a fraction of its capacity. The fraction grows until the end of
// slow start. The endpoint fails if all routers together overload it. So each router counts its attempts to
// the endpoint in a window, and limits them to the lower of two figures: the attempts that it sends to an
// endpoint of the same machine type with full capacity, and the endpoint's even share of all requests. Both
// are multiplied by the lowest capacity that the endpoint can have at its age. If the limit is less than one
// attempt, a jitter that each router draws once for each start decides which routers may send an attempt, so
// that the fleet together sends what the endpoint can serve. An endpoint to which a connection failed may
// have restarted since, so it is limited as if it had. The same holds for all endpoints of a zone that was
// lost.
//
// A router that has just started does not know which endpoints have restarted. For as long as slow start
// lasts, it limits every endpoint to the load that an endpoint of the router's own age can serve.
//
// Once a tick, begin_scan(), add_warm_stable() for each ready stable endpoint with full capacity, and
// end_scan() are called in this order. All limits are in attempts of this router within
// RouterSettings::slow_start_window. Performs no I/O and reports no errors.
#pragma once
#include <algorithm>
#include <vector>

#include "base/decaying_mean.hpp"
#include "policy/endpoint.hpp"
#include "policy/router_settings.hpp"

namespace ashbeam::policy {

class SlowStart {
 public:
  // A limit of this means that any number of attempts is permitted.
  static constexpr double kUnlimited = 1e9;

  // `settings` must outlive this object.
  explicit SlowStart(const RouterSettings& settings);

  // Called once, when the router starts.
  void start(Instant now) { router_started_at_ = now; }
  // Makes room for a zone that the settings do not count.
  void ensure_zone(unsigned zone);
  // Called when the endpoint list has changed. `max_ready` is the largest number of ready endpoints so far.
  void set_endpoint_count(std::size_t max_ready, Instant now);

  // Called when a connection to the endpoint could not be opened, so that the endpoint, or its whole zone,
  // may have restarted.
  void on_connect_failed(Endpoint& endpoint, Instant now);
  // Called when the endpoint has answered, which shows that its zone is not lost.
  void on_answer(const Endpoint& endpoint) { zones_[endpoint.zone].connect_failures = 0; }

  // The scan counts the attempts to stable endpoints with full capacity.
  void begin_scan(Instant now);
  void add_warm_stable(Endpoint& endpoint, Instant now);
  // `arrivals` is the number of requests in the window. `capacity` is the sum of the capacities of all ready
  // endpoints, where 1 is an endpoint with full capacity.
  void end_scan(double arrivals, double capacity);

  // Returns the capacity of a process that started at `started_at`, as a fraction of its full capacity.
  double capacity_since(Instant started_at, Instant now) const {
    const double elapsed_fraction = std::clamp((now - started_at) / settings_.slow_start_duration, 0.0, 1.0);
    return settings_.initial_capacity_fraction + (1 - settings_.initial_capacity_fraction) * elapsed_fraction;
  }
  // Returns the same for the process of the endpoint, by the start in the endpoint list.
  double capacity(const Endpoint& endpoint, Instant now) const {
    return capacity_since(endpoint.started_at, now);
  }
  // Returns whether the endpoint has its full capacity, by the start in the endpoint list.
  bool is_warm(const Endpoint& endpoint, Instant now) const {
    return now - endpoint.started_at >= settings_.slow_start_duration;
  }
  // Returns the same, but also accounts for signs of a restart that may not be in the endpoint list yet.
  bool is_reliably_warm(const Endpoint& endpoint, Instant now) const {
    return now - latest_possible_start(endpoint) >= settings_.slow_start_duration;
  }
  // Returns the number of attempts that this router may send to the endpoint in a window, or kUnlimited.
  double attempt_limit(const Endpoint& endpoint, Instant now) const {
    const Instant started_at = latest_possible_start(endpoint);
    const bool is_cold = now - started_at < settings_.slow_start_duration + kWarmUpMargin;
    const double cold_limit =
        is_cold ? machine_types_[endpoint.machine_type].full_capacity_limit * capacity_since(started_at, now)
                : kUnlimited;
    return std::min(new_router_limit_, cold_limit);
  }
  // Called when an attempt is sent. Beyond RouterSettings::max_counted_events in a window the counts are too
  // low, which lowers the limits of endpoints in slow start.
  void add_attempt(Endpoint& endpoint, Instant now) const {
    endpoint.slow_start.attempts.add_within(now - settings_.slow_start_window, now,
                                            settings_.max_counted_events);
  }
  // Returns whether this router may send the endpoint another attempt now.
  bool allows(Endpoint& endpoint, Instant now) const {
    const double limit = attempt_limit(endpoint, now);
    if (limit >= kUnlimited) return true;
    SlowStartState& state = endpoint.slow_start;
    const auto sent = static_cast<double>(state.attempts.count_since(now - settings_.slow_start_window));
    return sent + state.jitter < limit;
  }
  // The mean number of attempts that a stable endpoint with full capacity receives from this router in a
  // window.
  struct ExpectedAttempts {
    unsigned machine_type = 0;  // The machine type of the endpoints that were counted.
    double attempts = 0;
  };
  // Returns the figure for this machine type, or for another one if no endpoint of this type has been
  // counted.
  ExpectedAttempts expected_attempts(unsigned machine_type) const;

 private:
  // An endpoint stays limited for this time after the end of slow start.
  static constexpr Duration kWarmUpMargin = Duration::ms(300);

  struct MachineType {
    double attempts = 0;   // To stable endpoints with full capacity, in the current scan.
    double endpoints = 0;  // The number of those endpoints.
    // The limit of an endpoint in slow start, before it is multiplied by the endpoint's capacity.
    double full_capacity_limit = 0;
    DecayingMean expected_attempts;
  };
  struct ZoneConnectivity {
    double connect_failures = 0;  // Since the last answer of any endpoint of the zone.
    Instant lost_at;              // The last connection failure while the zone counted as lost.
  };

  // Returns the latest time at which the process of the endpoint may have started: by the endpoint list, the
  // last failure to connect, or the loss of its zone.
  Instant latest_possible_start(const Endpoint& endpoint) const {
    return std::max(
        {endpoint.started_at, endpoint.slow_start.connect_failed_at, zones_[endpoint.zone].lost_at});
  }
  // Returns the limit for every endpoint while the router is in slow start itself. Returns kUnlimited after
  // that, and if the quota of an endpoint permits this router at least one attempt in a window.
  double new_router_limit(Instant now) const;

  const RouterSettings& settings_;
  double quota_per_s_ = 0;                  // This router's share of the quotas of all tenants.
  double quota_per_endpoint_ = kUnlimited;  // Of quota_per_s_, for each endpoint in a window.
  double new_router_limit_ = kUnlimited;
  Instant router_started_at_;
  std::vector<MachineType> machine_types_;
  std::vector<ZoneConnectivity> zones_;
};

}  // namespace ashbeam::policy
