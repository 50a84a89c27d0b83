// What fails on this machine is told apart from what failed elsewhere, up to the decisions; and wall clocks
// may step.
#include <cerrno>

#include "policy/endpoint_start.hpp"
#include "router_world.hpp"
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
    SimulatedRouter router(default_settings());
    for (int request = 0; request < 60; ++request) {
      const std::size_t before = router.actions.attempts.size();
      router.request(request_class);
      ASSERT_EQ(router.actions.attempts.size(), before + 1);
      router.end_attempt(router.actions.attempts.back(), AttemptResult::kLocalFailure, Span());
      for (int tick = 0; tick < 5; ++tick) {
        router.now = router.now + Span::ms(20);
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

TEST(Failures, OneThatLastsIsAnsweredInTimeAfterAFewAttempts) {
  SimulatedRouter router(default_settings());
  router.serve = [](ReleaseVersion, EndpointIndex) { return Outcome{AttemptResult::kLocalFailure, Span()}; };
  router.run(Span::s(10), 20);
  router.serve = [](ReleaseVersion, EndpointIndex) { return Outcome{}; };
  router.run(Span::s(2), 20);
  EXPECT_GE(router.actions.rejected.size(), 190U);
  EXPECT_TRUE(router.actions.failed.empty());
  EXPECT_LE(router.actions.attempts.size(), 200U * default_settings().max_attempts + 50U);
  EXPECT_FALSE(router.actions.logged(" ejected for "));
}

constexpr Instant kNow = Instant::at_us(0) + Span::s(1e6);
double wall_ms(Instant at) { return static_cast<double>(at.us()) / 1e3; }

TEST(EndpointStart, IsOnOurClockHoweverTheWallClockSteps) {
  for (const double step_s : {0.0, 3600.0, -3600.0}) {
    const Span ahead = Span::s(step_s);
    // Started 2 s ago by a clock that stepped with ours.
    EXPECT_EQ(policy::endpoint_start(wall_ms(kNow + ahead - Span::s(2)), kNow, ahead, kNow - Span::s(1)),
              kNow - Span::s(2));
  }
}

TEST(EndpointStart, AnAgeThatDoesNotFitIsTakenForAStartJustNow) {
  const Instant confirmed = kNow - Span::s(2);
  for (const double off_s : {3600.0, -3600.0, 60.0})
    EXPECT_EQ(policy::endpoint_start(wall_ms(kNow - Span::s(off_s)), kNow, Span(), confirmed), kNow) << off_s;
  // With no list confirmed before, an old server is believed, one of the future is not.
  EXPECT_EQ(policy::endpoint_start(wall_ms(kNow - Span::s(3600)), kNow, Span(), Instant()),
            kNow - Span::s(3600));
  EXPECT_EQ(policy::endpoint_start(wall_ms(kNow + Span::s(60)), kNow, Span(), Instant()), kNow);
  EXPECT_EQ(policy::endpoint_start(0, kNow, Span(), confirmed), Instant());
}

class RestTest : public RouterTest {
 protected:
  // So many requests at a time, each on a connection of its own; returns how many new connections came.
  int ask_at_once(int count, const std::string& after = "") {
    std::vector<Stream> clients;
    for (int i = 0; i < count; ++i) {
      clients.push_back(client());
      clients.back().say(get());
    }
    int opened = 0;
    for (int answered = 0; answered < count;) {
      pollfd door{hosts_[0].fd, POLLIN, 0};
      if (::poll(&door, 1, 5) == 1) links_.push_back(hosts_[0].take()), ++opened;
      for (Stream& link : links_) {
        if (link.message(1).empty()) continue;
        link.say(kOk + after);
        ++answered;
      }
    }
    for (Stream& one : clients) one.message();
    return opened;
  }
  std::vector<Stream> links_;
};

TEST_F(RestTest, WhereManyConnectionsToAServerRestTheRestIsShortUntilItSendsSomethingUnasked) {
  terms_.may_cancel = false;
  limits_.endpoint_settle_time = Span::s(2);
  limits_.busy_endpoint_settle_time = Span();
  limits_.max_settling_connections = 4;
  begin(list(entry(0), 41, true));
  EXPECT_EQ(ask_at_once(2), 2);
  usleep(20000);
  EXPECT_EQ(ask_at_once(3), 3);  // two rest, which is few: none is used yet
  usleep(20000);
  EXPECT_LT(ask_at_once(5), 5);  // five rest: those above four are used
  EXPECT_GT(ask_at_once(1, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"), -1);
  usleep(20000);
  EXPECT_EQ(ask_at_once(2), 2);
}

}  // namespace
}  // namespace ashbeam
