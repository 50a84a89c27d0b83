// Tests of the attempts that one router, or a fleet of routers, sends to endpoints in slow start.
#include <algorithm>
#include <array>

#include "policy_fixture.hpp"

namespace ashbeam {
namespace {

// Returns the number of attempts that all routers of the fleet together send within a second to
// endpoints that have all just started. `before` is applied to each router first; then each receives `per_s`
// requests per second.
template <class Before>
std::size_t sent_cold(const RouterSettings& settings, int per_s, Before&& before) {
  std::size_t cold = 0;
  for (unsigned router_index = 0; router_index < settings.router_count; ++router_index) {
    SimulatedRouter router(settings, 8, 0, 100 + router_index);
    before(router);
    const std::size_t from = router.actions.attempts.size();
    router.run(Duration::s(1), per_s);
    cold += router.actions.attempts.size() - from;
  }
  return cold;
}

// Returns a function that runs a router for 3 s and then lists all of its endpoints as just started.
auto listed_cold(int per_s) {
  return [per_s](SimulatedRouter& router) {
    router.run(Duration::s(3), per_s);
    router.policy->begin_endpoint_update(false);
    for (EndpointIndex endpoint = 0; endpoint < 8; ++endpoint)
      router.policy->update_endpoint(
          {endpoint, EndpointState::kReady, 1, endpoint % 2, endpoint, 0, router.now});
    router.policy->end_endpoint_update();
  };
}

TEST(SlowStart, SendsLessToColdEndpointThanToWarmOne) {
  SimulatedRouter router(default_settings(), 8);
  router.run(Duration::s(2), 400);
  router.policy->begin_endpoint_update(false);
  router.policy->update_endpoint({0, EndpointState::kReady, 1, 0, 0, 0, router.now});
  router.policy->end_endpoint_update();
  const std::size_t from = router.actions.attempts.size();
  router.run(Duration::s(1), 400);
  std::size_t cold = 0;
  for (std::size_t i = from; i < router.actions.attempts.size(); ++i)
    cold += router.actions.attempts[i].endpoint == 0;
  EXPECT_LT(cold, 32u);  // An endpoint with full capacity receives 50 per second.
}

TEST(SlowStart, LargeFleetLimitsTotalAttemptsToColdEndpoints) {
  RouterSettings settings = default_settings();
  settings.router_count = 200;
  const std::size_t cold = sent_cold(settings, 3, listed_cold(3));
  EXPECT_GT(cold, 0u);
  // Of 600 requests. If each router could send one attempt without a limit, all of them would be sent.
  EXPECT_LT(cold, 500u);
}

// Clients that retry cause demand far above the capacity of the endpoints. The quotas of the tenants tell the
// routers what that capacity is.
TEST(SlowStart, LargeFleetUnderExcessDemandStaysWithinCapacityOfColdEndpoints) {
  RouterSettings settings = default_settings();
  settings.router_count = 200;
  settings.tenant_quota_per_s = {400};                              // 50 per second for each of 8 endpoints.
  const std::size_t cold = sent_cold(settings, 9, listed_cold(9));  // Of 1,800 requests.
  EXPECT_GT(cold, 50u);
  EXPECT_LT(cold, 400u * 6 / 10);  // Their capacity grows from 0.33 to 0.5 within the second.
}

// The endpoint list shows a restart with a delay. An endpoint to which connections failed, and a zone in
// which this is true of all endpoints, may have restarted before the list shows it.
TEST(SlowStart, TreatsLostZoneAsColdWhenItReturns) {
  RouterSettings settings = default_settings();
  settings.router_count = 200;
  settings.tenant_quota_per_s = {400};
  const auto lost_and_back = [](SimulatedRouter& router) {
    router.run(Duration::s(6), 9);
    router.serve = [](ReleaseVersion, EndpointIndex) {
      return Outcome{AttemptResult::kConnectFailed, Duration::ms(5)};
    };
    router.run(Duration::s(1), 9);
    router.serve = [](ReleaseVersion, EndpointIndex) { return Outcome{}; };
  };
  const std::size_t cold = sent_cold(settings, 9, lost_and_back);
  EXPECT_GT(cold, 50u);
  EXPECT_LT(cold, 400u * 6 / 10);
}

// A new stage adds 16 cold canary endpoints to 4 warm ones. 20 endpoints are stable.
TEST(SlowStart, ColdCanariesReceiveTheirShareAndWarmOnesDoNotReceiveIt) {
  RouterSettings settings = default_settings();
  settings.router_count = 200;
  settings.zone_count = 1;
  std::array<double, 3> sent{};  // 0: stable, 1: warm canaries, 2: cold canaries.
  for (unsigned router_index = 0; router_index < settings.router_count; ++router_index) {
    SimulatedRouter router(settings, 20, 4, 100 + router_index);
    router.set_release(2, 0, ReleasePhase::kCanary, 1);
    router.run(Duration::s(6), 6);
    router.policy->begin_endpoint_update(false);
    for (EndpointIndex endpoint = 24; endpoint < 40; ++endpoint)
      router.policy->update_endpoint(
          {endpoint, EndpointState::kReady, router.versions[endpoint] = 2, 0, endpoint, 0, router.now});
    router.policy->end_endpoint_update();
    const std::size_t from = router.actions.attempts.size();
    router.run(Duration::s(1), 6);
    for (std::size_t i = from; i < router.actions.attempts.size(); ++i) {
      const EndpointIndex endpoint = router.actions.attempts[i].endpoint;
      ++sent[endpoint < 20 ? 0 : endpoint < 24 ? 1 : 2];
    }
  }
  const double stable = sent[0] / 20;
  EXPECT_GT(sent[2] / 16, stable * 0.33);  // Their capacity is 0.33 to 0.5 of that.
  EXPECT_LT(sent[2] / 16, stable * 0.6);
  EXPECT_LT(sent[1] / 4, stable * 1.2);
}

// A router that has just started cannot know of restarts that are not in the endpoint list yet, so it must
// treat all endpoints as cold.
TEST(SlowStart, FleetOfNewRoutersStaysWithinCapacityOfColdEndpoints) {
  RouterSettings settings = default_settings();
  settings.router_count = 200;
  settings.tenant_quota_per_s = {400};
  const std::size_t cold = sent_cold(settings, 9, [](SimulatedRouter&) {});
  EXPECT_GT(cold, 100u);
  EXPECT_LT(cold, 400u * 0.66);  // Twice their capacity at the start, which is 0.33.
}

}  // namespace
}  // namespace ashbeam
