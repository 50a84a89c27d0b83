// Tests of the comparison of failures between the canary and the stable versions.
#include <algorithm>
#include <array>

#include "policy_fixture.hpp"

namespace ashbeam {
namespace {

TEST(FailureComparison, DetectsFailuresOfSingleRequestClass) {
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

TEST(FailureComparison, EjectsSingleFailingEndpointWithoutAbortVote) {
  SimulatedRouter router = router_with_canary(default_settings(), 0.4, 8, 4);
  router.serve = [](ReleaseVersion, EndpointIndex endpoint) {
    return Outcome{endpoint == 9 ? AttemptResult::kError : AttemptResult::kOk};
  };
  router.run(Duration::s(6), 200);
  EXPECT_FALSE(router.actions.voted(Vote::kAbort));
  EXPECT_TRUE(router.actions.logged("endpoint 9 ejected"));
}

TEST(FailureComparison, VotesAbortForOnlyCanaryEndpointUnlessStableEndpointsFailToo) {
  for (const bool stable_endpoints_fail : {false, true}) {
    SimulatedRouter router = router_with_canary(default_settings(), 0.4, 8, 1);
    router.serve =
        stable_endpoints_fail ? [](ReleaseVersion,
                    EndpointIndex
                        endpoint) { return Outcome{endpoint < 2 || endpoint == 8 ? AttemptResult::kError : AttemptResult::kOk}; }
               : [](ReleaseVersion, EndpointIndex endpoint) {
                   return Outcome{endpoint == 8 ? AttemptResult::kError : AttemptResult::kOk};
                 };
    router.run(Duration::s(6), 200);
    EXPECT_EQ(router.actions.voted(Vote::kAbort), !stable_endpoints_fail);
    EXPECT_FALSE(router.actions.voted(Vote::kPromote));
  }
}

TEST(FailureComparison, VotesAbortOnReleasedVersionUnlessOnlyFewEndpointsFail) {
  for (const bool all_fail : {false, true}) {
    SimulatedRouter router(default_settings(), 0, 12);
    router.set_release(2, 2, ReleasePhase::kReleased, 1);
    router.serve = all_fail ? [](ReleaseVersion, EndpointIndex) {
      static int attempts = 0;
      return Outcome{++attempts % 5 == 0 ? AttemptResult::kError : AttemptResult::kOk};
    } : [](ReleaseVersion, EndpointIndex endpoint) { return Outcome{endpoint < 3 && endpoint % 2 == 0 ? AttemptResult::kError : AttemptResult::kOk}; };
    router.run(Duration::s(4), 200);
    EXPECT_EQ(router.actions.voted(Vote::kAbort), all_fail);
  }
}

TEST(FailureComparison, VotesAbortAfterSeveralCanaryEndpointsAreEjected) {
  // The three oldest of the five canary endpoints fail; each is soon ejected.
  SimulatedRouter router = router_with_canary(default_settings(), 0.4, 8, 5);
  router.serve = [](ReleaseVersion, EndpointIndex endpoint) {
    return Outcome{endpoint >= 8 && endpoint < 11 ? AttemptResult::kError : AttemptResult::kOk};
  };
  router.run(Duration::s(12), 200);
  EXPECT_TRUE(router.actions.voted(Vote::kAbort));
  EXPECT_FALSE(router.actions.voted(Vote::kPromote));
}

TEST(FailureComparison, DoesNotVoteAbortIfStableEndpointsFailAsOften) {
  SimulatedRouter router = router_with_canary();
  router.serve = [](ReleaseVersion, EndpointIndex) {
    static int attempts = 0;
    return Outcome{++attempts % 10 == 0 ? AttemptResult::kError : AttemptResult::kOk};
  };
  router.run(Duration::s(6), 200);
  EXPECT_FALSE(router.actions.voted(Vote::kAbort));
}

TEST(FailureComparison, DoesNotVoteAbortOnConnectFailures) {
  SimulatedRouter router = router_with_canary();
  router.serve = [](ReleaseVersion version, EndpointIndex) {
    return Outcome{version == 2 ? AttemptResult::kConnectFailed : AttemptResult::kOk};
  };
  router.run(Duration::s(6), 200);
  EXPECT_FALSE(router.actions.voted(Vote::kAbort));
}

TEST(FailureComparison, DoesNotVoteAbortForRequestsThatFailAtAnyEndpoint) {
  SimulatedRouter router = router_with_canary(default_settings(), 0.4, 6, 5);
  for (int i = 0; i < 3000; ++i) {
    const bool fails_everywhere = i % 3 == 0;
    const std::size_t first_attempt = router.actions.attempts.size();
    const RequestId id = router.request();
    for (std::size_t sent = first_attempt; sent < router.actions.attempts.size(); ++sent) {
      if (router.actions.attempts[sent].request == id)
        router.end_attempt(router.actions.attempts[sent],
                           fails_everywhere ? AttemptResult::kError : AttemptResult::kOk);
    }
    // A request is not sent again after two endpoints have answered it with an error.
    EXPECT_LE(router.actions.attempt_counts[id], 2u);
    router.now = router.now + Duration::ms(5);
    router.tick();
  }
  EXPECT_FALSE(router.actions.voted(Vote::kAbort));
  EXPECT_FALSE(router.actions.logged("severe"));
}

TEST(FailureComparison, UsesPlatformSamplesIfOwnOutcomesAreFew) {
  SimulatedRouter router = router_with_canary(default_settings(), 0.1);
  router.policy->on_outcome_sample({1, 0, 100, 0});
  router.policy->on_outcome_sample({2, 0, 40, 10});
  router.run(Duration::s(1), 5);
  EXPECT_TRUE(router.actions.voted(Vote::kAbort));
}

TEST(FailureComparison, RequiresMoreEvidenceWithManyRouters) {
  for (const unsigned router_count : {2U, 200U}) {
    RouterSettings settings = default_settings();
    settings.router_count = router_count;
    SimulatedRouter router = router_with_canary(settings);
    router.policy->on_outcome_sample({1, 0, 100, 8});
    router.policy->on_outcome_sample({2, 0, 100, 23});
    router.run(Duration::s(1), 5);
    EXPECT_EQ(router.actions.voted(Vote::kAbort), router_count == 2);
  }
}

}  // namespace
}  // namespace ashbeam
