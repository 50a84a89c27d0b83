// What is known of one endpoint. Beside each part stand the modules that change it. When another process
// takes the endpoint's place, EndpointTable begins all of it anew.
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
  // ---- As listed: EndpointTable; valid_until: RequestRouter ----
  EndpointState state = EndpointState::kRemoved;
  bool named_in_update = false;
  ReleaseVersion version = 0;
  unsigned zone = 0;
  unsigned cell = 0;
  unsigned machine_type = 0;
  Instant started_at;
  Instant
      valid_until;  // by its own answers: attempts may go there until then, whatever the list's lease says

  // ---- Our attempts there: RequestRouter; silence: EndpointMonitor; successes: AttemptOutcomes ----
  unsigned attempts_in_flight = 0;
  Instant last_response_at;  // its last answer, or when its silence was last counted as a failure
  Instant unanswered_since;  // the first attempt after its last answer was sent
  Instant last_success_at;

  // ---- Estimates: LatencyEstimator, OutlierDetector, SlowStart (RequestRouter counts its attempts) ----
  LatencyEstimate latency;
  OutlierState outlier;
  SlowStartState slow_start;

  // ---- Evidence for or against its release: FailureComparison; answers: AttemptOutcomes, RegressionDetector
  // ----
  std::vector<OutcomeCount> outcomes_by_class;  // of the time in which it was warm; one more, last, for all
  OutcomeCount answers;                         // failed: found wrong by clients
};

}  // namespace ashbeam::policy
