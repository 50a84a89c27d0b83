// When votes on a release are sent.
#include <algorithm>
#include <array>

#include "policy_fixture.hpp"

namespace ashbeam {
namespace {

TEST(VoteScheduler, RenewsVotesBeforeTheyExpireAndNeverPromotesUnderTheClock) {
  SimulatedRouter router = router_with_canary();
  router.run(Duration::s(30), 200);
  EXPECT_GE(router.actions.votes.size(), 3u);
  RouterSettings settings = default_settings();
  settings.promoted_automatically = true;
  SimulatedRouter c = router_with_canary(settings);
  c.run(Duration::s(20), 200);
  EXPECT_TRUE(c.actions.votes.empty());
}

TEST(VoteScheduler, AVoteThatFailedIsSentAgain) {
  RouterSettings settings = default_settings();
  settings.max_platform_calls_per_s = 4;
  SimulatedRouter router = router_with_canary(settings);
  router.run(Duration::s(15), 200);
  ASSERT_TRUE(router.actions.voted(Vote::kPromote));
  const std::size_t before = router.actions.votes.size();
  router.policy->on_vote_refused(VoteOutcome::kUnknown);
  router.run(Duration::s(1), 200);  // it may have been lost: soon
  EXPECT_GT(router.actions.votes.size(), before);
  EXPECT_EQ(router.actions.votes.back().vote, Vote::kPromote);
}

// Three hundred routers that are ready at one time, and a platform that takes 16 calls a second and turns the
// rest away.
TEST(VoteScheduler, ManyRoutersTogetherGetTheVotesThatAreNeeded) {
  RouterSettings settings = default_settings();
  settings.router_count = 300;
  settings.max_platform_calls_per_s = 16;
  settings.abort_votes_needed = 45;
  for (const bool bad : {false, true}) {
    std::vector<Instant> stands;
    std::size_t most = 0, taken = 0;
    std::vector<SimulatedRouter> fleet;
    fleet.reserve(settings.router_count);
    for (unsigned number = 0; number < settings.router_count; ++number) {
      fleet.emplace_back(settings, 8, 0, number + 1);
      fleet.back().set_endpoints(8, 3);
      fleet.back().set_release(2, 0, ReleasePhase::kCanary, 0.4);
      if (bad) fleet.back().policy->on_outcome_sample({1, 0, 900, 0});
      if (bad) fleet.back().policy->on_outcome_sample({2, 0, 900, 800});
      stands.emplace_back();
    }
    for (int second = 0; second < 20; ++second) {
      taken = 0;
      for (int part = 0; part < 20; ++part) {
        for (unsigned number = 0; number < settings.router_count; ++number) {
          SimulatedRouter& router = fleet[number];
          const std::size_t before = router.actions.votes.size();
          router.run(Duration::ms(50), 0);
          for (std::size_t i = before; i < router.actions.votes.size(); ++i) {
            const bool full = taken >= 16;
            taken += !full;
            if (!full) stands[number] = router.now;
            if (full) router.policy->on_vote_refused(VoteOutcome::kThrottled);
            else router.policy->on_release_state({2, 0, ReleasePhase::kCanary, 0.4, Duration()});
          }
        }
        const Instant now = fleet.front().now;
        const auto live = [&](Instant at) { return now - at < settings.vote_ttl; };
        most = std::max(most, static_cast<std::size_t>(std::count_if(stands.begin(), stands.end(), live)));
      }
    }
    EXPECT_GE(most, bad ? 45u : 118u) << (bad ? "back" : "on");
  }
}

}  // namespace
}  // namespace ashbeam
