#include "simulated_platform.hpp"

#include <algorithm>
#include <utility>

#include "simulated_endpoint.hpp"

namespace ashbeam {
namespace {

constexpr Duration kSampleInterval = Duration::s(2);
// From the start of the stage's last endpoint until the bake time begins.
constexpr Duration kBakeMargin = Duration::s(1);

}  // namespace

void SimulatedPlatform::run(Instant now, Duration step) {
  if (release_started_at_ == Instant()) {
    release_started_at_ = now;
    begin_stage(0, now);
  }
  available_calls_ = std::min(available_calls_ + settings_.max_platform_calls_per_s * step.s(),
                              settings_.max_platform_calls_per_s);
  if (phase_ != ReleasePhase::kCanary) return;
  if (now - published_at_ >= kSampleInterval) publish_outcome_samples(now);
  const VoteCounts votes = count_votes(now);
  const auto promote_votes_needed = votes_.size() * 2 / 5;
  if (votes.abort >= settings_.abort_votes_needed) {
    roll_back(now);
  } else if (votes.promote >= promote_votes_needed && now - bake_began_at_ >= settings_.bake_time) {
    promote(now);
  }
}

void SimulatedPlatform::begin_stage(unsigned stage, Instant now) {
  stage_ = stage;
  stage_began_at_ = now;
  actions_.notify_release_state();
  const Duration last_start = actions_.start_canary_endpoints(settings_.stage_endpoint_fractions[stage]);
  bake_began_at_ = now + last_start + kBakeMargin;
}

void SimulatedPlatform::publish_outcome_samples(Instant now) {
  published_at_ = now;
  actions_.notify_outcome_samples();
  published_outcomes_ = std::exchange(counted_outcomes_, {});
}

SimulatedPlatform::VoteCounts SimulatedPlatform::count_votes(Instant now) const {
  VoteCounts counts;
  for (const ReceivedVote& received : votes_) {
    if (now - received.at > settings_.vote_ttl) continue;
    if (received.vote == Vote::kPromote && received.stage == stage_) ++counts.promote;
    if (received.vote == Vote::kAbort) ++counts.abort;
  }
  return counts;
}

void SimulatedPlatform::roll_back(Instant now) {
  phase_ = ReleasePhase::kRollingBack;
  counts_.rolled_back_after_s = (now - release_started_at_).s();
  actions_.drain_canary_endpoints();
  actions_.notify_release_state();
}

void SimulatedPlatform::promote(Instant now) {
  if (stage_ + 1 < settings_.stage_endpoint_fractions.size()) {
    begin_stage(stage_ + 1, now);
    return;
  }
  phase_ = ReleasePhase::kReleased;
  counts_.released_after_s = (now - release_started_at_).s();
  actions_.notify_release_state();
}

VoteOutcome SimulatedPlatform::receive_vote(unsigned router, unsigned stage, Vote vote, Instant now) {
  if (available_calls_ < 1) {
    ++counts_.votes_throttled;
    return VoteOutcome::kThrottled;
  }
  available_calls_ -= 1;
  if (stage != stage_ || phase_ != ReleasePhase::kCanary) {
    ++counts_.votes_out_of_date;
    return VoteOutcome::kConditionFailed;
  }
  votes_[router] = {vote, stage, now};
  ++counts_.votes_accepted;
  return VoteOutcome::kAccepted;
}

ReleaseState SimulatedPlatform::release_state(Instant now) const {
  const double cap = phase_ == ReleasePhase::kRollingBack ? 0 : settings_.exposure_caps[stage_];
  return {kCanaryVersion, stage_, phase_, cap, now - stage_began_at_};
}

void SimulatedPlatform::count_outcome(ReleaseVersion version, unsigned request_class, bool failed) {
  OutcomeCounts& counts = counted_outcomes_[version - kStableVersion][request_class];
  ++counts.total;
  if (failed) ++counts.failed;
}

std::vector<OutcomeSample> SimulatedPlatform::outcome_samples() const {
  std::vector<OutcomeSample> samples;
  for (const ReleaseVersion version : {kStableVersion, kCanaryVersion}) {
    for (unsigned request_class = 0; request_class < kRequestClasses; ++request_class) {
      const OutcomeCounts& counts = published_outcomes_[version - kStableVersion][request_class];
      if (counts.total > 0) samples.push_back({version, request_class, counts.total, counts.failed});
    }
  }
  return samples;
}

}  // namespace ashbeam
