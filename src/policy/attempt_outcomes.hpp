// Passes the result of an ended attempt to each component that learns from it: slow start, outlier detection,
// error attribution, the evidence on releases, and the latency estimates.
//
// An attempt is ignored if it was sent to an earlier process of the endpoint, or if its result says nothing
// about the endpoint. Performs no I/O and reports no errors.
#pragma once
#include "policy/endpoint_monitor.hpp"
#include "policy/endpoint_table.hpp"
#include "policy/error_attribution.hpp"
#include "policy/latency_estimator.hpp"
#include "policy/regression_detector.hpp"
#include "policy/release_tracker.hpp"
#include "policy/request.hpp"
#include "policy/slow_start.hpp"

namespace ashbeam::policy {

// Returns whether the endpoint has sent an answer, including an error or a rejection.
bool endpoint_answered(AttemptResult result);
// Returns whether the endpoint may have executed the request.
bool may_have_run(AttemptResult result);

class AttemptOutcomes {
 public:
  // The components that are updated or read. All of them must outlive this object.
  struct Parts {
    EndpointTable& endpoints;
    const ReleaseTracker& release;
    EndpointMonitor& monitor;
    LatencyEstimator& latency;
    SlowStart& slow_start;
    RegressionDetector& regression;
  };
  explicit AttemptOutcomes(const Parts& parts) : parts_(parts) {}

  // Called for each attempt that has ended, including those of requests that have their final answer.
  void on_attempt_end(Request& request, const Attempt& attempt, AttemptResult result, Duration duration,
                      Instant now);
  // Called when the request has its final answer. `served` is true if an endpoint gave it successfully.
  // Attributes an error of the request whose cause was still unknown.
  void on_request_end(Request& request, bool served, Instant now);

 private:
  void update_connectivity(Endpoint& endpoint, AttemptResult result, Instant now);
  void update_latency(Endpoint& endpoint, const Request& request, const Attempt& attempt,
                      AttemptResult result, double latency_ms, Instant now);
  // Adds an outcome to the evidence on the release; `failure` is 0 (success) to 1 (failure).
  void add_evidence(Endpoint& endpoint, unsigned request_class, double failure, Instant now);

  Parts parts_;
  ErrorAttribution errors_;
};

}  // namespace ashbeam::policy
