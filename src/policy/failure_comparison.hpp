// Compares the failure rate of a release's canary with that of the stable versions.
//
// Outcomes are counted by endpoint and request class. The canary has a regression if its failure rate exceeds
// the stable one by a minimum difference and the evidence for that is strong enough, in one class or over all
// classes. The canary endpoints with the most failures are excluded, because a few faulty endpoints must not
// cause a regression of their release. The weight of stable outcomes decays, so that a fault which affects
// all endpoints during a release is not compared with a long period without faults. If this router has too
// few outcomes of its own, the samples that the platform has counted over all routers are compared instead.
#pragma once
#include <cstddef>
#include <vector>

#include "base/outcome_count.hpp"
#include "policy/endpoint_table.hpp"
#include "policy/regression.hpp"
#include "policy/release_role.hpp"
#include "policy/release_tracker.hpp"

namespace ashbeam::policy {

struct FailureEvaluation {
  Regression regression = Regression::kNone;
  // True if `regression` results from the platform's samples. `canary` and `stable` are the sums of this
  // router's own outcomes in either case.
  bool from_samples = false;
  OutcomeCount canary;
  OutcomeCount stable;
};

class FailureComparison {
 public:
  // `severe_evidence_threshold` is the log-likelihood ratio that a severe regression requires.
  FailureComparison(std::size_t class_count, double severe_evidence_threshold);

  // Adds the outcome of an attempt to a warm endpoint. `failure` is from 0 (success) to 1 (failure).
  void add_outcome(Endpoint& endpoint, unsigned request_class, double failure) const;
  // Adds outcomes that the platform has counted over all routers.
  void add_sample(ReleaseRole role, const OutcomeSample& sample);
  // Called when the platform announces another version. `previous_released` says whether the version before
  // it was released: its samples then become those of the stable versions.
  void begin_release(bool previous_released);

  // Evaluates all outcomes and samples so far, and reduces the weight of the stable endpoints' outcomes.
  FailureEvaluation evaluate(EndpointTable& endpoints, const ReleaseTracker& release);

 private:
  struct CanaryEndpoint {
    EndpointIndex index = 0;
    double failed = 0;  // Weighted number of failed outcomes.
  };

  Regression compare_rates(const OutcomeCount& canary, const OutcomeCount& stable) const;
  Regression evaluate_samples() const;
  // Evaluates this router's own outcomes, and sets `canary` and `stable` of `evaluation` to their sums.
  Regression evaluate_own_outcomes(const EndpointTable& endpoints, const ReleaseTracker& release,
                                   FailureEvaluation& evaluation);
  // Reduces the weight of the stable endpoints' outcomes, and sets `canary_endpoints_` and
  // `has_failing_stable_outlier_`.
  void decay_and_collect(EndpointTable& endpoints, const ReleaseTracker& release);
  // Excludes the canary endpoints with the most failures: one if there are at least two, and a quarter,
  // rounded up, once the version is released.
  void exclude_worst_canaries(ReleasePhase phase);
  // Sums the outcomes of the endpoints that are not excluded. Ejected endpoints do not count either while
  // `has_failing_stable_outlier_` is true. `class_index` is a request class, or `class_count_` for all
  // classes.
  PerRole<OutcomeCount> sum_outcomes(const EndpointTable& endpoints, const ReleaseTracker& release,
                                     std::size_t class_index) const;

  std::size_t class_count_;
  double severe_evidence_threshold_;
  // Failure rate over all classes, from the last evaluation that had enough stable outcomes.
  double last_stable_failure_rate_ = 0;
  PerRole<std::vector<OutcomeCount>> samples_;  // By request class.
  // Used within evaluate() only; members so that their memory is reused.
  std::vector<CanaryEndpoint> canary_endpoints_;
  std::vector<bool> excluded_;  // By endpoint index.
  // True if a stable endpoint is ejected and has enough failures for a moderate regression.
  bool has_failing_stable_outlier_ = false;
};

}  // namespace ashbeam::policy
