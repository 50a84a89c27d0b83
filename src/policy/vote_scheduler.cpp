#include "policy/vote_scheduler.hpp"

#include <algorithm>

namespace ashbeam::policy {

namespace {

// A vote is renewed after this fraction of its time to live.
constexpr double kRenewAfterFraction = 0.7;
// Votes to promote are spread over this fraction of the time for one call of each router.
constexpr double kPromoteRoundFraction = 0.75;
// Calls that the platform can accept within this time need no spreading.
constexpr Duration kBurstDuration = Duration::s(1);

// Minimum and range of the random delays, in multiples of the time for one call of each router.
constexpr double kMinDelayAfterSend = 0.5;
constexpr double kDelayRangeAfterSend = 0.5;
constexpr double kMinDelayAfterConditionFailed = 2;
constexpr double kMinDelayAfterRefusal = 0.25;
constexpr double kDelayRangeAfterRefusal = 0.75;

// Returns the time in which the platform can accept this number of calls.
Duration time_for_calls(double calls, const RouterSettings& settings) {
  return Duration::s(calls / std::max(settings.max_platform_calls_per_s, 1.0));
}

}  // namespace

VoteScheduler::VoteScheduler(const RouterSettings& settings, Pcg& random)
    : random_(random), vote_ttl_(settings.vote_ttl),
      call_round_(time_for_calls(settings.router_count, settings)),
      abort_round_(time_for_calls(settings.abort_votes_needed, settings)) {}

VoteDecision VoteScheduler::decide(const Ballot& ballot, Instant now) {
  const bool renewal = is_active(ballot);
  if (renewal && now - sent_at_ < vote_ttl_ * kRenewAfterFraction) return VoteDecision::kWait;
  if (!renewal && ballot != scheduled_ballot_) {
    scheduled_ballot_ = ballot;
    const Duration spread =
        ballot.vote == Vote::kPromote ? call_round_ * kPromoteRoundFraction : abort_round_;
    next_send_at_ = now + std::max(Duration(), spread - kBurstDuration) * random_.next_double();
  }
  if (now < next_send_at_) return VoteDecision::kWait;
  active_vote_ = ballot.vote;
  active_stage_ = ballot.stage;
  sent_at_ = now;
  next_send_at_ =
      now + std::min(random_delay(kMinDelayAfterSend, kDelayRangeAfterSend), vote_ttl_ * kRenewAfterFraction);
  return renewal ? VoteDecision::kRenew : VoteDecision::kSend;
}

void VoteScheduler::on_refused(VoteOutcome outcome, Instant now) {
  clear();
  const bool release_moved_on = outcome == VoteOutcome::kConditionFailed;
  next_send_at_ = now + random_delay(release_moved_on ? kMinDelayAfterConditionFailed : kMinDelayAfterRefusal,
                                     kDelayRangeAfterRefusal);
}

bool VoteScheduler::is_active(const Ballot& ballot) const {
  return active_vote_ == ballot.vote && (ballot.vote == Vote::kAbort || active_stage_ == ballot.stage);
}

Duration VoteScheduler::random_delay(double min, double range) {
  return call_round_ * (min + range * random_.next_double());
}

}  // namespace ashbeam::policy
