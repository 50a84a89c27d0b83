// When an endpoint started, whatever wall clocks do.
#include "policy/endpoint_start.hpp"

#include <gtest/gtest.h>

namespace ashbeam {
namespace {

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
  // With no list confirmed before, an old process is believed, one of the future is not.
  EXPECT_EQ(policy::endpoint_start(wall_ms(kNow - Span::s(3600)), kNow, Span(), Instant()),
            kNow - Span::s(3600));
  EXPECT_EQ(policy::endpoint_start(wall_ms(kNow + Span::s(60)), kNow, Span(), Instant()), kNow);
  EXPECT_EQ(policy::endpoint_start(0, kNow, Span(), confirmed), Instant());
}

}  // namespace
}  // namespace ashbeam
