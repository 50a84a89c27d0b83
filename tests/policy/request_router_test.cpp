// The life of a request: attempts, retries, hedges and its one final answer.
#include <algorithm>
#include <array>

#include "policy_fixture.hpp"

namespace ashbeam {
namespace {

TEST(RequestRouter, AnUnsafeRequestFailsOnceItMayHaveRunAndIsRejectedBefore) {
  SimulatedRouter router(default_settings());
  const RequestId ran = router.request(2);
  router.end_attempt(router.actions.attempts.back(), AttemptResult::kReset);
  EXPECT_EQ(router.actions.failed, std::vector<RequestId>{ran});
  router.run(Duration::s(1), 50);  // a few requests earn the budget for further attempts
  const RequestId proved = router.request(2);
  for (int i = 0; i < 4; ++i)
    router.end_attempt(router.actions.attempts.back(), AttemptResult::kConnectFailed);
  EXPECT_EQ(router.actions.attempt_counts[proved], 4u);
  EXPECT_EQ(router.actions.rejected, std::vector<RequestId>{proved});
}

TEST(RequestRouter, AKeyedRequestIsRetriedWithinItsScopeAndRetention) {
  SimulatedRouter router(default_settings());
  router.request(1);
  const EndpointIndex first = router.actions.attempts.back().endpoint;
  router.end_attempt(router.actions.attempts.back(), AttemptResult::kError);
  ASSERT_EQ(router.actions.attempts.size(), 2u);
  EXPECT_EQ(router.actions.attempts.back().endpoint % 2, first % 2);
  router.now = router.now + Duration::ms(1100);  // what it may have done is forgotten by now
  router.end_attempt(router.actions.attempts.back(), AttemptResult::kError);
  EXPECT_EQ(router.actions.attempts.size(), 2u);
  EXPECT_EQ(router.actions.failed.size(), 1u);
}

// Also where no hedges are allowed and each request there is called off long before its endpoint counts as
// silent.
TEST(RequestRouter, ASilentEndpointIsEjectedAndItsRequestsGoElsewhere) {
  for (const bool hedges : {true, false}) {
    RouterSettings settings = default_settings();
    settings.may_hedge = hedges;
    SimulatedRouter router(settings);
    router.serve = [](ReleaseVersion, EndpointIndex endpoint) {
      return Outcome{AttemptResult::kOk, Duration::ms(50), endpoint == 3};
    };
    router.run(Duration::s(6), 100);
    EXPECT_TRUE(router.actions.logged("endpoint 3 ejected"));
    std::size_t late = 0;
    for (std::size_t i = router.actions.attempts.size() - 100; i < router.actions.attempts.size(); ++i)
      late += router.actions.attempts[i].endpoint == 3;
    EXPECT_LT(late, 5u);
    EXPECT_TRUE(router.actions.failed.empty() || !hedges);
    SimulatedRouter few(settings);  // so few requests that all there are called off in time
    few.serve = router.serve;
    few.run(Duration::s(6), 50);
    EXPECT_TRUE(few.actions.logged("endpoint 3 ejected")) << hedges;
  }
}

TEST(RequestRouter, EveryRequestIsAnsweredOnceBeforeItsDeadline) {
  SimulatedRouter router(default_settings());
  router.serve = [](ReleaseVersion, EndpointIndex) { return Outcome{AttemptResult::kOk, Duration(), true}; };
  for (int i = 0; i < 30; ++i) router.request(static_cast<unsigned>(i) % 3, 0, Duration::ms(500));
  router.run(Duration::ms(495), 0);
  EXPECT_EQ(router.actions.rejected.size() + router.actions.failed.size(), 30u);
}

TEST(RequestRouter, UnderOverloadTheLowestPriorityIsRejectedAtOnce) {
  RouterSettings settings = default_settings();
  settings.request_classes[1].priority_weight = 5;
  SimulatedRouter router(settings, 2);
  router.serve = [](ReleaseVersion, EndpointIndex) { return Outcome{AttemptResult::kOk, Duration::ms(250)}; };
  router.run(Duration::s(6), 200, {0, 1});
  const auto cheap = std::count_if(router.actions.rejected.begin(), router.actions.rejected.end(),
                                   [](RequestId endpoint) { return endpoint % 2 == 0; });
  EXPECT_GT(static_cast<std::size_t>(cheap), router.actions.rejected.size() / 2);
}

TEST(RequestRouter, RejectionsEndWithTheOverload) {
  SimulatedRouter router(default_settings(), 4);
  router.serve = [](ReleaseVersion, EndpointIndex) { return Outcome{AttemptResult::kOk, Duration::ms(900)}; };
  router.run(Duration::s(6), 100);
  router.serve = [](ReleaseVersion, EndpointIndex) { return Outcome{}; };
  router.run(Duration::s(6), 40);
  const std::size_t before = router.actions.rejected.size();
  router.run(Duration::s(2), 40);
  EXPECT_LT(router.actions.rejected.size() - before, 8u);
}

}  // namespace
}  // namespace ashbeam
