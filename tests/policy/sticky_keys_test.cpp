// Tests that sticky keys stay with the version that answered them.
#include "policy/sticky_keys.hpp"

#include <algorithm>
#include <array>

#include "policy_fixture.hpp"

namespace ashbeam {
namespace {

TEST(StickyKeys, KeyAnsweredByCanaryStaysOnCanary) {
  RouterSettings settings = default_settings();
  settings.sticky_keys = true;
  SimulatedRouter router(settings, 4, 4);
  router.set_release(2, 1, ReleasePhase::kCanary, 0.9);
  std::map<std::uint64_t, bool> bound;
  for (int i = 0; i < 4000; ++i) {
    const std::uint64_t key = 1 + static_cast<std::uint64_t>(i % 100) * 7919;
    const std::size_t before = router.actions.attempts.size();
    router.request(0, key);
    router.now = router.now + Duration::ms(5);
    for (std::size_t sent = before; sent < router.actions.attempts.size(); ++sent) {
      const bool is_canary = router.versions[router.actions.attempts[sent].endpoint] == 2;
      EXPECT_TRUE(is_canary || !bound[key] ||
                  router.actions.attempts[sent].request != router.next_request - 1);
      if (is_canary) bound[key] = true;
      router.end_attempt(router.actions.attempts[sent], AttemptResult::kOk);
    }
    router.tick();
  }
  EXPECT_GT(std::count_if(bound.begin(), bound.end(), [](const auto& entry) { return entry.second; }), 10);
}

// The platform may repeat the state of a version that was rolled back after endpoints of the next version
// have answered. That must not release the keys of the next version.
TEST(StickyKeys, KeyOfNextVersionStaysBoundWhenPreviousVersionIsRolledBack) {
  RouterSettings settings = default_settings();
  settings.sticky_keys = true;
  SimulatedRouter router(settings, 0, 4);
  for (EndpointIndex endpoint = 0; endpoint < 4; ++endpoint)
    router.policy->update_endpoint({endpoint, EndpointState::kReady, 3, 0, endpoint, 0, Instant()});
  router.policy->end_endpoint_update();
  router.set_release(2, 0, ReleasePhase::kWithdrawn, 0);
  router.request(0, 77);
  ASSERT_EQ(router.actions.attempts.size(), 1u);
  router.end_attempt(router.actions.attempts[0], AttemptResult::kOk);
  router.set_release(2, 0, ReleasePhase::kWithdrawn, 0);
  router.set_endpoints(4, 0);
  router.request(0, 77);
  EXPECT_EQ(router.actions.attempts.size(), 1u);
  router.request(0, 78);
  EXPECT_EQ(router.actions.attempts.size(), 2u);
}

// Guards against ever new keys, whose table grew without end once the newest version was released.
TEST(StickyKeys, KeysBeyondTheLimitAreNotStoredAndDoNotGoToOlderVersions) {
  policy::ReleaseTracker release;
  release.apply({2, 0, ReleasePhase::kReleased, 1.0, Duration()}, Instant());
  policy::StickyKeys keys(true, 3);
  policy::Request request;
  for (std::uint64_t key = 1; key <= 3; ++key) {
    request.sticky_key = key;
    keys.bind(request, 2);
  }
  request.sticky_key = 4;
  EXPECT_TRUE(keys.allows(request, 1, release));
  keys.bind(request, 2);
  EXPECT_FALSE(keys.allows(request, 1, release));
  EXPECT_TRUE(keys.allows(request, 2, release));
  EXPECT_FALSE(keys.allows(request, 3, release));
  release.apply({2, 0, ReleasePhase::kWithdrawn, 0, Duration()}, Instant());
  EXPECT_TRUE(keys.allows(request, 1, release));
}

}  // namespace
}  // namespace ashbeam
