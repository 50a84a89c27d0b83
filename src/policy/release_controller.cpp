#include "policy/release_controller.hpp"

#include <algorithm>

#include "policy/promotion.hpp"

namespace ashbeam::policy {

namespace {

constexpr Duration kJudgementInterval = Duration::ms(250);

// With a bake time shorter than this waits are as much shorter, down to the least pace.
constexpr Duration kFullPaceBakeTime = Duration::s(2);
constexpr double kMinPace = 0.3;

double pace_of(const RouterSettings& settings) {
  return std::clamp(settings.bake_time / kFullPaceBakeTime, kMinPace, 1.0);
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
    : parts_(parts), pace_(pace_of(parts.settings)), ramp_(pace_), votes_(parts.settings, parts.random) {}

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
    if (release.known() || state.phase == ReleasePhase::kCanary)
      parts_.log.write("release %u: stage %u, phase %s, exposure cap %.3f, traffic weight %.2f",
                       state.version, state.stage, name_of(state.phase), state.exposure_cap, ramp_.weight());
  }
  if (ReleaseTracker::ends_in_rollback(state.phase)) votes_.clear();
  release.apply(state, now);
  return true;
}

void ReleaseController::on_tick(Instant now) {
  if (now < next_judgement_) return;
  next_judgement_ = now + kJudgementInterval * pace_;
  step(now);
}

void ReleaseController::step(Instant now) {
  const ReleaseTracker& release = parts_.release;
  if (!release.known() || ReleaseTracker::ends_in_rollback(release.phase())) return;
  const Regression regression =
      ramp_.stopped() ? Regression::kSevere
                      : parts_.regression.judge(parts_.monitor.in_service(), ramp_.regression_since(), now);
  if (regression == Regression::kSevere) return brake(now);
  ramp_.on_judgement(regression, now);
  if (release.phase() == ReleasePhase::kReleased) return;
  const RampStep step = ramp_.advance(regression, parts_.endpoints.canary_ready() > 0, now);
  if (step == RampStep::kSteppedBack) on_step_back(now);
  if (step == RampStep::kReachedFullWeight)
    parts_.log.write("release %u stage %u: full traffic weight", release.version(), release.stage());
  if (regression == Regression::kModerate) {
    if (votes_.standing() == Vote::kPromote) cast(Vote::kAbstain, now);
    return;
  }
  const bool promote = !parts_.settings.promoted_automatically &&
                       ready_to_promote(parts_.settings, pace_, release, ramp_, parts_.endpoints,
                                        parts_.monitor.in_service(), now);
  if (promote) cast(Vote::kPromote, now);
}

void ReleaseController::brake(Instant now) {
  const ReleaseTracker& release = parts_.release;
  if (!ramp_.stopped())
    parts_.log.write("release %u stage %u: traffic weight %.2f to 0, voting abort", release.version(),
                     release.stage(), ramp_.weight());
  ramp_.stop();
  cast(Vote::kAbort, now);
}

void ReleaseController::on_step_back(Instant now) {
  const ReleaseTracker& release = parts_.release;
  parts_.log.write("release %u stage %u: moderate regression, traffic weight stepped back to %.2f",
                   release.version(), release.stage(), ramp_.weight());
  if (!parts_.settings.promoted_automatically || pause_voted_) return;
  cast(Vote::kPause, now);
  pause_voted_ = true;
}

void ReleaseController::cast(Vote vote, Instant now) {
  const ReleaseTracker& release = parts_.release;
  const Ballot ballot{vote, release.version(), release.stage()};
  const VoteDecision decision = votes_.decide(ballot, now);
  if (decision == VoteDecision::kWait) return;
  if (decision == VoteDecision::kSend)
    parts_.log.write("vote %s: release %u stage %u, traffic weight %.2f", name_of(vote), ballot.version,
                     ballot.stage, ramp_.weight());
  parts_.actions.cast_vote(ballot.version, ballot.stage, vote);
}

}  // namespace ashbeam::policy
