// What is known of one endpoint. Each part is changed by the module named beside it alone.
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
  // ---- As listed: EndpointTable ----
  EndpointState state = EndpointState::kRemoved;
  bool named_in_update = false;
  ReleaseVersion version = 0;
  unsigned zone = 0;
  unsigned cell = 0;
  unsigned machine_type = 0;
  Instant started_at;
  Instant
      valid_until;  // by its own answers: attempts may go there until then, whatever the list's lease says

  // ---- Our attempts there: RequestRouter ----
  unsigned attempts_in_flight = 0;
  Instant last_heard_at;     // its last answer, or when its silence was last counted as a failure
  Instant unanswered_since;  // the first attempt after its last answer was sent
  Instant last_success_at;

  // ---- Estimates, each owned by the module of its name ----
  LatencyEstimate latency;
  OutlierState outlier;
  SlowStartState slow_start;

  // ---- Evidence for or against its release: ReleaseEvidence ----
  std::vector<OutcomeCount> outcomes_by_class;  // of the time in which it was warm; one more, last, for all
  OutcomeCount answers;                         // failed: found wrong by clients
};

}  // namespace ashbeam::policy
