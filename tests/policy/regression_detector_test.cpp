// Tests of the detection of regressions by latencies and disputed answers.
#include <algorithm>
#include <array>

#include "policy_fixture.hpp"

namespace ashbeam {
namespace {

TEST(RegressionDetector, VotesAbortOnLastingCanarySlowdown) {
  SimulatedRouter router = router_with_canary();
  router.serve = [](ReleaseVersion version, EndpointIndex) {
    return Outcome{AttemptResult::kOk, Duration::ms(version == 2 ? 130 : 50)};
  };
  router.run(Duration::s(10), 200);
  EXPECT_TRUE(router.actions.logged("stepped back"));
  EXPECT_TRUE(router.actions.voted(Vote::kAbort));
}

TEST(RegressionDetector, VotesAbortOnOverallSlowdownUnlessConnectionsFailOrRequestsSurge) {
  for (const auto& [connections_fail, surge] : {std::pair{false, false}, {true, false}, {false, true}}) {
    SimulatedRouter router = router_with_canary();
    if (surge) router.run(Duration::s(1), 300);
    router.serve =
        connections_fail ? [](ReleaseVersion,
                  EndpointIndex endpoint) { return Outcome{endpoint < 2 ? AttemptResult::kConnectFailed : AttemptResult::kOk, Duration::ms(300)}; }
             : [](ReleaseVersion, EndpointIndex) {
                 return Outcome{AttemptResult::kOk, Duration::ms(300)};
               };
    router.run(Duration::ms(9500), surge ? 300 : 60);
    EXPECT_EQ(router.actions.voted(Vote::kAbort), !connections_fail && !surge);
    // The slowdown is ignored until 8 s after the end of the surge, not after its start.
    EXPECT_EQ(router.actions.logged("stepped back"), !connections_fail && !surge);
  }
}

TEST(RegressionDetector, VotesAbortOnReleasedVersionAfterOverallSlowdown) {
  SimulatedRouter router = router_with_canary();
  router.set_release(2, 2, ReleasePhase::kReleased, 1);
  router.serve = [](ReleaseVersion, EndpointIndex) { return Outcome{AttemptResult::kOk, Duration::ms(500)}; };
  router.run(Duration::s(10), 60);
  EXPECT_TRUE(router.actions.voted(Vote::kAbort));
}

TEST(RegressionDetector, VotesAbortOnDisputedAnswers) {
  RouterSettings settings = default_settings();
  settings.dispute_report_fraction = 0.15;
  SimulatedRouter router = router_with_canary(settings);
  router.run(Duration::s(3), 100);
  for (EndpointIndex i = 0; i < 4; ++i) router.policy->on_disputed_answer({8 + i % 3, Duration::ms(500)});
  router.run(Duration::ms(300), 100);
  EXPECT_TRUE(router.actions.voted(Vote::kAbort));
}

TEST(RegressionDetector, DetectsSlowCanaryWithManyRouters) {
  RouterSettings settings = default_settings();
  settings.router_count = 60;
  SimulatedRouter router = router_with_canary(settings, 0.4, 12, 10);
  router.serve = [](ReleaseVersion version, EndpointIndex) {
    return Outcome{AttemptResult::kOk, Duration::ms(version == 2 ? 130 : 50)};
  };
  router.run(Duration::s(20), 20);
  EXPECT_TRUE(router.actions.voted(Vote::kAbort));
}

// The endpoints answer in 300 ms. If the baseline of the release were the initial estimate of 100 ms, they
// would seem to have slowed down by a factor of three.
TEST(RegressionDetector, UsesMeasuredLatencyNotInitialEstimateAsBaseline) {
  SimulatedRouter router(default_settings(), 20, 5);
  router.serve = [](ReleaseVersion, EndpointIndex) { return Outcome{AttemptResult::kOk, Duration::ms(300)}; };
  router.run(Duration::s(5), 8);
  router.set_release(2, 0, ReleasePhase::kCanary, 0.1);
  router.run(Duration::s(10), 8);
  EXPECT_FALSE(router.actions.logged("stepped back"));
}

}  // namespace
}  // namespace ashbeam
