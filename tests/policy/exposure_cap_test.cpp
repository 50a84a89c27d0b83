// The part of requests that goes to a canary.
#include <algorithm>
#include <array>

#include "policy_fixture.hpp"

namespace ashbeam {
namespace {

TEST(ExposureCap, NothingAtCapZeroAndStageZeroBeforeTheReleaseState) {
  SimulatedRouter router(default_settings(), 8, 8);
  router.run(Duration::s(2), 200);  // version 2 is listed but not announced
  EXPECT_LE(router.sent_to(2), 2 + 0.1 * 400);
  router.set_release(2, 1, ReleasePhase::kRollingBack, 0);
  const std::size_t from = router.actions.attempts.size();
  router.run(Duration::s(2), 200);
  EXPECT_EQ(router.sent_to(2, from), 0u);
}

TEST(ExposureCap, TheWholeCapWhereNoStableEndpointIsLeft) {
  SimulatedRouter router(default_settings(), 0, 6);
  router.set_release(2, 2, ReleasePhase::kCanary, 1.0);
  router.run(Duration::s(2), 100);
  EXPECT_GT(router.actions.attempts.size(), 190u);
}

// The a release state that the last stage has passed is late: further attempts and steps back must not starve
// the requests.
TEST(ExposureCap, RetriesDoNotStarveRequestsWhereOnlyTheCanaryIsLeft) {
  RouterSettings settings = default_settings();
  settings.may_hedge = false;
  SimulatedRouter router(settings, 0, 8);
  router.set_release(2, 2, ReleasePhase::kCanary, 1.0);
  router.serve = [](ReleaseVersion, EndpointIndex) {
    static int attempts = 0;  // one in 16 takes long
    return Outcome{AttemptResult::kOk, Duration::ms(++attempts % 16 == 0 ? 900 : 50)};
  };
  router.run(Duration::s(10), 150, {0, 1, 2});
  EXPECT_LT(router.actions.rejected.size() + router.actions.failed.size(), 30u);  // of 1500
}

}  // namespace
}  // namespace ashbeam
