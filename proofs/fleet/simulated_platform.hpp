// A release platform in simulated time. It accepts a limited number of calls per second, collects the
// routers' votes, and moves a release through its stages or rolls it back. While there is a release, run()
// has to be called at each step of the simulated time.
#pragma once
#include <array>
#include <vector>

#include "base/time.hpp"
#include "fleet_counts.hpp"
#include "policy/router_policy.hpp"

namespace ashbeam {

constexpr unsigned kRequestClasses = 3;

// The platform's effects on the fleet.
class PlatformActions {
 public:
  virtual ~PlatformActions() = default;
  virtual void notify_release_state() = 0;
  virtual void notify_outcome_samples() = 0;
  // Starts canary endpoints until this fraction of them is deployed. Returns the time until the last one is
  // up.
  virtual Duration start_canary_endpoints(double fraction) = 0;
  virtual void drain_canary_endpoints() = 0;
};

class SimulatedPlatform {
 public:
  // `settings`, `counts` and `actions` must outlive this object.
  SimulatedPlatform(unsigned routers, const RouterSettings& settings, FleetCounts& counts,
                    PlatformActions& actions)
      : settings_(settings), counts_(counts), actions_(actions), votes_(routers) {}

  // `step` is the time since the previous call.
  void run(Instant now, Duration step);
  VoteOutcome receive_vote(unsigned router, unsigned stage, Vote vote, Instant now);
  ReleaseState release_state(Instant now) const;
  void count_outcome(ReleaseVersion version, unsigned request_class, bool failed);
  std::vector<OutcomeSample> outcome_samples() const;

 private:
  struct ReceivedVote {
    Vote vote = Vote::kAbstain;
    unsigned stage = 0;
    Instant at;
  };
  struct VoteCounts {
    unsigned promote = 0;  // for the current stage
    unsigned abort = 0;
  };
  struct OutcomeCounts {
    std::uint32_t total = 0;
    std::uint32_t failed = 0;
  };
  using VersionOutcomes = std::array<std::array<OutcomeCounts, kRequestClasses>, 2>;  // stable, canary

  void begin_stage(unsigned stage, Instant now);
  void publish_outcome_samples(Instant now);
  VoteCounts count_votes(Instant now) const;
  void roll_back(Instant now);
  void promote(Instant now);

  const RouterSettings& settings_;
  FleetCounts& counts_;
  PlatformActions& actions_;
  unsigned stage_ = 0;
  ReleasePhase phase_ = ReleasePhase::kCanary;
  Instant release_started_at_;  // when the release started; the far past before that
  Instant stage_began_at_;      // start of the stage, as reported to the routers
  Instant bake_began_at_;
  double available_calls_ = 0;
  VersionOutcomes counted_outcomes_{};
  VersionOutcomes published_outcomes_{};
  Instant published_at_;
  std::vector<ReceivedVote> votes_;  // by router
};

}  // namespace ashbeam
