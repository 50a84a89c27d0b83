// Each deployment, path request_class and customer is decided by its own settings alone: names and neighbours
// change nothing.
#include <gtest/gtest.h>

#include "policy_fixture.hpp"

namespace ashbeam {
namespace {

using Sent = std::vector<std::pair<RequestId, EndpointIndex>>;

Sent played(const RouterSettings& settings, const std::vector<unsigned>& request_classes) {
  SimulatedRouter router(settings, 6, 2);
  router.set_release(2, 0, ReleasePhase::kCanary, settings.exposure_caps[0]);
  router.serve = [](ReleaseVersion, EndpointIndex endpoint) {
    return Outcome{endpoint % 5 == 4 ? AttemptResult::kError : AttemptResult::kOk, Span::ms(60)};
  };
  router.run(Span::s(8), 60, request_classes);
  Sent all;
  for (const SentAttempt& attempt : router.actions.attempts)
    all.emplace_back(attempt.request, attempt.endpoint);
  return all;
}

TEST(Settings, TwoDeploymentsInTurnAreDecidedAsEachAlone) {
  const RouterSettings one = default_settings();
  RouterSettings
      other;  // fewer path request_classes in another order, one zone, other limits, more kinds, more stages
  other = default_settings();
  other.request_classes = {other.request_classes[2], other.request_classes[0]};
  other.request_classes[0].client_timeout = Span::s(6),
  other.request_classes[1].client_timeout = Span::ms(900);
  other.zone_count = 1, other.machine_type_count = 3, other.max_attempts = 2, other.may_hedge = false,
  other.sticky_keys = true;
  other.exposure_caps = {0.2, 0.3, 0.5, 0.8, 1}, other.tenant_quota_per_s = {5, 50, 1};
  const Sent alone = played(one, {0, 1, 2}), others = played(other, {0, 1});
  EXPECT_NE(alone, others);
  EXPECT_EQ(played(one, {0, 1, 2}), alone);
  EXPECT_EQ(played(other, {0, 1}), others);
}

// Of requests that may be late those over their customer's share are given up first, whoever that is.
TEST(Settings, CustomersSideBySideAreHeldToTheirOwnShares) {
  const auto bounced = [](const std::vector<double>& shares) {
    RouterSettings settings = default_settings();
    settings.tenant_quota_per_s = shares;
    settings.over_quota_weight = 0.05;
    SimulatedRouter router(settings, 4);
    router.tenant_count = static_cast<unsigned>(shares.size());
    router.serve = [](ReleaseVersion, EndpointIndex) { return Outcome{AttemptResult::kOk, Span::ms(200)}; };
    router.run(Span::s(20), 60);
    std::vector<std::size_t> by(shares.size());
    for (const RequestId request : router.actions.rejected) ++by[request % by.size()];
    return by;
  };
  const auto by = bounced({400, 2}), swapped = bounced({2, 400}), stranger = bounced({400, 400, 0});
  EXPECT_GT(by[1], 2 * by[0] + 50);
  EXPECT_GT(swapped[0], 2 * swapped[1] + 50);
  EXPECT_GT(stranger[2], stranger[0] + stranger[1] + 50);
}

}  // namespace
}  // namespace ashbeam
