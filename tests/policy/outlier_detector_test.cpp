// Tests of the ejection of endpoints and of what ends an ejection.
#include <algorithm>
#include <array>

#include "policy_fixture.hpp"

namespace ashbeam {
namespace {

// When a whole zone fails, its endpoints stay ejected although they are half of the list, because the other
// zone still answers. When all endpoints fail, ejections are ignored.
TEST(OutlierDetector, AvoidsLostZoneButTriesAllEndpointsWhenAllFail) {
  SimulatedRouter router(default_settings(), 8);
  router.run(Duration::s(2), 200);
  router.serve = [](ReleaseVersion, EndpointIndex endpoint) {
    return Outcome{endpoint % 2 != 0 ? AttemptResult::kConnectFailed : AttemptResult::kOk};
  };
  router.run(Duration::s(1), 200);
  const auto sent_to_lost_zone = [&](std::size_t from) {
    return std::count_if(router.actions.attempts.begin() + static_cast<std::ptrdiff_t>(from),
                         router.actions.attempts.end(),
                         [](const auto& attempt) { return attempt.endpoint % 2 != 0; });
  };
  std::size_t from = router.actions.attempts.size();
  router.run(Duration::s(1), 200);
  EXPECT_LT(sent_to_lost_zone(from), 20);
  router.serve = [](ReleaseVersion, EndpointIndex) { return Outcome{AttemptResult::kConnectFailed}; };
  router.run(Duration::s(2), 200);
  from = router.actions.attempts.size();
  router.run(Duration::s(1), 200);
  // Only a few are expected, because endpoints count as cold after failures to connect.
  EXPECT_GT(sent_to_lost_zone(from), 10);
}

TEST(OutlierDetector, IgnoresOutcomesOfPreviousProcess) {
  SimulatedRouter router(default_settings(), 4);
  for (int i = 0; i < 40; ++i) router.request();
  router.policy->begin_endpoint_update(false);
  for (EndpointIndex endpoint = 0; endpoint < 4; ++endpoint)
    router.policy->update_endpoint(
        {endpoint, EndpointState::kReady, 2, endpoint % 2, endpoint, 0, Instant()});
  router.policy->end_endpoint_update();
  const auto sent = router.actions.attempts;  // A copy, because the end of an attempt causes retries.
  ASSERT_GE(sent.size(), 12u);
  for (const auto& attempt : sent) router.end_attempt(attempt, AttemptResult::kReset);
  EXPECT_FALSE(router.actions.logged("ejected for"));
}

TEST(OutlierDetector, EndpointReturnsWithoutEjectionAfterRemoval) {
  SimulatedRouter router(default_settings(), 4);
  router.serve = [](ReleaseVersion, EndpointIndex endpoint) {
    return Outcome{endpoint == 0 ? AttemptResult::kReset : AttemptResult::kOk};
  };
  router.run(Duration::s(2), 200);
  ASSERT_TRUE(router.actions.logged("endpoint 0 ejected for"));
  router.serve = [](ReleaseVersion, EndpointIndex) { return Outcome{}; };
  for (const EndpointState state : {EndpointState::kRemoved, EndpointState::kReady}) {
    router.policy->begin_endpoint_update(false);
    router.policy->update_endpoint({0, state, 1, 0, 0, 0, Instant()});
    router.policy->end_endpoint_update();
  }
  const std::size_t from = router.actions.attempts.size();
  router.run(Duration::ms(300), 200);
  std::size_t sent_to_endpoint = 0;
  for (std::size_t i = from; i < router.actions.attempts.size(); ++i)
    sent_to_endpoint += router.actions.attempts[i].endpoint == 0;
  EXPECT_GE(sent_to_endpoint, 5u);
}

}  // namespace
}  // namespace ashbeam
