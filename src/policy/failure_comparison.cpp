#include "policy/failure_comparison.hpp"

#include <algorithm>

namespace ashbeam::policy {

namespace {

// A regression requires a difference of the failure rates of at least this much, and at least this many
// failures of the canary.
constexpr double kMinModerateRateExcess = 0.02;
constexpr double kMinSevereRateExcess = 0.05;
constexpr double kMinModerateFailures = 3;
constexpr double kMinSevereFailures = 5;

// Once this many outcomes or samples are counted, the weight of all earlier ones is halved.
constexpr double kOutcomeHalfLife = 80;
constexpr double kSampleHalfLife = 160;
// Each evaluation multiplies the weight of a stable endpoint's outcomes by this factor.
constexpr double kStableDecayFactor = 0.94;

// Minimum number of canary outcomes for the test of a single class; the test over all classes needs more.
constexpr double kMinOutcomesPerClass = kMinOutcomes / 2;

}  // namespace

FailureComparison::FailureComparison(std::size_t class_count, double severe_evidence_threshold)
    : class_count_(class_count), severe_evidence_threshold_(severe_evidence_threshold) {
  samples_.stable.resize(class_count);
  samples_.canary.resize(class_count);
}

void FailureComparison::add_outcome(Endpoint& endpoint, unsigned request_class, double failure) const {
  endpoint.outcomes_by_class[request_class].add(failure, kOutcomeHalfLife);
  endpoint.outcomes_by_class.back().add(failure, kOutcomeHalfLife * static_cast<double>(class_count_));
}

void FailureComparison::add_sample(ReleaseRole role, const OutcomeSample& sample) {
  OutcomeCount& count = samples_[role][sample.request_class];
  if (count.total > kSampleHalfLife) count.scale(0.5);
  count.merge({1.0 * sample.count, 1.0 * sample.failed});
}

void FailureComparison::begin_release(bool previous_released) {
  if (previous_released) samples_.stable = samples_.canary;
  std::fill(samples_.canary.begin(), samples_.canary.end(), OutcomeCount{});
}

FailureEvaluation FailureComparison::evaluate(EndpointTable& endpoints, const ReleaseTracker& release) {
  decay_and_collect(endpoints, release);
  excluded_.assign(endpoints.size(), false);
  exclude_worst_canaries(release.phase());
  FailureEvaluation evaluation;
  evaluation.regression = evaluate_own_outcomes(endpoints, release, evaluation);
  evaluation.from_samples = evaluation.canary.total < kMinOutcomes;
  if (evaluation.from_samples) evaluation.regression = evaluate_samples();
  return evaluation;
}

Regression FailureComparison::compare_rates(const OutcomeCount& canary, const OutcomeCount& stable) const {
  const double excess = canary.failure_rate() - stable.failure_rate();
  const double evidence = log_likelihood_ratio(canary, stable);
  if (excess >= kMinSevereRateExcess && canary.failed >= kMinSevereFailures &&
      evidence >= severe_evidence_threshold_)
    return Regression::kSevere;
  if (excess >= kMinModerateRateExcess && canary.failed >= kMinModerateFailures &&
      evidence >= kModerateEvidenceThreshold)
    return Regression::kModerate;
  return Regression::kNone;
}

Regression FailureComparison::evaluate_samples() const {
  Regression worst = Regression::kNone;
  for (std::size_t i = 0; i < class_count_; ++i) {
    const OutcomeCount& stable = samples_.stable[i];
    const OutcomeCount& canary = samples_.canary[i];
    if (std::min(canary.total, stable.total) >= kMinOutcomes)
      worst = std::max(worst, compare_rates(canary, stable));
  }
  return worst;
}

Regression FailureComparison::evaluate_own_outcomes(const EndpointTable& endpoints,
                                                    const ReleaseTracker& release,
                                                    FailureEvaluation& evaluation) {
  // If the canary has only one endpoint, that endpoint may be faulty itself, as ejected stable endpoints are.
  // It must not cause a severe regression of the release.
  const Regression max_regression = canary_endpoints_.size() == 1 && has_failing_stable_outlier_
                                        ? Regression::kModerate
                                        : Regression::kSevere;
  Regression worst = Regression::kNone;
  for (std::size_t class_index = 0; class_index <= class_count_; ++class_index) {
    PerRole<OutcomeCount> sum = sum_outcomes(endpoints, release, class_index);
    const bool pooled = class_index == class_count_;
    if (pooled) {
      if (sum.stable.total >= kMinOutcomes) last_stable_failure_rate_ = sum.stable.failure_rate();
      evaluation.canary = sum.canary;
      evaluation.stable = sum.stable;
    }
    if (sum.stable.total < kMinOutcomes) {
      const double rate = std::max(sum.stable.failure_rate(), last_stable_failure_rate_);
      sum.stable = {kOutcomeHalfLife, kOutcomeHalfLife * rate};
    }
    if (sum.canary.total < (pooled ? kMinOutcomes : kMinOutcomesPerClass)) continue;
    worst = std::max(worst, std::min(compare_rates(sum.canary, sum.stable), max_regression));
  }
  return evaluation.canary.total < kMinOutcomes ? Regression::kNone : worst;
}

void FailureComparison::decay_and_collect(EndpointTable& endpoints, const ReleaseTracker& release) {
  canary_endpoints_.clear();
  has_failing_stable_outlier_ = false;
  for (EndpointIndex index = 0; index < endpoints.size(); ++index) {
    Endpoint& endpoint = endpoints[index];
    if (endpoint.state == EndpointState::kRemoved) continue;
    const bool stable = release.evidence_role(endpoint.version) == ReleaseRole::kStable;
    const OutcomeCount& pooled = endpoint.outcomes_by_class.back();
    if (stable && !endpoint.outlier.ejected) {
      for (OutcomeCount& count : endpoint.outcomes_by_class) count.scale(kStableDecayFactor);
    }
    if (stable && endpoint.outlier.ejected && pooled.failed >= kMinModerateFailures)
      has_failing_stable_outlier_ = true;
    if (endpoint.version == release.version() && pooled.total > 0)
      canary_endpoints_.push_back({index, pooled.failed});
  }
}

void FailureComparison::exclude_worst_canaries(ReleasePhase phase) {
  if (canary_endpoints_.size() < 2) return;
  std::sort(canary_endpoints_.begin(), canary_endpoints_.end(),
            [](const CanaryEndpoint& a, const CanaryEndpoint& b) {
              return a.failed != b.failed ? a.failed > b.failed : a.index < b.index;
            });
  const std::size_t count = phase == ReleasePhase::kReleased ? (canary_endpoints_.size() + 3) / 4 : 1;
  for (std::size_t i = 0; i < count; ++i) excluded_[canary_endpoints_[i].index] = true;
}

PerRole<OutcomeCount> FailureComparison::sum_outcomes(const EndpointTable& endpoints,
                                                      const ReleaseTracker& release,
                                                      std::size_t class_index) const {
  PerRole<OutcomeCount> sum;
  for (EndpointIndex index = 0; index < endpoints.size(); ++index) {
    const Endpoint& endpoint = endpoints[index];
    if (endpoint.state == EndpointState::kRemoved || endpoint.version > release.version()) continue;
    if ((endpoint.outlier.ejected && has_failing_stable_outlier_) || excluded_[index]) continue;
    sum[release.evidence_role(endpoint.version)].merge(endpoint.outcomes_by_class[class_index]);
  }
  return sum;
}

}  // namespace ashbeam::policy
