// What fails on this machine is told apart from what failed elsewhere, up to the decisions.
#include <gtest/gtest.h>

#include <cerrno>

#include "helpers.hpp"
#include "transport/failure.hpp"

namespace ashbeam {
namespace {

TEST(Failures, AnErrorAtOnceIsOfThisMachineUnlessTheOtherRefuses) {
  for (const int error : {ENFILE, EMFILE, ENOBUFS, ENOMEM, EADDRNOTAVAIL, ENETUNREACH, EAGAIN})
    EXPECT_EQ(failure_at_once(error), Failure::kLocal) << error;
  EXPECT_EQ(failure_at_once(ECONNREFUSED), Failure::kRefused);
  EXPECT_EQ(failure_of_pending(ECONNREFUSED), Failure::kRefused);
  for (const int error : {ETIMEDOUT, EHOSTUNREACH, ENETUNREACH})
    EXPECT_EQ(failure_of_pending(error), Failure::kUnreachable) << error;
}

// An unsafe request as well: it provably never ran.
TEST(Failures, AnAttemptThatNeverLeftThisMachineIsMadeAgainAndCountsAgainstNobody) {
  for (const unsigned request_class : {0U, 2U}) {
    World w(default_settings());
    for (int request = 0; request < 60; ++request) {
      const std::size_t before = w.sink.sent.size();
      w.take(request_class);
      ASSERT_EQ(w.sink.sent.size(), before + 1);
      w.end(w.sink.sent.back(), AttemptResult::kLocalFailure, Span());
      for (int tick = 0; tick < 5; ++tick) {
        w.now = w.now + Span::ms(20);
        w.router->set_time(w.now);
        w.router->on_wakeup(1);
      }
      ASSERT_EQ(w.sink.sent.size(), before + 2) << "request " << request;
      w.end(w.sink.sent.back(), AttemptResult::kOk);
    }
    EXPECT_TRUE(w.sink.bounced.empty() && w.sink.errored.empty());
    EXPECT_FALSE(w.sink.logged(" out for "));
  }
}

TEST(Failures, OneThatLastsIsAnsweredInTimeAfterAFewAttempts) {
  World w(default_settings());
  w.serve = [](ReleaseVersion, EndpointIndex) {
    return World::Outcome{AttemptResult::kLocalFailure, Span()};
  };
  w.run(Span::s(10), 20);
  w.serve = [](ReleaseVersion, EndpointIndex) { return World::Outcome{}; };
  w.run(Span::s(2), 20);
  EXPECT_GE(w.sink.bounced.size(), 190U);
  EXPECT_TRUE(w.sink.errored.empty());
  EXPECT_LE(w.sink.sent.size(), 200U * default_settings().max_attempts + 50U);
  EXPECT_FALSE(w.sink.logged(" out for "));
}

}  // namespace
}  // namespace ashbeam
