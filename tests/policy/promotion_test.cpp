// When this router votes to promote a stage.
#include <algorithm>
#include <array>

#include "policy_fixture.hpp"

namespace ashbeam {
namespace {

TEST(Promotion, WaitsForTheNewestCanary) {
  SimulatedRouter router = router_with_canary();
  router.set_endpoints(8, 3, router.now);  // the newest canary endpoint has just started
  const Instant started = router.now;
  while (!router.actions.voted(Vote::kPromote) && router.now - started < Duration::s(30))
    router.run(Duration::ms(100), 200);
  EXPECT_TRUE(router.actions.voted(Vote::kPromote));
  EXPECT_GT(router.now - started, Duration::s(5));
}

TEST(Promotion, WaitsAsLongAsTheBakeTimeAsksButNeverHurriesTheLastStage) {
  RouterSettings settings = default_settings();
  settings.bake_time = Duration::s(1);
  SimulatedRouter router = router_with_canary(settings);
  router.set_endpoints(8, 3, router.now);
  const Instant started = router.now;
  while (!router.actions.voted(Vote::kPromote) && router.now - started < Duration::s(30))
    router.run(Duration::ms(100), 200);
  EXPECT_GT(router.now - started, Duration::s(2));
  EXPECT_LT(router.now - started, Duration::s(4.5));
  router.set_release(2, 2, ReleasePhase::kCanary, 1);  // the last one, where all load follows
  router.set_endpoints(8, 8, router.now);
  const Instant last = router.now;
  const std::size_t before = router.actions.votes.size();
  while (router.actions.votes.size() == before && router.now - last < Duration::s(30))
    router.run(Duration::ms(100), 200);
  EXPECT_GT(router.now - last, Duration::s(2.9));
}

// A zone is lost while the stage goes through: what of it can't be there does not keep the version from going
// on.
TEST(Promotion, DoesNotWaitForEjectedEndpoints) {
  SimulatedRouter router = router_with_canary(default_settings(), 1, 8, 4);
  router.serve = [](ReleaseVersion, EndpointIndex endpoint) {
    return Outcome{endpoint % 2 != 0 ? AttemptResult::kConnectFailed : AttemptResult::kOk};
  };
  router.set_release(2, 2, ReleasePhase::kCanary, 1);  // all eight are due
  router.run(Duration::s(9.5), 200);
  EXPECT_FALSE(router.actions.voted(Vote::kPromote));  // two of the four that are left
  router.set_endpoints(8, 6);
  router.run(Duration::s(1), 200);
  EXPECT_TRUE(router.actions.voted(Vote::kPromote));  // three of four; in the list are six of eight
}

}  // namespace
}  // namespace ashbeam
