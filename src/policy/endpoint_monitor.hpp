// Scans all endpoints once a tick and keeps the totals that other components need.
//
// The scan counts endpoints that do not respond as failed, readmits ejected endpoints, and updates the
// figures of slow start, of the capacity model, and of the load balancer's endpoints in slow start. Each
// outcome that counts for or against an endpoint is passed through add_outcome(), because outlier detection
// compares it with the outcomes of the other endpoints. Performs no I/O and reports no errors.
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

// Totals over the ready endpoints that are not ejected, from the last scan.
struct InService {
  PerRole<double> endpoints;  // Number of endpoints.
  PerRole<OutcomeCount> outcomes;
  double capacity = 0;  // Sum of the capacities, where 1 is an endpoint at full capacity.
};

class EndpointMonitor {
 public:
  // The components that the scan reads or updates. All of them must outlive this object.
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

  // Called once a tick.
  void scan(Instant now);
  // Adds an outcome of an endpoint; `failure` is 0 (success) to 1 (failure).
  void add_outcome(EndpointIndex index, double failure, Instant now);

  const InService& in_service() const { return in_service_; }

 private:
  void scan_endpoint(EndpointIndex index, Endpoint& endpoint, Instant now);
  // Called for an endpoint with attempts in flight. If it has not responded for too long, this counts as one
  // failure, and the time starts again.
  void count_unresponsiveness(EndpointIndex index, Endpoint& endpoint, Instant now);
  // Returns the number of attempts in a slow start window that the endpoint would receive from this router at
  // its age, estimated from the attempts to stable endpoints at full capacity.
  double expected_attempts(const Endpoint& endpoint, double capacity) const;
  // Returns the other endpoints of its release role, with which the endpoint is compared.
  OutlierPeers peers_of(const Endpoint& endpoint) const;

  Parts parts_;
  InService in_service_;
  double ready_capacity_ = 0;  // Sum of capacities in the current scan, including ejected endpoints.
};

}  // namespace ashbeam::policy
