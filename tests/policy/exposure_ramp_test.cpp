// Tests of the traffic weight, the fraction of the exposure cap that a router uses for a canary.
#include <algorithm>
#include <array>

#include "policy_fixture.hpp"

namespace ashbeam {
namespace {

TEST(ExposureRamp, StartsLowAndRisesWithoutRegression) {
  SimulatedRouter router = router_with_canary();
  const std::size_t first_attempt = router.actions.attempts.size();
  router.run(Duration::s(1), 200);
  const std::size_t initially_sent = router.sent_to(2, first_attempt);
  router.run(Duration::ms(2900), 200);
  EXPECT_TRUE(router.actions.logged("full traffic weight"));  // After three and a half steps of 1 s each.
  router.run(Duration::ms(2100), 200);
  const std::size_t first_at_full_weight = router.actions.attempts.size();
  router.run(Duration::s(1), 200);
  EXPECT_GT(initially_sent, 0u);
  EXPECT_LT(initially_sent, 30u);  // About 0.3 of the share of three endpoints in eleven.
  EXPECT_GT(router.sent_to(2, first_at_full_weight), 2 * initially_sent);  // The full share.
}

TEST(ExposureRamp, StepsBackWithoutAbortVoteOnModerateRegression) {
  SimulatedRouter router = router_with_canary();
  router.serve = [](ReleaseVersion version, EndpointIndex) {
    static int attempts = 0;
    return Outcome{version == 2 && ++attempts % 28 == 0 ? AttemptResult::kError : AttemptResult::kOk};
  };
  router.run(Duration::s(7), 300);
  EXPECT_TRUE(router.actions.logged("stepped back"));
  EXPECT_FALSE(router.actions.voted(Vote::kAbort));
}

TEST(ExposureRamp, StopsCanaryAndVotesAbortOnSevereRegression) {
  SimulatedRouter router = router_with_canary();
  router.serve = [](ReleaseVersion version, EndpointIndex) {
    static int attempts = 0;
    return Outcome{version == 2 && ++attempts % 4 == 0 ? AttemptResult::kError : AttemptResult::kOk};
  };
  router.run(Duration::s(4), 200);
  EXPECT_TRUE(router.actions.voted(Vote::kAbort));
  const std::size_t first_attempt = router.actions.attempts.size();
  router.run(Duration::s(1), 200);
  EXPECT_EQ(router.sent_to(2, first_attempt), 0u);
}

}  // namespace
}  // namespace ashbeam
