// Compares the failures of the canary with those of the stable versions.
//
// Job: count outcomes by endpoint and request class, and judge whether the canary fails more often: by class
// and pooled, by the difference in failure rates and the evidence for it. A few bad endpoints must not
// convict a release, so those that fail most are left out. Stable outcomes fade, so that a fault that strikes
// all during a release does not stand against a long good past. With too few outcomes of this router's own,
// the platform's samples over all routers stand in. Units: outcomes, rates. No I/O. Errors: none.
#pragma once
#include <cstddef>
#include <vector>

#include "base/outcome_count.hpp"
#include "policy/endpoint_table.hpp"
#include "policy/regression.hpp"
#include "policy/release_role.hpp"
#include "policy/release_tracker.hpp"

namespace ashbeam::policy {

struct FailureVerdict {
  Regression regression = Regression::kNone;
  bool by_samples = false;  // of the platform; `canary` and `stable` are this router's own counts
  OutcomeCount canary;
  OutcomeCount stable;
};

class FailureComparison {
 public:
  // `severe_evidence`: the log-likelihood ratio that a severe regression asks for.
  FailureComparison(std::size_t class_count, double severe_evidence);

  // An outcome of a warm endpoint: `failure` is 0 (good) to 1 (failed).
  void add_outcome(Endpoint& endpoint, unsigned request_class, double failure) const;
  // Outcomes that the platform has counted over all routers.
  void add_sample(ReleaseRole role, const OutcomeSample& sample);
  // A new version is under release; `former_released`: the one before it is stable now.
  void begin_release(bool former_released);

  // Judges by all that was added; fades the endpoints' counts.
  FailureVerdict judge(EndpointTable& endpoints, const ReleaseTracker& release);

 private:
  struct CanaryEndpoint {
    EndpointIndex index = 0;
    double failed = 0;
  };

  Regression judge_rates(const OutcomeCount& canary, const OutcomeCount& stable) const;
  Regression judge_samples() const;
  Regression judge_own_outcomes(const EndpointTable& endpoints, const ReleaseTracker& release,
                                FailureVerdict& verdict);
  void fade_and_collect(EndpointTable& endpoints, const ReleaseTracker& release);
  void leave_out_worst(ReleasePhase phase);
  PerRole<OutcomeCount> sum_outcomes(const EndpointTable& endpoints, const ReleaseTracker& release,
                                     std::size_t counted) const;

  std::size_t class_count_;
  double severe_evidence_;
  double former_stable_rate_ = 0;               // pooled, when there were enough outcomes to tell
  PerRole<std::vector<OutcomeCount>> samples_;  // by request class
  // Of the judgement at hand; kept for their memory.
  std::vector<CanaryEndpoint> canaries_;
  std::vector<bool> left_out_;    // by endpoint
  bool stable_outliers_ = false;  // some stable endpoint is ejected for failing
};

}  // namespace ashbeam::policy
