// What endpoints that warm up get, from one router and from a fleet.
#include <algorithm>
#include <array>

#include "policy_fixture.hpp"

namespace ashbeam {
namespace {

// What `routers` routers together send within a second to endpoints that have all just come back, `per_s`
// requests coming to each, after `before` has happened to each.
template <class Before>
std::size_t sent_cold(const RouterSettings& settings, int per_s, Before&& before) {
  std::size_t cold = 0;
  for (unsigned number = 0; number < settings.router_count; ++number) {
    SimulatedRouter router(settings, 8, 0, 100 + number);
    before(router);
    const std::size_t from = router.actions.attempts.size();
    router.run(Duration::s(1), per_s);
    cold += router.actions.attempts.size() - from;
  }
  return cold;
}

// All endpoints are listed as just started, after 3 s of so many requests a second.
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

TEST(SlowStart, AnEndpointThatWarmsUpGetsLessThanAWarmOne) {
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
  EXPECT_LT(cold, 32u);  // 50 a second is a warm endpoint's part
}

TEST(SlowStart, ManyRoutersTogetherSendAColdEndpointNoMoreThanItsPart) {
  RouterSettings settings = default_settings();
  settings.router_count = 200;
  const std::size_t cold = sent_cold(settings, 3, listed_cold(3));
  EXPECT_GT(cold, 0u);
  EXPECT_LT(cold, 500u);  // of 600 requests; one free request for each router would let all of them through
}

// Demand far over what the fleet can do, by clients that come again: the tenants' shares say what that is.
TEST(SlowStart, ManyRoutersUnderAnyDemandSendColdEndpointsWhatTheyCanDo) {
  RouterSettings settings = default_settings();
  settings.router_count = 200;
  settings.tenant_quota_per_s = {400};                              // 50 a second for each of 8 endpoints
  const std::size_t cold = sent_cold(settings, 9, listed_cold(9));  // of 1,800 requests
  EXPECT_GT(cold, 50u);
  EXPECT_LT(cold, 400u * 6 / 10);  // they grow from 0.33 to 0.5 within the second
}

// The list tells of a start late. A endpoint seen dead, and a zone all of whose endpoints are, may have
// started anew.
TEST(SlowStart, AZoneThatWasLostIsColdWhenItComesBack) {
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

// A stage brings 16 cold endpoints beside 4 warm ones of its version and 20 of the stable one.
TEST(SlowStart, ColdCanariesGetTheirPartAndWarmOnesDoNotCarryIt) {
  RouterSettings settings = default_settings();
  settings.router_count = 200;
  settings.zone_count = 1;
  std::array<double, 3> sent{};  // 0: stable, 1: warm, 2: cold
  for (unsigned number = 0; number < settings.router_count; ++number) {
    SimulatedRouter router(settings, 20, 4, 100 + number);
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
  EXPECT_GT(sent[2] / 16, stable * 0.33);  // they are able to do 0.33 to 0.5 of that
  EXPECT_LT(sent[2] / 16, stable * 0.6);
  EXPECT_LT(sent[1] / 4, stable * 1.2);
}

// A router that has just started knows of no start that the list does not tell yet.
TEST(SlowStart, ManyRoutersJustStartedSendNoMoreThanColdEndpointsBear) {
  RouterSettings settings = default_settings();
  settings.router_count = 200;
  settings.tenant_quota_per_s = {400};
  const std::size_t cold = sent_cold(settings, 9, [](SimulatedRouter&) {});
  EXPECT_GT(cold, 100u);
  EXPECT_LT(cold, 400u * 0.66);  // twice what 0.33 of them is
}

}  // namespace
}  // namespace ashbeam
