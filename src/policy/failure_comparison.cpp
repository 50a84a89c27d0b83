#include "policy/failure_comparison.hpp"

#include <algorithm>

namespace ashbeam::policy {

namespace {

// Differences in failure rates, and failures that they take at the least.
constexpr double kModerateRateExcess = 0.02;
constexpr double kSevereRateExcess = 0.05;
constexpr double kModerateMinFailures = 3;
constexpr double kSevereMinFailures = 5;

// Once so many outcomes or samples are counted, older ones count half.
constexpr double kOutcomeHalfLife = 80;
constexpr double kSampleHalfLife = 160;
// What a stable endpoint's outcomes are worth at the next judgement.
constexpr double kStableFade = 0.94;

// One class is judged by fewer outcomes than all pooled.
constexpr double kMinOutcomesOfClass = kMinOutcomes / 2;

}  // namespace

FailureComparison::FailureComparison(std::size_t class_count, double severe_evidence)
    : class_count_(class_count), severe_evidence_(severe_evidence) {
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

void FailureComparison::begin_release(bool former_released) {
  if (former_released) samples_.stable = samples_.canary;
  std::fill(samples_.canary.begin(), samples_.canary.end(), OutcomeCount{});
}

FailureVerdict FailureComparison::judge(EndpointTable& endpoints, const ReleaseTracker& release) {
  fade_and_collect(endpoints, release);
  left_out_.assign(endpoints.size(), false);
  leave_out_worst(release.phase());
  FailureVerdict verdict;
  verdict.regression = judge_own_outcomes(endpoints, release, verdict);
  verdict.by_samples = verdict.canary.total < kMinOutcomes;
  if (verdict.by_samples) verdict.regression = judge_samples();
  return verdict;
}

Regression FailureComparison::judge_rates(const OutcomeCount& canary, const OutcomeCount& stable) const {
  const double excess = canary.failure_rate() - stable.failure_rate();
  const double evidence = log_likelihood_ratio(canary, stable);
  if (excess >= kSevereRateExcess && canary.failed >= kSevereMinFailures && evidence >= severe_evidence_)
    return Regression::kSevere;
  if (excess >= kModerateRateExcess && canary.failed >= kModerateMinFailures && evidence >= kLikely)
    return Regression::kModerate;
  return Regression::kNone;
}

Regression FailureComparison::judge_samples() const {
  Regression worst = Regression::kNone;
  for (std::size_t i = 0; i < class_count_; ++i) {
    const OutcomeCount& stable = samples_.stable[i];
    const OutcomeCount& canary = samples_.canary[i];
    if (std::min(canary.total, stable.total) >= kMinOutcomes)
      worst = std::max(worst, judge_rates(canary, stable));
  }
  return worst;
}

Regression FailureComparison::judge_own_outcomes(const EndpointTable& endpoints,
                                                 const ReleaseTracker& release, FailureVerdict& verdict) {
  // A canary's only endpoint may be bad itself, as ejected stable ones are: it can't convict the release.
  const Regression most =
      canaries_.size() == 1 && stable_outliers_ ? Regression::kModerate : Regression::kSevere;
  Regression worst = Regression::kNone;
  for (std::size_t counted = 0; counted <= class_count_; ++counted) {
    PerRole<OutcomeCount> sum = sum_outcomes(endpoints, release, counted);
    const bool pooled = counted == class_count_;
    if (pooled) {
      if (sum.stable.total >= kMinOutcomes) former_stable_rate_ = sum.stable.failure_rate();
      verdict.canary = sum.canary;
      verdict.stable = sum.stable;
    }
    if (sum.stable.total < kMinOutcomes) {
      const double rate = std::max(sum.stable.failure_rate(), former_stable_rate_);
      sum.stable = {kOutcomeHalfLife, kOutcomeHalfLife * rate};
    }
    if (sum.canary.total < (pooled ? kMinOutcomes : kMinOutcomesOfClass)) continue;
    worst = std::max(worst, std::min(judge_rates(sum.canary, sum.stable), most));
  }
  return verdict.canary.total < kMinOutcomes ? Regression::kNone : worst;
}

void FailureComparison::fade_and_collect(EndpointTable& endpoints, const ReleaseTracker& release) {
  canaries_.clear();
  stable_outliers_ = false;
  for (EndpointIndex index = 0; index < endpoints.size(); ++index) {
    Endpoint& endpoint = endpoints[index];
    if (endpoint.state == EndpointState::kRemoved) continue;
    const bool stable = release.evidence_role(endpoint.version) == ReleaseRole::kStable;
    const OutcomeCount& pooled = endpoint.outcomes_by_class.back();
    if (stable && !endpoint.outlier.ejected) {
      for (OutcomeCount& count : endpoint.outcomes_by_class) count.scale(kStableFade);
    }
    if (stable && endpoint.outlier.ejected && pooled.failed >= kModerateMinFailures) stable_outliers_ = true;
    if (endpoint.version == release.version() && pooled.total > 0)
      canaries_.push_back({index, pooled.failed});
  }
}

// The canary endpoints that fail most: one of two or more; after the release, a quarter.
void FailureComparison::leave_out_worst(ReleasePhase phase) {
  if (canaries_.size() < 2) return;
  std::sort(canaries_.begin(), canaries_.end(), [](const CanaryEndpoint& a, const CanaryEndpoint& b) {
    return a.failed != b.failed ? a.failed > b.failed : a.index < b.index;
  });
  const std::size_t count = phase == ReleasePhase::kReleased ? (canaries_.size() + 3) / 4 : 1;
  for (std::size_t i = 0; i < count; ++i) left_out_[canaries_[i].index] = true;
}

// `counted`: a request class, or class_count_ for all.
PerRole<OutcomeCount> FailureComparison::sum_outcomes(const EndpointTable& endpoints,
                                                      const ReleaseTracker& release,
                                                      std::size_t counted) const {
  PerRole<OutcomeCount> sum;
  for (EndpointIndex index = 0; index < endpoints.size(); ++index) {
    const Endpoint& endpoint = endpoints[index];
    if (endpoint.state == EndpointState::kRemoved || endpoint.version > release.version()) continue;
    if ((endpoint.outlier.ejected && stable_outliers_) || left_out_[index]) continue;
    sum[release.evidence_role(endpoint.version)].merge(endpoint.outcomes_by_class[counted]);
  }
  return sum;
}

}  // namespace ashbeam::policy
