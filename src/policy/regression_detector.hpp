// Detects whether the newest release causes a regression, and whether it is moderate or severe.
//
// The detector evaluates the evidence in this order: answers that clients reported as wrong; failures of the
// canary compared with the stable versions; latencies of the canary compared with the stable versions;
// latencies of all endpoints compared with the time before the release, because a release may slow down all
// of them. The last comparison is ignored for some time after connections to endpoints have failed or
// requests have surged, because these slow down all endpoints as well. A slowdown that lasts is severe,
// because only the routers' votes can end it.
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
  // The objects that the detector reads, and the endpoints, whose outcome counts it changes. All of them must
  // outlive the detector.
  struct Inputs {
    const RouterSettings& settings;
    EndpointTable& endpoints;
    const ReleaseTracker& release;
    const LatencyEstimator& latency;
    ArrivalCounter& arrivals;
    const PolicyLog& log;
  };
  explicit RegressionDetector(const Inputs& inputs);

  // Called once when the router starts.
  void start(Instant now) { started_at_ = now; }
  // Called when the platform announces another version, before the release tracker applies the new state.
  void begin_release();

  // Adds the outcome of an attempt to a warm endpoint. `failure` is from 0 (success) to 1 (failure).
  void add_outcome(Endpoint& endpoint, unsigned request_class, double failure) const {
    failures_.add_outcome(endpoint, request_class, failure);
  }
  // Adds the latency of an attempt to a warm endpoint.
  void add_latency(ReleaseRole role, unsigned machine_type, unsigned request_class, EndpointIndex endpoint,
                   double latency_ms, Instant now) {
    latencies_.add(role, machine_type, request_class, endpoint, latency_ms, now);
  }
  // Adds outcomes that the platform has counted over all routers. Samples of an unknown request class or of a
  // version that is newer than the announced one are ignored.
  void add_sample(const OutcomeSample& sample);
  // Adds a client's report of a wrong answer. It is ignored if the endpoint's process was started after the
  // attempt was sent.
  void add_disputed_answer(const DisputedAnswer& disputed, Instant now);
  // Called when a connection to an endpoint could not be opened or was reset. Latencies of all endpoints are
  // not compared with those before the release for some time afterwards.
  void on_external_fault(Instant now) { last_external_fault_at_ = now; }

  // Evaluates the evidence and returns the severity of the regression. `in_service` describes the ready
  // endpoints that are not ejected. `regression_since` is the start of the regression that earlier calls have
  // found, or Instant() if there is none. Each call reduces the weight of the stable endpoints' outcomes.
  Regression evaluate(const InService& in_service, Instant regression_since, Instant now);

 private:
  // Returns whether clients report clearly more wrong answers of the canary than of the stable versions.
  bool canary_has_more_wrong_answers() const;
  Regression evaluate_latencies(const InService& in_service, Instant regression_since, Instant now);
  // Returns the ratio of the recent mean latency of all endpoints to that before the release, or 1 if the
  // latter is not known or an external fault explains a slowdown.
  double overall_slowdown(const InService& in_service, Instant now);

  Inputs inputs_;
  double log_router_excess_;  // See log_router_excess() in regression_detector.cpp.
  FailureComparison failures_;
  LatencyComparison latencies_;
  SurgeDetector surges_;
  Instant started_at_;
  Instant last_external_fault_at_;        // A failed or reset connection, or a surge of requests.
  double latency_before_release_ms_ = 0;  // 0 if not known.
  double ready_endpoints_before_release_ = 0;
};

}  // namespace ashbeam::policy
