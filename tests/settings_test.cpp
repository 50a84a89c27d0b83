// Each deployment, request class and tenant is decided for by its own settings alone: names and neighbours
// change nothing.
#include <gtest/gtest.h>

#include "policy_fixture.hpp"

namespace ashbeam {
namespace {

using Sent = std::vector<std::pair<RequestId, EndpointIndex>>;

Sent attempts_of(const RouterSettings& settings, const std::vector<unsigned>& groups) {
  SimulatedRouter router(settings, 6, 2);
  router.set_release(2, 0, ReleasePhase::kCanary, settings.exposure_caps[0]);
  router.serve = [](ReleaseVersion, EndpointIndex endpoint) {
    return Outcome{endpoint % 5 == 4 ? AttemptResult::kError : AttemptResult::kOk, Duration::ms(60)};
  };
  router.run(Duration::s(8), 60, groups);
  Sent all;
  for (const SentAttempt& s : router.actions.attempts) all.emplace_back(s.request, s.endpoint);
  return all;
}

TEST(Settings, TwoDeploymentsInTurnAreDecidedAsEachAlone) {
  const RouterSettings one = default_settings();
  // Fewer request classes in another order, one zone, other limits, more machine types, more stages.
  RouterSettings other = default_settings();
  other.request_classes = {other.request_classes[2], other.request_classes[0]};
  other.request_classes[0].client_timeout = Duration::s(6);
  other.request_classes[1].client_timeout = Duration::ms(900);
  other.zone_count = 1;
  other.machine_type_count = 3;
  other.max_attempts = 2;
  other.may_hedge = false;
  other.sticky_keys = true;
  other.exposure_caps = {0.2, 0.3, 0.5, 0.8, 1};
  other.tenant_quota_per_s = {5, 50, 1};
  const Sent alone = attempts_of(one, {0, 1, 2});
  const Sent others = attempts_of(other, {0, 1});
  EXPECT_NE(alone, others);
  EXPECT_EQ(attempts_of(one, {0, 1, 2}), alone);
  EXPECT_EQ(attempts_of(other, {0, 1}), others);
}

// Of requests that may be late those over their tenant's quota are rejected first, whichever tenant that is.
TEST(Settings, TenantsSideBySideAreHeldToTheirOwnQuotas) {
  const auto rejected = [](const std::vector<double>& quotas) {
    RouterSettings settings = default_settings();
    settings.tenant_quota_per_s = quotas;
    settings.over_quota_weight_factor = 0.05;
    SimulatedRouter router(settings, 4);
    router.tenant_count = static_cast<unsigned>(quotas.size());
    router.serve = [](ReleaseVersion, EndpointIndex) {
      return Outcome{AttemptResult::kOk, Duration::ms(200)};
    };
    router.run(Duration::s(20), 60);
    std::vector<std::size_t> by_tenant(quotas.size());
    for (const RequestId request : router.actions.rejected) ++by_tenant[request % by_tenant.size()];
    return by_tenant;
  };
  const auto uneven = rejected({400, 2});
  const auto swapped = rejected({2, 400});
  const auto without_quota = rejected({400, 400, 0});
  EXPECT_GT(uneven[1], 2 * uneven[0] + 50);
  EXPECT_GT(swapped[0], 2 * swapped[1] + 50);
  EXPECT_GT(without_quota[2], without_quota[0] + without_quota[1] + 50);
}

}  // namespace
}  // namespace ashbeam
