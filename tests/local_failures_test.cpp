// Failures of this machine (no descriptor, no port) are distinguished from failures of the peer, from the
// socket error to the decisions of the routing policy.
#include <gtest/gtest.h>

#include <cerrno>

#include "policy_fixture.hpp"
#include "transport/failure.hpp"

namespace ashbeam {
namespace {

TEST(Failures, ClassifiesImmediateErrorsAsLocalUnlessThePeerRefuses) {
  for (const int error : {ENFILE, EMFILE, ENOBUFS, ENOMEM, EADDRNOTAVAIL, ENETUNREACH, EAGAIN})
    EXPECT_EQ(classify_immediate_error(error), ConnectionFailure::kLocal) << error;
  EXPECT_EQ(classify_immediate_error(ECONNREFUSED), ConnectionFailure::kRefused);
  EXPECT_EQ(classify_pending_error(ECONNREFUSED), ConnectionFailure::kRefused);
  // A reset after the peer's machine had accepted the connection shows that a process listens there.
  EXPECT_EQ(classify_pending_error(ECONNRESET), ConnectionFailure::kBroken);
  for (const int error : {ETIMEDOUT, EHOSTUNREACH, ENETUNREACH})
    EXPECT_EQ(classify_pending_error(error), ConnectionFailure::kUnreachable) << error;
}

// This holds for an unsafe request as well, because it cannot have run.
TEST(Failures, RetriesLocallyFailedAttemptWithoutCountingItAgainstTheEndpoint) {
  for (const unsigned request_class : {0U, 2U}) {
    SimulatedRouter router(default_settings());
    for (int request = 0; request < 60; ++request) {
      const std::size_t before = router.actions.attempts.size();
      router.request(request_class);
      ASSERT_EQ(router.actions.attempts.size(), before + 1);
      router.end_attempt(router.actions.attempts.back(), AttemptResult::kLocalFailure, Duration());
      for (int tick = 0; tick < 5; ++tick) {
        router.now = router.now + Duration::ms(20);
        router.policy->set_time(router.now);
        router.policy->on_wakeup(1);
      }
      ASSERT_EQ(router.actions.attempts.size(), before + 2) << "request " << request;
      router.end_attempt(router.actions.attempts.back(), AttemptResult::kOk);
    }
    EXPECT_TRUE(router.actions.rejected.empty() && router.actions.failed.empty());
    EXPECT_FALSE(router.actions.logged(" ejected for "));
  }
}

TEST(Failures, RejectsRequestsInTimeIfTheLocalFailureLasts) {
  SimulatedRouter router(default_settings());
  router.serve = [](ReleaseVersion, EndpointIndex) {
    return Outcome{AttemptResult::kLocalFailure, Duration()};
  };
  router.run(Duration::s(10), 20);
  router.serve = [](ReleaseVersion, EndpointIndex) { return Outcome{}; };
  router.run(Duration::s(2), 20);
  EXPECT_GE(router.actions.rejected.size(), 190U);
  EXPECT_TRUE(router.actions.failed.empty());
  EXPECT_LE(router.actions.attempts.size(), 200U * default_settings().max_attempts + 50U);
  EXPECT_FALSE(router.actions.logged(" ejected for "));
}

}  // namespace
}  // namespace ashbeam
