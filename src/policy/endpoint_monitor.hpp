// Looks at all endpoints once a tick, and keeps what others need to know of them together.
//
// Job: count the silence of endpoints as failures, readmit ejected ones, and renew the figures of slow start,
// of capacity and of jittered endpoints. Each outcome that counts for or against an endpoint passes here,
// since outlier detection compares it with its peers. Units: instants, counts. No I/O. Errors: none.
#pragma once
#include "policy/arrival_counter.hpp"
#include "policy/capacity_model.hpp"
#include "policy/endpoint_table.hpp"
#include "policy/latency_estimator.hpp"
#include "policy/load_balancer.hpp"
#include "policy/outlier_detector.hpp"
#include "policy/release_role.hpp"
#include "policy/release_tracker.hpp"
#include "policy/slow_start.hpp"

namespace ashbeam::policy {

// The ready endpoints that are not ejected, as last scanned.
struct InService {
  PerRole<double> endpoints;
  PerRole<OutcomeCount> outcomes;
  double capacity = 0;  // in warm endpoints
};

class EndpointMonitor {
 public:
  // What the scan reads and renews; all of it has to outlive this object.
  struct Parts {
    const RouterSettings& settings;
    EndpointTable& endpoints;
    const ReleaseTracker& release;
    ArrivalCounter& arrivals;
    LatencyEstimator& latency;
    SlowStart& slow_start;
    CapacityModel& capacity;
    LoadBalancer& balancer;
    const OutlierDetector& outliers;
  };
  explicit EndpointMonitor(const Parts& parts) : parts_(parts) {}

  void scan(Instant now);
  // An outcome for or against an endpoint: `failure` is 0 (good) to 1 (failed).
  void add_outcome(EndpointIndex index, double failure, Instant now);

  const InService& in_service() const { return in_service_; }

 private:
  void scan_endpoint(EndpointIndex index, Endpoint& endpoint, Instant now);
  // The endpoint has attempts in flight: one that has been silent for long counts as failed once.
  void count_unresponsiveness(EndpointIndex index, Endpoint& endpoint, Instant now);
  // What it would get from this router at its age, by what warm stable endpoints get.
  double expected_attempts(const Endpoint& endpoint, double capacity) const;
  OutlierPeers peers_of(const Endpoint& endpoint) const;

  Parts parts_;
  InService in_service_;
  double ready_capacity_ = 0;  // of the scan at hand, ejected endpoints as well
};

}  // namespace ashbeam::policy
