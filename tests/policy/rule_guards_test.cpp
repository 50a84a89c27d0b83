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
  router.policy->set_endpoint_list_validity({now + Duration::s(1), Instant::never()});
  router.request();
  EXPECT_EQ(router.actions.attempts.size(), 1U);
  router.policy->set_endpoint_list_validity({now, Instant::never()});
  router.request();
  EXPECT_EQ(router.actions.attempts.size(), 1U);
  EXPECT_EQ(router.actions.rejected.size(), 1U);  // Rejected at once, without waiting for an endpoint.
  router.policy->extend_endpoint_validity(2, now + Duration::s(1));
  router.request();
  ASSERT_EQ(router.actions.attempts.size(), 2U);
  EXPECT_EQ(router.actions.attempts.back().endpoint, 2U);
  // A line is incomplete, so no endpoint may receive attempts.
  router.policy->set_endpoint_list_validity({now, now});
  router.request();
  EXPECT_EQ(router.actions.attempts.size(), 2U);
}

}  // namespace
}  // namespace ashbeam
