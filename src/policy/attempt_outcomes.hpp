// Hands what an ended attempt has shown to each estimate that learns from it.
//
// Job: from an attempt's result and duration, tell slow start, outlier detection, error attribution, the
// evidence on releases and the latency estimates, each once. An attempt that was sent to a former process of
// the endpoint, or that says nothing of it, teaches nothing. Units: instants, milliseconds. No I/O. Errors:
// none.
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

// Has the endpoint sent an answer, whatever it says?
bool endpoint_answered(AttemptResult result);
// May the attempt have had its effect?
bool may_have_run(AttemptResult result);

class AttemptOutcomes {
 public:
  // What learns; all of it has to outlive this object.
  struct Parts {
    EndpointTable& endpoints;
    const ReleaseTracker& release;
    EndpointMonitor& monitor;
    LatencyEstimator& latency;
    SlowStart& slow_start;
    RegressionDetector& regression;
  };
  explicit AttemptOutcomes(const Parts& parts) : parts_(parts) {}

  void on_attempt_end(Request& request, const Attempt& attempt, AttemptResult result, Duration duration,
                      Instant now);
  // The request has its final answer; `served`: an endpoint's. Settles an error whose cause was open.
  void on_request_end(Request& request, bool served, Instant now);

 private:
  void update_connectivity(Endpoint& endpoint, AttemptResult result, Instant now);
  void update_latency(Endpoint& endpoint, const Request& request, const Attempt& attempt,
                      AttemptResult result, double latency_ms, Instant now);
  void add_evidence(Endpoint& endpoint, unsigned request_class, double failure, Instant now);

  Parts parts_;
  ErrorAttribution errors_;
};

}  // namespace ashbeam::policy
