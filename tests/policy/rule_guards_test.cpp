// Tests of which endpoints may receive attempts, by their state and the lease of the endpoint list.
#include <algorithm>
#include <array>

#include "policy_fixture.hpp"

namespace ashbeam {
namespace {

TEST(RuleGuards, SendsNothingToDrainingOrRemovedEndpoints) {
  SimulatedRouter router(default_settings(), 4);
  router.policy->begin_endpoint_update(false);
  router.policy->update_endpoint({0, EndpointState::kDraining, 1, 0, 0, 0, Instant()});
  router.policy->update_endpoint({1, EndpointState::kRemoved, 1, 1, 1, 0, Instant()});
  router.policy->end_endpoint_update();
  router.run(Duration::s(1), 100);
  for (const auto& attempt : router.actions.attempts) EXPECT_GE(attempt.endpoint, 2u);
}

TEST(RuleGuards, AfterLeaseExpirySendsOnlyToEndpointsWithExtendedValidity) {
  SimulatedRouter router(default_settings());
  router.set_endpoints(3, 0);
  router.set_release(1, 2, ReleasePhase::kReleased, 1);
  const Instant now = router.now;
  EndpointListValidity validity;
  validity.valid_until = now + Duration::s(1);
  validity.early_notification_until = now - Duration::s(3);
  validity.early_extension = Duration::s(2);
  validity.extension = Duration::s(4);
  const auto attempts_after_request = [&] {
    router.policy->set_endpoint_list_validity(validity);
    router.request();
    return router.actions.attempts.size();
  };
  EXPECT_EQ(attempts_after_request(), 1U);
  validity.valid_until = now;
  EXPECT_EQ(attempts_after_request(), 1U);
  EXPECT_EQ(router.actions.rejected.size(), 1U);  // Rejected at once, without waiting for an endpoint.
  // An accepted request extends the validity of its endpoint only by the time that applies to it.
  router.policy->on_endpoint_accepted_request(0, now - Duration::s(3.5));
  router.policy->on_endpoint_accepted_request(1, now - Duration::s(4));
  EXPECT_EQ(attempts_after_request(), 1U);
  router.policy->on_endpoint_accepted_request(2, now - Duration::s(2.5));
  ASSERT_EQ(attempts_after_request(), 2U);
  EXPECT_EQ(router.actions.attempts.back().endpoint, 2U);
  // More changes than was assumed may count as notified early, also for requests accepted before.
  validity.early_notification_until = now;
  EXPECT_EQ(attempts_after_request(), 2U);
  router.policy->on_endpoint_accepted_request(1, now - Duration::s(1));
  ASSERT_EQ(attempts_after_request(), 3U);
  EXPECT_EQ(router.actions.attempts.back().endpoint, 1U);
  validity.blocked_from = now;  // A line is incomplete, so no endpoint may receive attempts.
  EXPECT_EQ(attempts_after_request(), 3U);
}

}  // namespace
}  // namespace ashbeam
