// Judges whether a release does harm: moderate or severe regressions, or none.
//
// Job: weigh the evidence in this order: answers that clients found wrong; failures of the canary against the
// stable versions; latencies of the canary against theirs; latencies of all endpoints against the time before
// the release, since a release may slow all of them. Slowness of all has other causes, too: for some time
// after endpoints were lost, or requests surged, it says nothing. A slowness that lasts is severe, since
// votes alone can end it. Units: milliseconds, instants, log-likelihood ratios. No I/O. Errors: none.
#pragma once
#include "policy/arrival_counter.hpp"
#include "policy/endpoint_monitor.hpp"
#include "policy/endpoint_table.hpp"
#include "policy/failure_comparison.hpp"
#include "policy/latency_comparison.hpp"
#include "policy/latency_estimator.hpp"
#include "policy/policy_log.hpp"
#include "policy/regression.hpp"
#include "policy/release_tracker.hpp"
#include "policy/router_settings.hpp"
#include "policy/surge_detector.hpp"

namespace ashbeam::policy {

class RegressionDetector {
 public:
  // What it reads, and the endpoints whose counts it fades; all of it has to outlive this object.
  struct Inputs {
    const RouterSettings& settings;
    EndpointTable& endpoints;
    const ReleaseTracker& release;
    const LatencyEstimator& latency;
    ArrivalCounter& arrivals;
    const PolicyLog& log;
  };
  explicit RegressionDetector(const Inputs& inputs);

  void start(Instant now) { started_at_ = now; }
  // Another version comes under release; called before the release state is applied.
  void begin_release();

  // Evidence. An outcome is of a warm endpoint, `failure` is 0 to 1; an outside fault is a broken connection.
  void add_outcome(Endpoint& endpoint, unsigned request_class, double failure) const {
    failures_.add_outcome(endpoint, request_class, failure);
  }
  void add_latency(ReleaseRole role, unsigned machine_type, unsigned request_class, EndpointIndex endpoint,
                   double latency_ms, Instant now) {
    latencies_.add(role, machine_type, request_class, endpoint, latency_ms, now);
  }
  void add_sample(const OutcomeSample& sample);
  void add_disputed_answer(const DisputedAnswer& disputed, Instant now);
  void on_external_fault(Instant now) { last_external_fault_at_ = now; }

  // The judgement now. `regression_since`: since when there has been one, or the far past; `in_service`: the
  // endpoints that are not ejected.
  Regression judge(const InService& in_service, Instant regression_since, Instant now);

 private:
  bool answers_are_wrong() const;
  Regression judge_latencies(const InService& in_service, Instant regression_since, Instant now);
  // How many times longer latencies of all endpoints are than before the release; 1 where it says nothing.
  double fleet_slowdown(const InService& in_service, Instant now);

  Inputs in_;
  double judges_log_;  // log of how many routers judge for each abort vote that is needed
  FailureComparison failures_;
  LatencyComparison latencies_;
  SurgeDetector surges_;
  Instant started_at_;
  Instant last_external_fault_at_;
  double latency_before_release_ms_ = 0;  // 0: unknown
  double ready_before_release_ = 0;
};

}  // namespace ashbeam::policy
