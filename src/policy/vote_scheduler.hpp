// Schedules when the router sends its vote on a release.
//
// The platform accepts a limited number of calls per second from all routers together. The first vote for a
// stage is therefore delayed by a random part of the time in which the platform can accept the votes that are
// needed; routers of small fleets send it at once. A vote is renewed before it expires. A vote that was
// refused is sent again after a random delay.
#pragma once
#include "base/pcg.hpp"
#include "base/time.hpp"
#include "policy/router_settings.hpp"
#include "policy/types.hpp"

namespace ashbeam::policy {

// A vote, and the version and stage that it is for.
struct Ballot {
  Vote vote = Vote::kAbstain;
  ReleaseVersion version = 0;
  unsigned stage = 0;
  bool operator==(const Ballot&) const = default;
};

enum class VoteDecision : std::uint8_t {
  kWait,   // Do not send the vote now.
  kSend,   // Send the vote.
  kRenew,  // Send the vote again, before the active one expires.
};

class VoteScheduler {
 public:
  // `random` must outlive this object.
  VoteScheduler(const RouterSettings& settings, Pcg& random);

  // Returns whether the ballot must be sent now; its vote is then the active one. Must be called again at
  // each evaluation of the release for as long as the router keeps to the vote.
  VoteDecision decide(const Ballot& ballot, Instant now);
  // Called when a vote was not accepted, or not answered: there is no active vote then, and the next one is
  // sent after a random delay.
  void on_refused(VoteOutcome outcome, Instant now);
  // Forgets the active vote.
  void clear() { active_vote_ = Vote::kAbstain; }
  // Called when a new stage begins. Votes to promote or pause the previous stage are void; a vote to abort
  // stays active.
  void on_new_stage() {
    if (active_vote_ == Vote::kPromote || active_vote_ == Vote::kPause) clear();
  }
  // Returns the vote that was sent last, or Vote::kAbstain if it was refused, cleared or voided.
  Vote active_vote() const { return active_vote_; }

 private:
  bool is_active(const Ballot& ballot) const;
  // Returns a random duration between `min` and `min + range` times `call_round_`.
  Duration random_delay(double min, double range);

  Pcg& random_;
  Duration vote_ttl_;
  Duration call_round_;   // Time in which the platform can accept one call of each router.
  Duration abort_round_;  // Time in which the platform can accept the number of abort votes that are needed.
  Vote active_vote_ = Vote::kAbstain;
  unsigned active_stage_ = 0;  // The stage that the active vote is for.
  Ballot scheduled_ballot_;    // The last ballot for which a random delay was drawn.
  Instant sent_at_;            // When the active vote was sent.
  Instant next_send_at_;       // No vote is sent before this time.
};

}  // namespace ashbeam::policy
