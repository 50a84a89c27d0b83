// The state of one endpoint. Each group of members names the components that change it. When a different
// process takes the place of the endpoint, EndpointTable resets the state.
#pragma once
#include <vector>

#include "base/outcome_count.hpp"
#include "base/time.hpp"
#include "policy/latency_estimate.hpp"
#include "policy/outlier_state.hpp"
#include "policy/slow_start_state.hpp"
#include "policy/types.hpp"

namespace ashbeam::policy {

struct Endpoint {
  // ---- The entry in the endpoint list. Changed by EndpointTable; RequestRouter sets last_accepted. ----
  EndpointState state = EndpointState::kRemoved;
  bool named_in_update = false;  // Whether the current update of the endpoint list has named it.
  ReleaseVersion version = 0;
  unsigned zone = 0;
  unsigned cell = 0;
  unsigned machine_type = 0;
  Instant started_at;
  // When the last request was sent that the listed process is known to have accepted.
  Instant last_accepted;

  // ---- This router's attempts. Changed by RequestRouter, last_response_at also by EndpointMonitor,
  // last_success_at by AttemptOutcomes. ----
  unsigned attempts_in_flight = 0;
  Instant last_response_at;  // The last answer, or when its absence was last counted as a failure.
  Instant unanswered_since;  // When the first attempt after the last answer was sent.
  Instant last_success_at;

  // ---- Estimates. Changed by LatencyEstimator, OutlierDetector and SlowStart; RequestRouter counts the
  // attempts of `slow_start`. ----
  LatencyEstimate latency;
  OutlierState outlier;
  SlowStartState slow_start;

  // ---- Evidence on its release. Changed by FailureComparison, `answers` by AttemptOutcomes and
  // RegressionDetector. ----
  // Outcomes since the endpoint had its full capacity, by request class. The last element counts all classes.
  std::vector<OutcomeCount> outcomes_by_class;
  OutcomeCount answers;  // `failed` counts the answers that clients reported as wrong.
};

}  // namespace ashbeam::policy
