// Tests of when a router votes to promote a stage.
#include <algorithm>
#include <array>

#include "policy_fixture.hpp"

namespace ashbeam {
namespace {

TEST(Promotion, WaitsUntilNewestCanaryEndpointHasRunForMinimumTime) {
  SimulatedRouter router = router_with_canary();
  router.set_endpoints(8, 3, router.now);  // The newest canary endpoint has just started.
  const Instant changed_at = router.now;
  while (!router.actions.voted(Vote::kPromote) && router.now - changed_at < Duration::s(30))
    router.run(Duration::ms(100), 200);
  EXPECT_TRUE(router.actions.voted(Vote::kPromote));
  EXPECT_GT(router.now - changed_at, Duration::s(5));
}

TEST(Promotion, ShortensWaitsForShortBakeTimeExceptInLastStage) {
  RouterSettings settings = default_settings();
  settings.bake_time = Duration::s(1);
  SimulatedRouter router = router_with_canary(settings);
  router.set_endpoints(8, 3, router.now);
  const Instant changed_at = router.now;
  while (!router.actions.voted(Vote::kPromote) && router.now - changed_at < Duration::s(30))
    router.run(Duration::ms(100), 200);
  EXPECT_GT(router.now - changed_at, Duration::s(2));
  EXPECT_LT(router.now - changed_at, Duration::s(4.5));
  // The last stage, after which the version carries all load.
  router.set_release(2, 2, ReleasePhase::kCanary, 1);
  router.set_endpoints(8, 8, router.now);
  const Instant last_stage_began_at = router.now;
  const std::size_t votes_before = router.actions.votes.size();
  while (router.actions.votes.size() == votes_before && router.now - last_stage_began_at < Duration::s(30))
    router.run(Duration::ms(100), 200);
  EXPECT_GT(router.now - last_stage_began_at, Duration::s(2.9));
}

// If a zone fails during a stage, its endpoints are ejected. The canary endpoints that the stage then lacks
// must not block the promotion.
TEST(Promotion, DoesNotWaitForEjectedEndpoints) {
  SimulatedRouter router = router_with_canary(default_settings(), 1, 8, 4);
  router.serve = [](ReleaseVersion, EndpointIndex endpoint) {
    return Outcome{endpoint % 2 != 0 ? AttemptResult::kConnectFailed : AttemptResult::kOk};
  };
  router.set_release(2, 2, ReleasePhase::kCanary, 1);  // All eight endpoints should be canary ones.
  router.run(Duration::s(9.5), 200);
  EXPECT_FALSE(router.actions.voted(Vote::kPromote));  // Two of the four endpoints that are not ejected.
  router.set_endpoints(8, 6);
  router.run(Duration::s(1), 200);
  EXPECT_TRUE(router.actions.voted(Vote::kPromote));  // Three of four; six of eight are in the list.
}

}  // namespace
}  // namespace ashbeam
