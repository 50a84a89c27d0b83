// Tests of the distribution of requests over endpoints of different latencies and zones.
#include <algorithm>
#include <array>

#include "policy_fixture.hpp"

namespace ashbeam {
namespace {

// The estimates of a zone without answers decay, so that it is tried again. Guards against a decay below the
// best estimate, which would send most requests to that zone.
TEST(LoadBalancer, SendsFewRequestsToZoneThatNeverAnswers) {
  RouterSettings settings = default_settings();
  settings.router_count = 200;
  SimulatedRouter router(settings, 8);
  // Odd endpoints are in the other zone. They accept requests and never answer.
  router.serve = [](ReleaseVersion, EndpointIndex endpoint) {
    return Outcome{AttemptResult::kOk, Duration::ms(50), endpoint % 2 == 1};
  };
  router.run(Duration::s(20), 4);
  std::size_t lost = 0;
  for (const auto& attempt : router.actions.attempts) lost += attempt.endpoint % 2;
  EXPECT_LT(lost, router.actions.attempts.size() / 4);
}

// Guards against endpoints that become unusable one after another, because none but the quickest receive the
// requests whose answers they need.
TEST(LoadBalancer, UsesAllEndpointsInTurnWhileTheyNeedAnswers) {
  SimulatedRouter router(default_settings(), 8);
  router.serve = [](ReleaseVersion, EndpointIndex endpoint) {
    return Outcome{AttemptResult::kOk, Duration::ms(endpoint < 2 ? 10 : 150)};
  };
  router.run(Duration::s(5), 40);
  EndpointListValidity validity;
  validity.answers_needed_from = router.now;
  router.policy->set_endpoint_list_validity(validity);
  const std::size_t from = router.actions.attempts.size();
  router.run(Duration::s(1), 40);
  for (EndpointIndex endpoint = 0; endpoint < 8; ++endpoint) {
    const auto sent = std::count_if(router.actions.attempts.begin() + static_cast<std::ptrdiff_t>(from),
                                    router.actions.attempts.end(),
                                    [&](const auto& attempt) { return attempt.endpoint == endpoint; });
    EXPECT_GE(sent, 3) << endpoint;
  }
}

// Half of the endpoints are small machines. They must receive what they can serve, during a canary release
// and after it. Half of the requests would overload them.
TEST(LoadBalancer, SendsSmallMachinesOnlyTheirCapacity) {
  for (const ReleasePhase phase : {ReleasePhase::kCanary, ReleasePhase::kReleased}) {
    RouterSettings settings = default_settings();
    settings.router_count = 100, settings.machine_type_count = 2;
    SimulatedRouter router(settings, 20);
    router.set_endpoints(20, 20, Instant(), 1);
    router.set_release(2, 1, phase, 1);
    router.serve = [](ReleaseVersion version, EndpointIndex) {
      return Outcome{AttemptResult::kOk, Duration::ms(version == 1 ? 60 : 300)};
    };
    router.run(Duration::s(40), 12);
    EXPECT_LT(4 * router.sent_to(2), router.actions.attempts.size());
  }
}

// One of six canary endpoints is in this router's zone, beside ten stable ones. It must receive the share of
// one endpoint, not that of all six.
TEST(LoadBalancer, CanaryInOwnZoneDoesNotReceiveShareOfOtherZones) {
  RouterSettings settings = default_settings();
  settings.router_count = 100;
  settings.cross_zone_cost = 0.08;
  SimulatedRouter router(settings, 20);
  router.run(Duration::s(5), 12);
  router.policy->begin_endpoint_update(false);
  for (EndpointIndex endpoint = 20; endpoint < 26; ++endpoint)
    router.policy->update_endpoint({endpoint, EndpointState::kReady, router.versions[endpoint] = 2,
                                    endpoint == 20 ? 0U : 1U, endpoint, 0, Instant()});
  router.policy->end_endpoint_update();
  router.set_release(2, 1, ReleasePhase::kCanary, 1);
  router.run(Duration::s(10), 12);
  const std::size_t from = router.actions.attempts.size();
  router.run(Duration::s(40), 12);
  EXPECT_LT(router.sent_to(2, from) * 6, router.actions.attempts.size() - from);
}

}  // namespace
}  // namespace ashbeam
