// How requests are spread over endpoints of different speed and zone.
#include <algorithm>
#include <array>

#include "policy_fixture.hpp"

namespace ashbeam {
namespace {

TEST(LoadBalancer, AnUnheardZoneCountsAsNoBetterThanTheBest) {
  RouterSettings settings = default_settings();
  settings.router_count = 200;
  SimulatedRouter router(settings,
                         8);  // odd endpoints are of the other zone: they take requests and answer none
  router.serve = [](ReleaseVersion, EndpointIndex endpoint) {
    return Outcome{AttemptResult::kOk, Duration::ms(50), endpoint % 2 == 1};
  };
  router.run(Duration::s(20), 4);
  std::size_t lost = 0;
  for (const auto& attempt : router.actions.attempts) lost += attempt.endpoint % 2;
  EXPECT_LT(lost, router.actions.attempts.size() / 4);
}

// Half of the endpoints, but small ones: on canary or not, they get what they do, not half, which would jam
// them.
TEST(LoadBalancer, OneOfManyRoutersSendsSmallMachinesWhatTheyCanDo) {
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

// One of six canary endpoints is near by, among ten of the stable version: it gets what one of them gets.
TEST(LoadBalancer, AFewNearbyCanariesDoNotCarryThePartOfThoseInOtherZones) {
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
