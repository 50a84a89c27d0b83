// The traffic weight of a canary.
#include <algorithm>
#include <array>

#include "policy_fixture.hpp"

namespace ashbeam {
namespace {

TEST(ExposureRamp, StartsLowAndClimbsWhileQuiet) {
  SimulatedRouter router = router_with_canary();
  const std::size_t from = router.actions.attempts.size();
  router.run(Duration::s(1), 200);
  const std::size_t early = router.sent_to(2, from);
  router.run(Duration::ms(2900), 200);
  EXPECT_TRUE(router.actions.logged("full traffic weight"));  // three steps and a half of a quiet second each
  router.run(Duration::ms(2100), 200);
  const std::size_t later = router.actions.attempts.size();
  router.run(Duration::s(1), 200);
  EXPECT_GT(early, 0u);
  EXPECT_LT(early, 30u);                           // about 0.3 of what three endpoints in eleven should carry
  EXPECT_GT(router.sent_to(2, later), 2 * early);  // full share
}

TEST(ExposureRamp, AModerateRegressionStepsBackOnceAndRecovers) {
  SimulatedRouter router = router_with_canary();
  router.serve = [](ReleaseVersion version, EndpointIndex) {
    static int n = 0;
    return Outcome{version == 2 && ++n % 28 == 0 ? AttemptResult::kError : AttemptResult::kOk};
  };
  router.run(Duration::s(7), 300);
  EXPECT_TRUE(router.actions.logged("stepped back"));
  EXPECT_FALSE(router.actions.voted(Vote::kAbort));
}

TEST(ExposureRamp, ASevereRegressionStopsTheCanaryAndVotesAbort) {
  SimulatedRouter router = router_with_canary();
  router.serve = [](ReleaseVersion version, EndpointIndex) {
    static int n = 0;
    return Outcome{version == 2 && ++n % 4 == 0 ? AttemptResult::kError : AttemptResult::kOk};
  };
  router.run(Duration::s(4), 200);
  EXPECT_TRUE(router.actions.voted(Vote::kAbort));
  const std::size_t from = router.actions.attempts.size();
  router.run(Duration::s(1), 200);
  EXPECT_EQ(router.sent_to(2, from), 0u);
}

}  // namespace
}  // namespace ashbeam
