// Tests of the exposure cap, which limits the fraction of requests that are sent to a canary.
#include <algorithm>
#include <array>

#include "policy_fixture.hpp"

namespace ashbeam {
namespace {

TEST(ExposureCap, AppliesFirstCapToUnannouncedVersionAndSendsNothingAtCapZero) {
  SimulatedRouter router(default_settings(), 8, 8);
  router.run(Duration::s(2), 200);  // Version 2 is in the endpoint list but not announced.
  EXPECT_LE(router.sent_to(2), 2 + 0.1 * 400);
  router.set_release(2, 1, ReleasePhase::kRollingBack, 0);
  const std::size_t first_attempt = router.actions.attempts.size();
  router.run(Duration::s(2), 200);
  EXPECT_EQ(router.sent_to(2, first_attempt), 0u);
}

TEST(ExposureCap, UsesWholeCapWithoutStableEndpoints) {
  SimulatedRouter router(default_settings(), 0, 6);
  router.set_release(2, 2, ReleasePhase::kCanary, 1.0);
  router.run(Duration::s(2), 100);
  EXPECT_GT(router.actions.attempts.size(), 190u);
}

// Only canary endpoints are left, because the release state after the last stage arrives late. Retries and a
// lowered traffic weight must then not use up the cap, or requests would be rejected or fail.
TEST(ExposureCap, ServesRequestsDespiteRetriesWithoutStableEndpoints) {
  RouterSettings settings = default_settings();
  settings.may_hedge = false;
  SimulatedRouter router(settings, 0, 8);
  router.set_release(2, 2, ReleasePhase::kCanary, 1.0);
  router.serve = [](ReleaseVersion, EndpointIndex) {
    static int attempts = 0;  // One attempt in 16 is slow.
    return Outcome{AttemptResult::kOk, Duration::ms(++attempts % 16 == 0 ? 900 : 50)};
  };
  router.run(Duration::s(10), 150, {0, 1, 2});
  EXPECT_LT(router.actions.rejected.size() + router.actions.failed.size(), 30u);  // Of 1500 requests.
}

}  // namespace
}  // namespace ashbeam
