// Failures as evidence for or against a release.
#include <algorithm>
#include <array>

#include "policy_fixture.hpp"

namespace ashbeam {
namespace {

TEST(FailureComparison, OneFailingRequestClassDoesNotHideAmongTheOthers) {
  RouterSettings settings = default_settings();
  SimulatedRouter router = router_with_canary(settings);
  router.run(Duration::ms(300), 0);
  for (int i = 0; i < 1600 && !router.actions.voted(Vote::kAbort); ++i) {
    const unsigned request_class = i % 12 == 0 ? 1 : 0;
    router.request(request_class);
    const SentAttempt attempt = router.actions.attempts.back();
    const bool fails = router.versions[attempt.endpoint] == 2 && request_class == 1;
    router.now = router.now + Duration::ms(5);
    router.end_attempt(attempt, fails ? AttemptResult::kError : AttemptResult::kOk, Duration::ms(50), fails);
    router.tick();
  }
  EXPECT_TRUE(router.actions.voted(Vote::kAbort));
}

TEST(FailureComparison, OneBadEndpointDoesNotConvictItsRelease) {
  SimulatedRouter router = router_with_canary(default_settings(), 0.4, 8, 4);
  router.serve = [](ReleaseVersion, EndpointIndex endpoint) {
    return Outcome{endpoint == 9 ? AttemptResult::kError : AttemptResult::kOk};
  };
  router.run(Duration::s(6), 200);
  EXPECT_FALSE(router.actions.voted(Vote::kAbort));
  EXPECT_TRUE(router.actions.logged("endpoint 9 ejected"));
}

TEST(FailureComparison, ASingleBadCanaryIsHeldWhileStableEndpointsAreBadToo) {
  for (const bool others : {false, true}) {
    SimulatedRouter router = router_with_canary(default_settings(), 0.4, 8, 1);
    router.serve =
        others ? [](ReleaseVersion,
                    EndpointIndex
                        endpoint) { return Outcome{endpoint < 2 || endpoint == 8 ? AttemptResult::kError : AttemptResult::kOk}; }
               : [](ReleaseVersion, EndpointIndex endpoint) {
                   return Outcome{endpoint == 8 ? AttemptResult::kError : AttemptResult::kOk};
                 };
    router.run(Duration::s(6), 200);
    EXPECT_EQ(router.actions.voted(Vote::kAbort), !others);
    EXPECT_FALSE(router.actions.voted(Vote::kPromote));
  }
}

TEST(FailureComparison, AFewBadEndpointsDoNotAbortAFinishedRelease) {
  for (const bool all : {false, true}) {
    SimulatedRouter router(default_settings(), 0, 12);
    router.set_release(2, 2, ReleasePhase::kReleased, 1);
    router.serve = all ? [](ReleaseVersion, EndpointIndex) {
      static int n = 0;
      return Outcome{++n % 5 == 0 ? AttemptResult::kError : AttemptResult::kOk};
    } : [](ReleaseVersion, EndpointIndex endpoint) { return Outcome{endpoint < 3 && endpoint % 2 == 0 ? AttemptResult::kError : AttemptResult::kOk}; };
    router.run(Duration::s(4), 200);
    EXPECT_EQ(router.actions.voted(Vote::kAbort), all);
  }
}

TEST(FailureComparison, CanariesThatAreEjectedOneByOneCountAgainstTheirRelease) {
  SimulatedRouter router =
      router_with_canary(default_settings(), 0.4, 8, 5);  // the oldest turn bad first; each is soon out
  router.serve = [](ReleaseVersion, EndpointIndex endpoint) {
    return Outcome{endpoint >= 8 && endpoint < 11 ? AttemptResult::kError : AttemptResult::kOk};
  };
  router.run(Duration::s(12), 200);
  EXPECT_TRUE(router.actions.voted(Vote::kAbort));
  EXPECT_FALSE(router.actions.voted(Vote::kPromote));
}

TEST(FailureComparison, FailuresEverywhereAreNotTheCanarys) {
  SimulatedRouter router = router_with_canary();
  router.serve = [](ReleaseVersion, EndpointIndex) {
    static int n = 0;
    return Outcome{++n % 10 == 0 ? AttemptResult::kError : AttemptResult::kOk};
  };
  router.run(Duration::s(6), 200);
  EXPECT_FALSE(router.actions.voted(Vote::kAbort));
}

TEST(FailureComparison, BrokenConnectionsDoNotConvictARelease) {
  SimulatedRouter router = router_with_canary();
  router.serve = [](ReleaseVersion version, EndpointIndex) {
    return Outcome{version == 2 ? AttemptResult::kConnectFailed : AttemptResult::kOk};
  };
  router.run(Duration::s(6), 200);
  EXPECT_FALSE(router.actions.voted(Vote::kAbort));
}

TEST(FailureComparison, RequestsThatFailAnywhereConvictNeitherEndpointNorRelease) {
  SimulatedRouter router = router_with_canary(default_settings(), 0.4, 6, 5);
  for (int i = 0; i < 3000; ++i) {
    const bool bad = i % 3 == 0;
    const std::size_t from = router.actions.attempts.size();
    const RequestId id = router.request();
    for (std::size_t sent = from; sent < router.actions.attempts.size(); ++sent) {
      if (router.actions.attempts[sent].request == id)
        router.end_attempt(router.actions.attempts[sent], bad ? AttemptResult::kError : AttemptResult::kOk);
    }
    EXPECT_LE(router.actions.attempt_counts[id], 2u);  // two endpoints have failed it
    router.now = router.now + Duration::ms(5);
    router.tick();
  }
  EXPECT_FALSE(router.actions.voted(Vote::kAbort));
  EXPECT_FALSE(router.actions.logged("severe"));
}

TEST(FailureComparison, SamplesStandInWhileOwnOutcomesAreFew) {
  SimulatedRouter router = router_with_canary(default_settings(), 0.1);
  router.policy->on_outcome_sample({1, 0, 100, 0});
  router.policy->on_outcome_sample({2, 0, 40, 10});
  router.run(Duration::s(1), 5);
  EXPECT_TRUE(router.actions.voted(Vote::kAbort));
}

TEST(FailureComparison, ManyRoutersAskForMoreEvidenceEach) {
  for (const unsigned routers : {2U, 200U}) {
    RouterSettings settings = default_settings();
    settings.router_count = routers;
    SimulatedRouter router = router_with_canary(settings);
    router.policy->on_outcome_sample({1, 0, 100, 8});
    router.policy->on_outcome_sample({2, 0, 100, 23});
    router.run(Duration::s(1), 5);
    EXPECT_EQ(router.actions.voted(Vote::kAbort), routers == 2);
  }
}

}  // namespace
}  // namespace ashbeam
