// What latency an attempt is likely to see at an endpoint.
//
// Job: learn, from the latencies of attempts, an estimate for each endpoint, one for each zone and machine
// type, and means by request class and over all. An estimate is the latency of a request of the mean class
// for each request in flight at a warm endpoint. Recent latencies count more; what has not been heard of for
// a while gives way to the estimate of its zone and machine type. Units: milliseconds, instants. No I/O.
// Errors: none.
#pragma once
#include <cmath>
#include <cstddef>
#include <vector>

#include "base/decaying_mean.hpp"
#include "policy/endpoint.hpp"
#include "policy/router_settings.hpp"

namespace ashbeam::policy {

class LatencyEstimator {
 public:
  explicit LatencyEstimator(const RouterSettings& settings);

  // Makes room for zones that the settings do not name.
  void ensure_zone(unsigned zone);

  // What one attempt has shown: `load` is our other attempts in flight there when it was sent, `capacity` the
  // part of its capacity that the endpoint has at its age. Returns the estimate that this attempt speaks for.
  double normalized_ms(double latency_ms, unsigned request_class, double load, double capacity) const;
  // Takes it into the estimate of the endpoint's zone and machine type, ...
  void update_peers(const Endpoint& endpoint, double normalized_ms, Instant now);
  // ... into the endpoint's own, ...
  void update_endpoint_estimate(Endpoint& endpoint, double normalized_ms, Instant now) const;
  // ... and, from a warm endpoint, into the means over all.
  void update_means(unsigned request_class, double latency_ms, double normalized_ms);
  // Once a tick: estimates that nothing was heard of for a second fall slowly to the best one, so that their
  // endpoints are tried again.
  void decay_stale_estimates(Instant now);

  double class_mean_ms(unsigned request_class) const { return class_mean_ms_[request_class]; }
  // The estimate for an endpoint as it stands now.
  double estimate_ms(const Endpoint& endpoint, Instant now) const {
    const double peers = peers_of(endpoint).ms_per_load;
    const LatencyEstimate& own = endpoint.latency;
    if (own.ms_per_load <= 0) return peers;
    return peers + (own.ms_per_load - peers) * std::exp((own.updated_at - now) / kEstimateTimeConstant);
  }
  double peers_estimate_ms(const Endpoint& endpoint) const { return peers_of(endpoint).ms_per_load; }
  double peers_estimate_ms(unsigned zone, unsigned machine_type) const {
    return peers_[zone * machine_type_count_ + machine_type].ms_per_load;
  }
  // The latency that an attempt of this class would see there now.
  double predicted_ms(unsigned request_class, const Endpoint& endpoint, double capacity, Instant now) const {
    return class_mean_ms_[request_class] / mean_ms_ * estimate_ms(endpoint, now) *
           (kOwnLoad + endpoint.attempts_in_flight) / capacity;
  }
  // How long an endpoint with attempts in flight usually stays silent.
  double expected_response_gap_ms(const Endpoint& endpoint, Instant now) const {
    return estimate_ms(endpoint, now) * (kOwnLoad + endpoint.attempts_in_flight);
  }
  // How often it is drawn in load balancing, against the mean endpoint.
  double selection_weight(const Endpoint& endpoint, Instant now) const {
    return std::sqrt(long_term_mean_.mean / estimate_ms(endpoint, now));
  }
  // Means over all warm endpoints: over a long time, and over the last seconds.
  const DecayingMean& long_term_mean() const { return long_term_mean_; }
  const DecayingMean& short_term_mean() const { return short_term_mean_; }

 private:
  static constexpr Duration kEstimateTimeConstant = Duration::s(2);
  static constexpr double kOwnLoad = 1;  // a request's own, in requests in flight

  const LatencyEstimate& peers_of(const Endpoint& endpoint) const {
    return peers_[endpoint.zone * machine_type_count_ + endpoint.machine_type];
  }
  static void update(LatencyEstimate& estimate, double normalized_ms, double min_weight, Instant now);

  unsigned machine_type_count_;
  std::vector<LatencyEstimate> peers_;  // by zone and machine type
  std::vector<double> class_mean_ms_;   // by request class, at warm endpoints
  double mean_ms_ = 0;                  // over all classes
  DecayingMean long_term_mean_;
  DecayingMean short_term_mean_;
};

}  // namespace ashbeam::policy
