// Tests of the steps of a request: attempts, retries, hedged requests and its one final answer.
#include <algorithm>
#include <array>

#include "policy_fixture.hpp"

namespace ashbeam {
namespace {

TEST(RequestRouter, FailsUnsafeRequestThatMayHaveRunAndRejectsOneThatHasNot) {
  SimulatedRouter router(default_settings());
  const RequestId may_have_run = router.request(2);
  router.end_attempt(router.actions.attempts.back(), AttemptResult::kReset);
  EXPECT_EQ(router.actions.failed, std::vector<RequestId>{may_have_run});
  router.run(Duration::s(1), 50);  // These requests earn the retry budget for further attempts.
  const RequestId not_run = router.request(2);
  for (int i = 0; i < 4; ++i)
    router.end_attempt(router.actions.attempts.back(), AttemptResult::kConnectFailed);
  EXPECT_EQ(router.actions.attempt_counts[not_run], 4u);
  EXPECT_EQ(router.actions.rejected, std::vector<RequestId>{not_run});
}

TEST(RequestRouter, RetriesKeyedRequestOnlyWithinScopeAndRetention) {
  SimulatedRouter router(default_settings());
  router.request(1);
  const EndpointIndex first = router.actions.attempts.back().endpoint;
  router.end_attempt(router.actions.attempts.back(), AttemptResult::kError);
  ASSERT_EQ(router.actions.attempts.size(), 2u);
  EXPECT_EQ(router.actions.attempts.back().endpoint % 2, first % 2);
  router.now = router.now + Duration::ms(1100);  // The retention of the key has passed.
  router.end_attempt(router.actions.attempts.back(), AttemptResult::kError);
  EXPECT_EQ(router.actions.attempts.size(), 2u);
  EXPECT_EQ(router.actions.failed.size(), 1u);
}

// An endpoint that never answers must be ejected even if hedged requests are not permitted. Each attempt
// there is then cancelled long before the endpoint counts as unresponsive.
TEST(RequestRouter, EjectsUnresponsiveEndpointAndRoutesToOthers) {
  for (const bool may_hedge : {true, false}) {
    RouterSettings settings = default_settings();
    settings.may_hedge = may_hedge;
    SimulatedRouter router(settings);
    router.serve = [](ReleaseVersion, EndpointIndex endpoint) {
      return Outcome{AttemptResult::kOk, Duration::ms(50), endpoint == 3};
    };
    router.run(Duration::s(6), 100);
    EXPECT_TRUE(router.actions.logged("endpoint 3 ejected"));
    std::size_t attempts_to_endpoint = 0;
    for (std::size_t i = router.actions.attempts.size() - 100; i < router.actions.attempts.size(); ++i)
      attempts_to_endpoint += router.actions.attempts[i].endpoint == 3;
    EXPECT_LT(attempts_to_endpoint, 5u);
    EXPECT_TRUE(router.actions.failed.empty() || !may_hedge);
    // With so few requests, all attempts at the endpoint are cancelled before it counts as unresponsive.
    SimulatedRouter router_with_few_requests(settings);
    router_with_few_requests.serve = router.serve;
    router_with_few_requests.run(Duration::s(6), 50);
    EXPECT_TRUE(router_with_few_requests.actions.logged("endpoint 3 ejected")) << may_hedge;
  }
}

TEST(RequestRouter, AnswersEachRequestOnceBeforeItsDeadline) {
  SimulatedRouter router(default_settings());
  router.serve = [](ReleaseVersion, EndpointIndex) { return Outcome{AttemptResult::kOk, Duration(), true}; };
  for (int i = 0; i < 30; ++i) router.request(static_cast<unsigned>(i) % 3, 0, Duration::ms(500));
  router.run(Duration::ms(495), 0);
  EXPECT_EQ(router.actions.rejected.size() + router.actions.failed.size(), 30u);
}

TEST(RequestRouter, RejectsLowestPriorityFirstUnderOverload) {
  RouterSettings settings = default_settings();
  settings.request_classes[1].priority_weight = 5;
  SimulatedRouter router(settings, 2);
  router.serve = [](ReleaseVersion, EndpointIndex) { return Outcome{AttemptResult::kOk, Duration::ms(250)}; };
  router.run(Duration::s(6), 200, {0, 1});
  const auto low_priority_rejections =
      std::count_if(router.actions.rejected.begin(), router.actions.rejected.end(),
                    [](RequestId request) { return request % 2 == 0; });
  EXPECT_GT(static_cast<std::size_t>(low_priority_rejections), router.actions.rejected.size() / 2);
}

TEST(RequestRouter, StopsRejectingWhenOverloadEnds) {
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
