#include "policy/regression_detector.hpp"

#include <algorithm>
#include <cmath>

namespace ashbeam::policy {

namespace {

// Every router that evaluates the release may raise a false alarm. With more routers than this for each abort
// vote that is needed, each router requires more evidence.
constexpr double kBaseRoutersPerAbortVote = 5;
constexpr double kEvidencePerLogRouterExcess = 2;

// Wrong answers: the minimum number of reports on the canary, and how much its rate of wrong answers must at
// least exceed twice the stable rate.
constexpr double kMinDisputeReports = 3;
constexpr double kMinWrongAnswerRateExcess = 0.03;

// Latency ratios above which there is a regression: of the canary's latencies to the stable median, and of
// the mean latency of all endpoints to that before the release.
constexpr double kModerateCanarySlowdownThreshold = 1.25;
constexpr double kSevereCanarySlowdownThreshold = 1.6;
constexpr double kModerateOverallSlowdownThreshold = 1.8;
constexpr double kSevereOverallSlowdownThreshold = 2.3;
constexpr double kSevereSlowdownExponentPerLogRouterExcess = 0.75;
// A slowdown is severe only after it has lasted this long.
constexpr Duration kMinSevereSlowdownDuration = Duration::s(3);
// Once the version is released, no stable version is left to compare it with. Its latency baseline is then
// the latency before the release times this factor.
constexpr double kReleasedBaselineFactor = 2;
// Minimum number of latencies before the release for their mean to be a baseline.
constexpr double kMinBaselineLatencies = 30;

// A slowdown of all endpoints is not attributed to the release for this time after an external fault, nor
// while the capacity is at most this fraction of that before the release.
constexpr Duration kExternalFaultEffectDuration = Duration::s(8);
constexpr double kMinCapacityFraction = 0.85;

// Returns the natural logarithm of the number of routers for each needed abort vote, as a multiple of
// kBaseRoutersPerAbortVote; 0 if that multiple is below 1.
double log_router_excess(const RouterSettings& settings) {
  const double router_excess =
      settings.router_count / (kBaseRoutersPerAbortVote * std::max(settings.abort_votes_needed, 1U));
  return std::log(std::max(1.0, router_excess));
}

// Returns the log-likelihood ratio that a severe regression requires.
double severe_evidence_threshold(const RouterSettings& settings) {
  return kStrongEvidenceThreshold + kEvidencePerLogRouterExcess * log_router_excess(settings);
}

}  // namespace

RegressionDetector::RegressionDetector(const Inputs& inputs)
    : inputs_(inputs), log_router_excess_(log_router_excess(inputs.settings)),
      failures_(inputs.settings.request_classes.size(), severe_evidence_threshold(inputs.settings)),
      latencies_(inputs.settings.machine_type_count, inputs.settings.request_classes.size()) {}

void RegressionDetector::begin_release() {
  const bool previous_released =
      inputs_.release.has_state() && inputs_.release.phase() == ReleasePhase::kReleased;
  latencies_.begin_release(previous_released);
  failures_.begin_release(previous_released);
  const DecayingMean& usual = inputs_.latency.long_term_mean();
  const bool has_baseline = inputs_.release.has_state() && usual.count >= kMinBaselineLatencies;
  latency_before_release_ms_ = has_baseline ? usual.mean : 0;
  ready_endpoints_before_release_ = static_cast<double>(inputs_.endpoints.ready());
}

void RegressionDetector::add_sample(const OutcomeSample& sample) {
  if (sample.request_class >= inputs_.settings.request_classes.size()) return;
  if (sample.version > inputs_.release.version()) return;
  failures_.add_sample(inputs_.release.evidence_role(sample.version), sample);
}

void RegressionDetector::add_disputed_answer(const DisputedAnswer& disputed, Instant now) {
  if (!inputs_.endpoints.contains(disputed.endpoint)) return;
  Endpoint& endpoint = inputs_.endpoints[disputed.endpoint];
  if (now - disputed.since_sent > endpoint.started_at) endpoint.answers.failed += 1;
}

Regression RegressionDetector::evaluate(const InService& in_service, Instant regression_since, Instant now) {
  const FailureEvaluation failures = failures_.evaluate(inputs_.endpoints, inputs_.release);
  if (canary_has_more_wrong_answers()) return Regression::kSevere;
  if (failures.regression == Regression::kSevere) {
    inputs_.log.write(
        "release %u: severe regression, failure rate%s: own canary outcomes %.0f of %.0f failed, own stable "
        "rate %.3f",
        inputs_.release.version(), failures.from_samples ? " in the platform's samples" : "",
        failures.canary.failed, failures.canary.total, failures.stable.failure_rate());
    return Regression::kSevere;
  }
  return std::max(failures.regression, evaluate_latencies(in_service, regression_since, now));
}

bool RegressionDetector::canary_has_more_wrong_answers() const {
  PerRole<OutcomeCount> answers;
  for (const Endpoint& endpoint : inputs_.endpoints) {
    if (endpoint.version <= inputs_.release.version())
      answers[inputs_.release.evidence_role(endpoint.version)].merge(endpoint.answers);
  }
  const double reported_fraction = inputs_.settings.dispute_report_fraction;
  const double canary = answers.canary.failure_rate() / reported_fraction;
  const double stable = answers.stable.failure_rate() / reported_fraction;
  const bool clearly_more =
      answers.canary.failed >= kMinDisputeReports && canary > 2 * stable + kMinWrongAnswerRateExcess;
  if (!clearly_more) return false;
  if (log_likelihood_ratio(answers.canary, answers.stable) < severe_evidence_threshold(inputs_.settings))
    return false;
  inputs_.log.write(
      "release %u: severe regression, wrong answers: estimated canary rate %.3f, stable rate %.3f, reports "
      "on canary %.0f",
      inputs_.release.version(), canary, stable, answers.canary.failed);
  return true;
}

Regression RegressionDetector::evaluate_latencies(const InService& in_service, Instant regression_since,
                                                  Instant now) {
  const bool is_canary_phase = inputs_.release.phase() == ReleasePhase::kCanary;
  const double overall = overall_slowdown(in_service, now);
  const auto canary_is_slower = [&](double factor, double evidence) {
    return is_canary_phase &&
           latencies_.canary_is_slower({factor, kMinOutcomes, evidence}, inputs_.endpoints.size(), now);
  };
  if (overall <= kModerateOverallSlowdownThreshold &&
      !canary_is_slower(kModerateCanarySlowdownThreshold, kModerateEvidenceThreshold))
    return Regression::kNone;
  const bool lasting = regression_since > Instant() && now - regression_since >= kMinSevereSlowdownDuration;
  const double severe_overall_threshold = std::pow(
      kSevereOverallSlowdownThreshold, 1 + kSevereSlowdownExponentPerLogRouterExcess * log_router_excess_);
  if (!lasting || (overall <= severe_overall_threshold &&
                   !canary_is_slower(kSevereCanarySlowdownThreshold, kStrongEvidenceThreshold)))
    return Regression::kModerate;
  inputs_.log.write(
      "release %u: severe regression, latency: regression lasted %.1f s, mean latency of all endpoints %.2f "
      "times the baseline",
      inputs_.release.version(), (now - regression_since).s(), overall);
  return Regression::kSevere;
}

double RegressionDetector::overall_slowdown(const InService& in_service, Instant now) {
  const bool is_canary_phase = inputs_.release.phase() == ReleasePhase::kCanary;
  const double baseline_ms = latency_before_release_ms_ * (is_canary_phase ? 1 : kReleasedBaselineFactor);
  const double slowdown = baseline_ms > 0 ? inputs_.latency.short_term_mean().mean / baseline_ms : 1;
  // Until a full window has passed since the start, the router does not know how many requests are usual.
  const RouterSettings& settings = inputs_.settings;
  if (now - started_at_ >= settings.exposure_window + settings.clock_tolerance) {
    const auto arrivals = static_cast<double>(
        inputs_.arrivals.count_all_since(now - settings.exposure_window + settings.clock_tolerance));
    if (surges_.detect(arrivals, slowdown > kModerateOverallSlowdownThreshold, now)) on_external_fault(now);
  }
  const bool explained = now - last_external_fault_at_ <= kExternalFaultEffectDuration ||
                         in_service.capacity <= kMinCapacityFraction * ready_endpoints_before_release_;
  return explained ? 1 : slowdown;
}

}  // namespace ashbeam::policy
