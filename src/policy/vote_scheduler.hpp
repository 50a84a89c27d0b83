// When this router's vote on a release is sent.
//
// Job: the platform takes few calls a second from all routers together. A router's first vote for a stage is
// spread at random over the time in which the platform can take the votes that are needed, a vote that stands
// is renewed before it expires, and one that was refused is sent again after a random wait. Small fleets vote
// at once. Units: instants and spans. No I/O; random numbers are an argument. Errors: none.
#pragma once
#include "base/pcg.hpp"
#include "base/time.hpp"
#include "policy/router_settings.hpp"
#include "policy/types.hpp"

namespace ashbeam::policy {

struct Ballot {
  Vote vote = Vote::kAbstain;
  ReleaseVersion version = 0;
  unsigned stage = 0;
  bool operator==(const Ballot&) const = default;
};

enum class VoteDecision : std::uint8_t { kWait, kSend, kRenew };

class VoteScheduler {
 public:
  VoteScheduler(const RouterSettings& settings, Pcg& random);

  // Is the ballot to be sent now? Where it is, it counts as standing from now on.
  VoteDecision decide(const Ballot& ballot, Instant now);
  void on_refused(VoteOutcome outcome, Instant now);
  // No vote stands any more.
  void clear() { standing_ = Vote::kAbstain; }
  // A new stage has begun: votes to promote or pause the former one are void, a vote to abort stands.
  void on_new_stage() {
    if (standing_ == Vote::kPromote || standing_ == Vote::kPause) clear();
  }
  Vote standing() const { return standing_; }

 private:
  bool stands(const Ballot& ballot) const;
  // A random wait between `least` and `least + range` times the time for one call of each router.
  Duration random_wait(double least, double range);

  Pcg& random_;
  Duration vote_ttl_;
  Duration call_round_;   // in which the platform takes one call of each router
  Duration abort_round_;  // in which it takes as many as abort votes are needed
  Vote standing_ = Vote::kAbstain;
  unsigned standing_stage_ = 0;
  Ballot wanted_;  // the last ballot that had to wait for its turn
  Instant sent_at_;
  Instant next_at_;
};

}  // namespace ashbeam::policy
