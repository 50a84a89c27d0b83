// How often the endpoint list is asked for.
#include <algorithm>
#include <array>

#include "policy_fixture.hpp"

namespace ashbeam {
namespace {

// Soon once, then spread over some seconds, and over more where it stays so: discovery works off calls that
// timed out as well. The list is not sent to past its validity meanwhile.
TEST(CallPacing, FailedCallsAreRepeatedWithBackoffUntilAListComes) {
  RouterSettings settings = default_settings();
  settings.endpoint_poll_interval = Duration::s(20);
  settings.must_watch_endpoints = true;
  SimulatedRouter router(settings);
  for (unsigned i = 0; i < 40; ++i) {
    router.policy->on_endpoint_watch_failed();
    router.policy->on_wakeup(2);
    EXPECT_EQ(router.actions.watches, i + 2U);
    const Duration mean = i < 1 ? Duration::ms(300) : i < 3 ? Duration::s(3) : Duration::s(6);
    EXPECT_GE(router.actions.wakeups[2], mean * 0.5);
    EXPECT_LE(router.actions.wakeups[2], mean * 1.5);
    router.set_release(1, 2, ReleasePhase::kReleased,
                       1);  // a release state comes all the while, and is no list
  }
  router.set_endpoints(8, 0);
  router.policy->on_endpoint_watch_failed();
  EXPECT_LT(router.actions.wakeups[2], Duration::s(1));
}

}  // namespace
}  // namespace ashbeam
