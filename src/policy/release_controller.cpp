#include "policy/release_controller.hpp"

#include <algorithm>

#include "policy/promotion.hpp"

namespace ashbeam::policy {

namespace {

// Time between two evaluations of the release, before the wait factor is applied.
constexpr Duration kEvaluationInterval = Duration::ms(250);

// If the bake time is shorter than this, waiting times are shortened in proportion, down to the minimum
// factor.
constexpr Duration kFullWaitBakeTime = Duration::s(2);
constexpr double kMinWaitFactor = 0.3;

double wait_factor_for(const RouterSettings& settings) {
  return std::clamp(settings.bake_time / kFullWaitBakeTime, kMinWaitFactor, 1.0);
}

const char* name_of(ReleasePhase phase) {
  switch (phase) {
    case ReleasePhase::kCanary:
      return "canary";
    case ReleasePhase::kRollingBack:
      return "rolling back";
    case ReleasePhase::kReleased:
      return "released";
    case ReleasePhase::kWithdrawn:
      return "withdrawn";
  }
  return "unknown";
}

const char* name_of(Vote vote) {
  switch (vote) {
    case Vote::kAbstain:
      return "abstain";
    case Vote::kPromote:
      return "promote";
    case Vote::kPause:
      return "pause";
    case Vote::kAbort:
      return "abort";
  }
  return "unknown";
}

}  // namespace

ReleaseController::ReleaseController(const Parts& parts)
    : parts_(parts), wait_factor_(wait_factor_for(parts.settings)), ramp_(wait_factor_),
      votes_(parts.settings, parts.random) {}

void ReleaseController::start(Instant now) {
  ramp_.begin_release(now);
  parts_.release.start(now);
  parts_.regression.start(now);
}

bool ReleaseController::on_release_state(const ReleaseState& state, Instant now) {
  ReleaseTracker& release = parts_.release;
  if (release.is_outdated(state)) return false;
  if (release.is_new_version(state)) {
    parts_.regression.begin_release();
    ramp_.begin_release(now);
    votes_.clear();
  }
  if (release.is_new_stage(state)) {
    votes_.on_new_stage();
    pause_voted_ = false;
    if (release.has_state() || state.phase == ReleasePhase::kCanary)
      parts_.log.write("release %u: stage %u, phase %s, exposure cap %.3f, traffic weight %.2f",
                       state.version, state.stage, name_of(state.phase), state.exposure_cap, ramp_.weight());
  }
  if (ReleaseTracker::ends_in_rollback(state.phase)) votes_.clear();
  release.apply(state, now);
  return true;
}

void ReleaseController::on_tick(Instant now) {
  if (now < next_evaluation_at_) return;
  next_evaluation_at_ = now + kEvaluationInterval * wait_factor_;
  evaluate_release(now);
}

void ReleaseController::evaluate_release(Instant now) {
  const ReleaseTracker& release = parts_.release;
  if (!release.has_state() || ReleaseTracker::ends_in_rollback(release.phase())) return;
  const Regression regression =
      ramp_.is_stopped()
          ? Regression::kSevere
          : parts_.regression.evaluate(parts_.monitor.in_service(), ramp_.regression_since(), now);
  if (regression == Regression::kSevere) return stop_canary(now);
  ramp_.on_evaluation(regression, now);
  if (release.phase() == ReleasePhase::kReleased) return;
  const RampStep ramp_step = ramp_.advance(regression, parts_.endpoints.canary_ready() > 0, now);
  if (ramp_step == RampStep::kSteppedBack) on_step_back(now);
  if (ramp_step == RampStep::kReachedFullWeight)
    parts_.log.write("release %u stage %u: full traffic weight, the whole exposure cap is used",
                     release.version(), release.stage());
  if (regression == Regression::kModerate) {
    if (votes_.active_vote() == Vote::kPromote) cast_vote(Vote::kAbstain, now);
    return;
  }
  const bool promote = !parts_.settings.promoted_automatically &&
                       is_ready_to_promote(parts_.settings, wait_factor_, release, ramp_, parts_.endpoints,
                                           parts_.monitor.in_service(), now);
  if (promote) cast_vote(Vote::kPromote, now);
}

void ReleaseController::stop_canary(Instant now) {
  const ReleaseTracker& release = parts_.release;
  if (!ramp_.is_stopped())
    parts_.log.write(
        "release %u stage %u: severe regression, traffic weight lowered from %.2f to 0, voting to abort",
        release.version(), release.stage(), ramp_.weight());
  ramp_.stop();
  cast_vote(Vote::kAbort, now);
}

void ReleaseController::on_step_back(Instant now) {
  const ReleaseTracker& release = parts_.release;
  parts_.log.write("release %u stage %u: moderate regression, traffic weight stepped back to %.2f",
                   release.version(), release.stage(), ramp_.weight());
  if (!parts_.settings.promoted_automatically || pause_voted_) return;
  cast_vote(Vote::kPause, now);
  pause_voted_ = true;
}

void ReleaseController::cast_vote(Vote vote, Instant now) {
  const ReleaseTracker& release = parts_.release;
  const Ballot ballot{vote, release.version(), release.stage()};
  const VoteDecision decision = votes_.decide(ballot, now);
  if (decision == VoteDecision::kWait) return;
  if (decision == VoteDecision::kSend)
    parts_.log.write("sending vote '%s' on release %u stage %u, traffic weight %.2f", name_of(vote),
                     ballot.version, ballot.stage, ramp_.weight());
  parts_.actions.cast_vote(ballot.version, ballot.stage, vote);
}

}  // namespace ashbeam::policy
