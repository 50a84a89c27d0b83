#include "policy/regression_detector.hpp"

#include <algorithm>
#include <cmath>

namespace ashbeam::policy {

namespace {

// Each router that judges is a chance of a false alarm: past so many for each abort vote, each asks for more
// evidence.
constexpr double kFewJudges = 5;
constexpr double kEvidencePerJudgesLog = 2;

// Wrong answers: clients' reports that it takes, and the part of answers that they stand for.
constexpr double kMinReports = 3;
constexpr double kWrongAnswerPart = 0.03;

// Latency factors: of the canary against the stable median, and of all endpoints against the time before.
constexpr double kModerateSlowdown = 1.25;
constexpr double kLastingSlowdown = 1.6;
constexpr double kFleetSlowdown = 1.8;
constexpr double kLastingFleetSlowdown = 2.3;
constexpr double kLastingFleetExponentPerJudgesLog = 0.75;
constexpr Duration kLasting = Duration::s(3);
// After its release there is nothing beside the version to compare with: only so many times as much counts.
constexpr double kReleasedYardstickFactor = 2;
// Latencies that it takes to know what was usual before the release.
constexpr double kMinUsualLatencies = 30;

// What explains slowness of all: an outside fault, for so long, or less than this part of the capacity
// before.
constexpr Duration kOutsideFaultLasts = Duration::s(8);
constexpr double kMinCapacityPart = 0.85;

double judges_log(const RouterSettings& settings) {
  const double judges_per_vote =
      settings.router_count / (kFewJudges * std::max(settings.abort_votes_needed, 1U));
  return std::log(std::max(1.0, judges_per_vote));
}

double severe_evidence(const RouterSettings& settings) {
  return kSure + kEvidencePerJudgesLog * judges_log(settings);
}

}  // namespace

RegressionDetector::RegressionDetector(const Inputs& inputs)
    : in_(inputs), judges_log_(judges_log(inputs.settings)),
      failures_(inputs.settings.request_classes.size(), severe_evidence(inputs.settings)),
      latencies_(inputs.settings.machine_type_count, inputs.settings.request_classes.size()) {}

void RegressionDetector::begin_release() {
  const bool former_released = in_.release.known() && in_.release.phase() == ReleasePhase::kReleased;
  latencies_.begin_release(former_released);
  failures_.begin_release(former_released);
  const DecayingMean& usual = in_.latency.long_term_mean();
  const bool usual_known = in_.release.known() && usual.count >= kMinUsualLatencies;
  latency_before_release_ms_ = usual_known ? usual.mean : 0;
  ready_before_release_ = static_cast<double>(in_.endpoints.ready());
}

void RegressionDetector::add_sample(const OutcomeSample& sample) {
  if (sample.request_class >= in_.settings.request_classes.size()) return;
  if (sample.version > in_.release.version()) return;
  failures_.add_sample(in_.release.judged_role(sample.version), sample);
}

void RegressionDetector::add_disputed_answer(const DisputedAnswer& disputed, Instant now) {
  if (!in_.endpoints.contains(disputed.endpoint)) return;
  Endpoint& endpoint = in_.endpoints[disputed.endpoint];
  if (now - disputed.since_sent > endpoint.started_at) endpoint.answers.failed += 1;
}

Regression RegressionDetector::judge(const InService& in_service, Instant regression_since, Instant now) {
  const FailureVerdict failures = failures_.judge(in_.endpoints, in_.release);
  if (answers_are_wrong()) return Regression::kSevere;
  if (failures.regression == Regression::kSevere) {
    in_.log.write("severe regression, failures%s: canary %.0f of %.0f failed, stable rate %.3f",
                  failures.by_samples ? " by the platform's samples" : "", failures.canary.failed,
                  failures.canary.total, failures.stable.failure_rate());
    return Regression::kSevere;
  }
  return std::max(failures.regression, judge_latencies(in_service, regression_since, now));
}

bool RegressionDetector::answers_are_wrong() const {
  PerRole<OutcomeCount> answers;
  for (const Endpoint& endpoint : in_.endpoints) {
    if (endpoint.version <= in_.release.version())
      answers[in_.release.judged_role(endpoint.version)].merge(endpoint.answers);
  }
  const double reported_part = in_.settings.dispute_report_fraction;
  const double canary = answers.canary.failure_rate() / reported_part;
  const double stable = answers.stable.failure_rate() / reported_part;
  const bool clearly_more = answers.canary.failed >= kMinReports && canary > 2 * stable + kWrongAnswerPart;
  if (!clearly_more) return false;
  if (log_likelihood_ratio(answers.canary, answers.stable) < severe_evidence(in_.settings)) return false;
  in_.log.write("severe regression, wrong answers: canary %.3f, stable %.3f, reports %.0f", canary, stable,
                answers.canary.failed);
  return true;
}

Regression RegressionDetector::judge_latencies(const InService& in_service, Instant regression_since,
                                               Instant now) {
  const bool compared = in_.release.phase() == ReleasePhase::kCanary;
  const double fleet = fleet_slowdown(in_service, now);
  const auto canary_slower = [&](double factor, double evidence) {
    return compared &&
           latencies_.canary_is_slower({factor, kMinOutcomes, evidence}, in_.endpoints.size(), now);
  };
  if (fleet <= kFleetSlowdown && !canary_slower(kModerateSlowdown, kLikely)) return Regression::kNone;
  const bool lasts = regression_since > Instant() && now - regression_since >= kLasting;
  const double lasting_fleet_slowdown =
      std::pow(kLastingFleetSlowdown, 1 + kLastingFleetExponentPerJudgesLog * judges_log_);
  if (!lasts || (fleet <= lasting_fleet_slowdown && !canary_slower(kLastingSlowdown, kSure)))
    return Regression::kModerate;
  in_.log.write("severe regression, latency: slow for %.1f s, all endpoints %.2f times as before the release",
                (now - regression_since).s(), fleet);
  return Regression::kSevere;
}

double RegressionDetector::fleet_slowdown(const InService& in_service, Instant now) {
  const bool compared = in_.release.phase() == ReleasePhase::kCanary;
  const double yardstick_ms = latency_before_release_ms_ * (compared ? 1 : kReleasedYardstickFactor);
  const double slowdown = yardstick_ms > 0 ? in_.latency.short_term_mean().mean / yardstick_ms : 1;
  // Too soon after its start, this router does not know how many requests are usual.
  const RouterSettings& settings = in_.settings;
  if (now - started_at_ >= settings.exposure_window + settings.clock_tolerance) {
    const auto arrivals = static_cast<double>(
        in_.arrivals.count_all_since(now - settings.exposure_window + settings.clock_tolerance));
    if (surges_.add(arrivals, slowdown > kFleetSlowdown, now)) on_outside_fault(now);
  }
  const bool explained = now - last_outside_fault_ <= kOutsideFaultLasts ||
                         in_service.capacity <= kMinCapacityPart * ready_before_release_;
  return explained ? 1 : slowdown;
}

}  // namespace ashbeam::policy
