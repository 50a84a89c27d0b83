// Tests of the limiter of TLS handshakes: eviction of silent clients, and the order of those that wait for
// CPU time.
#include "calling/handshake_limiter.hpp"

#include <gtest/gtest.h>

namespace ashbeam {
namespace {

using calling::HandshakeLimiter;

const Instant kBegin = Instant::at_us(1'700'000'000'000'000);

Instant at_ms(double ms) { return kBegin + Duration::ms(ms); }

TEST(HandshakeLimiter, EvictsSilentHandshakeAndResumesNewestWaitingFirst) {
  HandshakeLimiter limiter(2, 0.1, Duration::s(10), Duration::ms(100));
  const auto first = limiter.start(kBegin);
  const auto second = limiter.start(kBegin);
  EXPECT_EQ(limiter.start(at_ms(50)).id, HandshakeLimiter::kNone);  // no client has been silent for 100 ms
  EXPECT_TRUE(limiter.may_continue(second.id, at_ms(60)));
  const auto third = limiter.start(at_ms(120));
  EXPECT_EQ(third.evicted, first.id);
  limiter.record_cpu_time(Duration::ms(60), at_ms(120));
  EXPECT_FALSE(limiter.may_continue(second.id, at_ms(121)));
  EXPECT_FALSE(limiter.may_continue(third.id, at_ms(122)));
  EXPECT_EQ(limiter.take_next_waiting(at_ms(123)), HandshakeLimiter::kNone);
  const Instant later = at_ms(124) + limiter.wait_time(at_ms(124));
  // Handshakes that wait for CPU time are not evicted.
  EXPECT_EQ(limiter.start(later).id, HandshakeLimiter::kNone);
  EXPECT_EQ(limiter.take_next_waiting(later), third.id);
  EXPECT_EQ(limiter.take_next_waiting(later), second.id);
  limiter.finish(second.id);
  limiter.finish(third.id);
  EXPECT_EQ(limiter.in_progress_count(), 0U);
}

// Guards against a flood that lets no handshake complete in time, because each step costs more than the limit
// allows within the timeout.
TEST(HandshakeLimiter, LetsAHandshakeCompleteInTimeHoweverMuchAStepCosts) {
  constexpr Duration kTimeout = Duration::ms(400), kStepCost = Duration::ms(30);
  HandshakeLimiter limiter(2, 0.02, kTimeout, Duration::ms(100));
  const auto first = limiter.start(kBegin);
  const auto second = limiter.start(kBegin);
  Instant now = kBegin;
  for (const auto id : {first.id, second.id, second.id}) {
    if (!limiter.may_continue(id, now)) {
      now = now + limiter.wait_time(now);
      EXPECT_EQ(limiter.take_next_waiting(now), id);
    }
    now = now + kStepCost;
    limiter.record_cpu_time(kStepCost, now);
  }
  EXPECT_LE(now - kBegin, kTimeout);
  EXPECT_GE(limiter.wait_time(now), Duration::ms(90));  // the steps are limited all the same
}

}  // namespace
}  // namespace ashbeam
