// The routing policy uses only its own deployment's settings, and applies to each tenant that tenant's quota.
#include <gtest/gtest.h>

#include "policy_fixture.hpp"

namespace ashbeam {
namespace {

using SentAttempts = std::vector<std::pair<RequestId, EndpointIndex>>;

// Returns the attempts that a simulated router with `settings` sends within 8 s to six stable and two canary
// endpoints, of which the one with index 4 fails all requests.
SentAttempts attempts_of(const RouterSettings& settings, const std::vector<unsigned>& request_classes) {
  SimulatedRouter router(settings, 6, 2);
  router.set_release(2, 0, ReleasePhase::kCanary, settings.exposure_caps[0]);
  router.serve = [](ReleaseVersion, EndpointIndex endpoint) {
    return Outcome{endpoint % 5 == 4 ? AttemptResult::kError : AttemptResult::kOk, Duration::ms(60)};
  };
  router.run(Duration::s(8), 60, request_classes);
  SentAttempts attempts;
  for (const SentAttempt& attempt : router.actions.attempts) {
    attempts.emplace_back(attempt.request, attempt.endpoint);
  }
  return attempts;
}

// State that outlives a router, for example in a static variable, would let one deployment affect the next.
TEST(Settings, DecisionsDoNotDependOnDeploymentsRunBefore) {
  const RouterSettings first = default_settings();
  // Fewer request classes in another order, one zone, other limits, more machine types, more stages.
  RouterSettings second = default_settings();
  second.request_classes = {second.request_classes[2], second.request_classes[0]};
  second.request_classes[0].client_timeout = Duration::s(6);
  second.request_classes[1].client_timeout = Duration::ms(900);
  second.zone_count = 1;
  second.machine_type_count = 3;
  second.max_attempts = 2;
  second.may_hedge = false;
  second.sticky_keys = true;
  second.exposure_caps = {0.2, 0.3, 0.5, 0.8, 1};
  second.tenant_quota_per_s = {5, 50, 1};
  const SentAttempts first_attempts = attempts_of(first, {0, 1, 2});
  const SentAttempts second_attempts = attempts_of(second, {0, 1});
  EXPECT_NE(first_attempts, second_attempts);
  EXPECT_EQ(attempts_of(first, {0, 1, 2}), first_attempts);
  EXPECT_EQ(attempts_of(second, {0, 1}), second_attempts);
}

// When not all requests can be answered in time, those over their tenant's quota are rejected first,
// whichever position that tenant has.
TEST(Settings, RejectsRequestsOfTenantsOverTheirOwnQuota) {
  const auto rejected_by_tenant = [](const std::vector<double>& quotas) {
    RouterSettings settings = default_settings();
    settings.tenant_quota_per_s = quotas;
    settings.over_quota_weight_factor = 0.05;
    SimulatedRouter router(settings, 4);
    router.tenant_count = static_cast<unsigned>(quotas.size());
    router.serve = [](ReleaseVersion, EndpointIndex) {
      return Outcome{AttemptResult::kOk, Duration::ms(200)};
    };
    router.run(Duration::s(20), 60);
    std::vector<std::size_t> counts(quotas.size());
    for (const RequestId request : router.actions.rejected) ++counts[request % counts.size()];
    return counts;
  };
  const auto uneven = rejected_by_tenant({400, 2});
  const auto swapped = rejected_by_tenant({2, 400});
  const auto without_quota = rejected_by_tenant({400, 400, 0});
  EXPECT_GT(uneven[1], 2 * uneven[0] + 50);
  EXPECT_GT(swapped[0], 2 * swapped[1] + 50);
  EXPECT_GT(without_quota[2], without_quota[0] + without_quota[1] + 50);
}

}  // namespace
}  // namespace ashbeam
