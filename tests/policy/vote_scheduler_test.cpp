// Tests of when votes on a release are sent.
#include <algorithm>
#include <array>

#include "policy_fixture.hpp"

namespace ashbeam {
namespace {

TEST(VoteScheduler, RenewsVotesAndDoesNotVoteToPromoteIfPlatformPromotesByClock) {
  SimulatedRouter router = router_with_canary();
  router.run(Duration::s(30), 200);
  EXPECT_GE(router.actions.votes.size(), 3u);
  RouterSettings settings = default_settings();
  settings.promoted_automatically = true;
  SimulatedRouter clocked_router = router_with_canary(settings);
  clocked_router.run(Duration::s(20), 200);
  EXPECT_TRUE(clocked_router.actions.votes.empty());
}

TEST(VoteScheduler, ResendsVoteWithoutAnswer) {
  RouterSettings settings = default_settings();
  settings.max_platform_calls_per_s = 4;
  SimulatedRouter router = router_with_canary(settings);
  router.run(Duration::s(15), 200);
  ASSERT_TRUE(router.actions.voted(Vote::kPromote));
  const std::size_t votes_before = router.actions.votes.size();
  router.policy->on_vote_refused(VoteOutcome::kUnknown);
  router.run(Duration::s(1), 200);  // The vote may have been lost, so it is sent again soon.
  EXPECT_GT(router.actions.votes.size(), votes_before);
  EXPECT_EQ(router.actions.votes.back().vote, Vote::kPromote);
}

// 300 routers reach the same decision at the same time, while the platform accepts only 16 calls per second
// and throttles the rest. The needed number of votes must still be valid at one time.
TEST(VoteScheduler, CollectsNeededVotesFromManyRouters) {
  RouterSettings settings = default_settings();
  settings.router_count = 300;
  settings.max_platform_calls_per_s = 16;
  settings.abort_votes_needed = 45;
  for (const bool canary_fails : {false, true}) {
    std::vector<Instant> accepted_at;
    std::size_t max_valid_votes = 0, accepted_calls = 0;
    std::vector<SimulatedRouter> fleet;
    fleet.reserve(settings.router_count);
    for (unsigned index = 0; index < settings.router_count; ++index) {
      fleet.emplace_back(settings, 8, 0, index + 1);
      fleet.back().set_endpoints(8, 3);
      fleet.back().set_release(2, 0, ReleasePhase::kCanary, 0.4);
      if (canary_fails) fleet.back().policy->on_outcome_sample({1, 0, 900, 0});
      if (canary_fails) fleet.back().policy->on_outcome_sample({2, 0, 900, 800});
      accepted_at.emplace_back();
    }
    for (int second = 0; second < 20; ++second) {
      accepted_calls = 0;
      for (int step = 0; step < 20; ++step) {
        for (unsigned index = 0; index < settings.router_count; ++index) {
          SimulatedRouter& router = fleet[index];
          const std::size_t votes_before = router.actions.votes.size();
          router.run(Duration::ms(50), 0);
          for (std::size_t i = votes_before; i < router.actions.votes.size(); ++i) {
            const bool throttled = accepted_calls >= 16;
            accepted_calls += !throttled;
            if (!throttled) accepted_at[index] = router.now;
            if (throttled) router.policy->on_vote_refused(VoteOutcome::kThrottled);
            else router.policy->on_release_state({2, 0, ReleasePhase::kCanary, 0.4, Duration()});
          }
        }
        const Instant now = fleet.front().now;
        const auto is_valid = [&](Instant accepted) { return now - accepted < settings.vote_ttl; };
        max_valid_votes = std::max(max_valid_votes, static_cast<std::size_t>(std::count_if(
                                                        accepted_at.begin(), accepted_at.end(), is_valid)));
      }
    }
    EXPECT_GE(max_valid_votes, canary_fails ? 45u : 118u) << (canary_fails ? "abort" : "promote");
  }
}

}  // namespace
}  // namespace ashbeam
