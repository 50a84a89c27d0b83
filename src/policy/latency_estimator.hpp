// Predicts the latency of an attempt at an endpoint.
//
// The estimator learns from the latencies of attempts. It keeps one estimate for each endpoint, one for each
// pair of zone and machine type, and mean latencies for each request class and for all classes. An estimate
// is the latency of a request of the mean class at an endpoint with full capacity, divided by the number of
// requests in flight there. Recent latencies count more, and the estimate of an endpoint that has no recent
// latency approaches that of its zone and machine type. Performs no I/O and reports no errors.
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

  // Makes room for a zone that the settings do not count.
  void ensure_zone(unsigned zone);

  // Converts the latency of one attempt to the scale of the estimates. `load` is the number of this router's
  // other attempts in flight at the endpoint when the attempt was sent. `capacity` is the fraction of its
  // full capacity that the endpoint has at its age.
  double normalized_ms(double latency_ms, unsigned request_class, double load, double capacity) const;
  // Adds a normalized latency to the estimate of the endpoint's zone and machine type.
  void update_peers_estimate(const Endpoint& endpoint, double normalized_ms, Instant now);
  // Adds a normalized latency to the endpoint's own estimate.
  void update_endpoint_estimate(Endpoint& endpoint, double normalized_ms, Instant now) const;
  // Adds a latency, which must be of an endpoint with full capacity, to the means over all endpoints.
  void update_means(unsigned request_class, double latency_ms, double normalized_ms);
  // Called once a tick. Reduces the estimates of zones and machine types that have had no latency for a
  // second slowly towards the best one, so that their endpoints are tried again.
  void decay_stale_estimates(Instant now);

  // Returns the mean latency of a request class at endpoints with full capacity.
  double class_mean_ms(unsigned request_class) const { return class_mean_ms_[request_class]; }
  // Returns the current estimate of an endpoint.
  double estimate_ms(const Endpoint& endpoint, Instant now) const {
    const double peers = peers_of(endpoint).ms_per_load;
    const LatencyEstimate& own = endpoint.latency;
    if (own.ms_per_load <= 0) return peers;
    return peers + (own.ms_per_load - peers) * std::exp((own.updated_at - now) / kEstimateTimeConstant);
  }
  // Each returns the estimate of a zone and machine type.
  double peers_estimate_ms(const Endpoint& endpoint) const { return peers_of(endpoint).ms_per_load; }
  double peers_estimate_ms(unsigned zone, unsigned machine_type) const {
    return peers_[zone * machine_type_count_ + machine_type].ms_per_load;
  }
  // Returns the predicted latency of an attempt of this class that is sent to the endpoint now.
  double predicted_ms(unsigned request_class, const Endpoint& endpoint, double capacity, Instant now) const {
    return class_mean_ms_[request_class] / mean_ms_ * estimate_ms(endpoint, now) *
           (kOwnLoad + endpoint.attempts_in_flight) / capacity;
  }
  // Returns the expected time between two responses of an endpoint with attempts in flight.
  double expected_response_gap_ms(const Endpoint& endpoint, Instant now) const {
    return estimate_ms(endpoint, now) * (kOwnLoad + endpoint.attempts_in_flight);
  }
  // Returns the weight with which the load balancer draws the endpoint. The mean endpoint has the weight 1.
  double selection_weight(const Endpoint& endpoint, Instant now) const {
    return std::sqrt(long_term_mean_.mean / estimate_ms(endpoint, now));
  }
  // Return the mean normalized latency over all endpoints with full capacity: over a long time, and over the
  // last seconds.
  const DecayingMean& long_term_mean() const { return long_term_mean_; }
  const DecayingMean& short_term_mean() const { return short_term_mean_; }

 private:
  // After this time, an estimate without new latencies has approached the one that replaces it by 63 percent.
  static constexpr Duration kEstimateTimeConstant = Duration::s(2);
  static constexpr double kOwnLoad = 1;  // The load of the request itself, in requests in flight.

  // Returns the estimate of the endpoint's zone and machine type.
  const LatencyEstimate& peers_of(const Endpoint& endpoint) const {
    return peers_[endpoint.zone * machine_type_count_ + endpoint.machine_type];
  }
  // Moves the estimate towards `normalized_ms`. The weight of the new value grows with the time since the
  // last update and is at least `min_weight`.
  static void update(LatencyEstimate& estimate, double normalized_ms, double min_weight, Instant now);

  unsigned machine_type_count_;
  std::vector<LatencyEstimate> peers_;  // By zone, then machine type.
  std::vector<double> class_mean_ms_;   // By request class, at endpoints with full capacity.
  double mean_ms_ = 0;                  // The same over all classes.
  DecayingMean long_term_mean_;
  DecayingMean short_term_mean_;
};

}  // namespace ashbeam::policy
