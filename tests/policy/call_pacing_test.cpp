// Tests of the delay between failed calls for the endpoint list.
#include <algorithm>
#include <array>

#include "policy_fixture.hpp"

namespace ashbeam {
namespace {

// The first retry follows after 0.3 s on average, the next two after 3 s, later ones after 6 s. Discovery
// also processes calls that have timed out, so frequent retries of many routers would keep it overloaded. The
// validity of the list limits attempts in the meantime.
TEST(CallPacing, BacksOffFailedCallsUntilEndpointListArrives) {
  RouterSettings settings = default_settings();
  settings.endpoint_poll_interval = Duration::s(20);
  settings.must_watch_endpoints = true;
  SimulatedRouter router(settings);
  for (unsigned i = 0; i < 40; ++i) {
    // Discovery that is asked for its list may have many callers when it is available again.
    router.policy->on_endpoint_watch_failed(i % 2 == 0 ? EndpointWatchFailure::kOther
                                                       : EndpointWatchFailure::kUnavailable);
    router.policy->on_wakeup(2);
    EXPECT_EQ(router.actions.watch_count, i + 2U);
    const Duration mean = i < 1 ? Duration::ms(300) : i < 3 ? Duration::s(3) : Duration::s(6);
    EXPECT_GE(router.actions.wakeups[2], mean * 0.5);
    EXPECT_LE(router.actions.wakeups[2], mean * 1.5);
    // A release state is no endpoint list and must not reset the backoff.
    router.set_release(1, 2, ReleasePhase::kReleased, 1);
  }
  router.set_endpoints(8, 0);
  router.policy->on_endpoint_watch_failed(EndpointWatchFailure::kOther);
  EXPECT_LT(router.actions.wakeups[2], Duration::s(1));
}

TEST(CallPacing, RepeatsCallsSoonWhereTheListIsPushedAndDiscoveryIsUnavailable) {
  RouterSettings settings = default_settings();
  settings.must_watch_endpoints = false;
  SimulatedRouter router(settings);
  for (unsigned i = 0; i < 40; ++i) {
    router.policy->on_endpoint_watch_failed(i % 2 == 0 ? EndpointWatchFailure::kUnavailable
                                                       : EndpointWatchFailure::kLocal);
    EXPECT_LE(router.actions.wakeups[2], Duration::ms(300));
  }
  // Discovery that keeps its callers waiting is overloaded.
  for (unsigned i = 0; i < 3; ++i) router.policy->on_endpoint_watch_failed(EndpointWatchFailure::kOther);
  EXPECT_GE(router.actions.wakeups[2], Duration::ms(1500));
}

}  // namespace
}  // namespace ashbeam
