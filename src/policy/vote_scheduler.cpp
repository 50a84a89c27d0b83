#include "policy/vote_scheduler.hpp"

#include <algorithm>

namespace ashbeam::policy {

namespace {

constexpr double kRenewAfterPart = 0.7;            // of a vote's time to live
constexpr double kPromoteRoundPart = 0.75;         // of the time for one call of each router
constexpr Duration kTakenAtOnce = Duration::s(1);  // what the platform takes within it needs no spreading

// Random waits, in rounds: least and range.
constexpr double kAfterSendLeast = 0.5;
constexpr double kAfterSendRange = 0.5;
constexpr double kAfterConditionFailedLeast = 2;
constexpr double kAfterRefusalLeast = 0.25;
constexpr double kAfterRefusalRange = 0.75;

Duration round(double calls, const RouterSettings& settings) {
  return Duration::s(calls / std::max(settings.max_platform_calls_per_s, 1.0));
}

}  // namespace

VoteScheduler::VoteScheduler(const RouterSettings& settings, Pcg& random)
    : random_(random), vote_ttl_(settings.vote_ttl), call_round_(round(settings.router_count, settings)),
      abort_round_(round(settings.abort_votes_needed, settings)) {}

VoteDecision VoteScheduler::decide(const Ballot& ballot, Instant now) {
  const bool renewal = stands(ballot);
  if (renewal && now - sent_at_ < vote_ttl_ * kRenewAfterPart) return VoteDecision::kWait;
  if (!renewal && ballot != wanted_) {
    wanted_ = ballot;
    const Duration round = ballot.vote == Vote::kPromote ? call_round_ * kPromoteRoundPart : abort_round_;
    next_at_ = now + std::max(Duration(), round - kTakenAtOnce) * random_.next_double();
  }
  if (now < next_at_) return VoteDecision::kWait;
  standing_ = ballot.vote;
  standing_stage_ = ballot.stage;
  sent_at_ = now;
  next_at_ = now + std::min(random_wait(kAfterSendLeast, kAfterSendRange), vote_ttl_ * kRenewAfterPart);
  return renewal ? VoteDecision::kRenew : VoteDecision::kSend;
}

void VoteScheduler::on_refused(VoteOutcome outcome, Instant now) {
  clear();
  const bool moved_on = outcome == VoteOutcome::kConditionFailed;
  next_at_ =
      now + random_wait(moved_on ? kAfterConditionFailedLeast : kAfterRefusalLeast, kAfterRefusalRange);
}

bool VoteScheduler::stands(const Ballot& ballot) const {
  return standing_ == ballot.vote && (ballot.vote == Vote::kAbort || standing_stage_ == ballot.stage);
}

Duration VoteScheduler::random_wait(double least, double range) {
  return call_round_ * (least + range * random_.next_double());
}

}  // namespace ashbeam::policy
