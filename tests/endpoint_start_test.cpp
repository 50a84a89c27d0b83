// Tests of the start time of endpoints when wall clocks are stepped or wrong.
#include "policy/endpoint_start.hpp"

#include <gtest/gtest.h>

namespace ashbeam {
namespace {

constexpr Instant kNow = Instant::at_us(0) + Duration::s(1e6);
double wall_ms(Instant at) { return static_cast<double>(at.us()) / 1e3; }

TEST(EndpointStart, UsesSteadyClockWhenWallClockIsStepped) {
  for (const double step_s : {0.0, 3600.0, -3600.0}) {
    const Duration ahead = Duration::s(step_s);
    // Started 2 s ago, by a wall clock that was stepped as this machine's was.
    EXPECT_EQ(policy::compute_endpoint_start(wall_ms(kNow + ahead - Duration::s(2)), kNow, ahead,
                                             kNow - Duration::s(1)),
              kNow - Duration::s(2));
  }
}

TEST(EndpointStart, ReplacesImplausibleAgeByZero) {
  const Instant confirmed = kNow - Duration::s(2);
  for (const double off_s : {3600.0, -3600.0, 60.0})
    EXPECT_EQ(policy::compute_endpoint_start(wall_ms(kNow - Duration::s(off_s)), kNow, Duration(), confirmed),
              kNow)
        << off_s;
  // If no list was confirmed before, any age is accepted, but not a start in the future.
  EXPECT_EQ(policy::compute_endpoint_start(wall_ms(kNow - Duration::s(3600)), kNow, Duration(), Instant()),
            kNow - Duration::s(3600));
  EXPECT_EQ(policy::compute_endpoint_start(wall_ms(kNow + Duration::s(60)), kNow, Duration(), Instant()),
            kNow);
  EXPECT_EQ(policy::compute_endpoint_start(0, kNow, Duration(), confirmed), Instant());
}

}  // namespace
}  // namespace ashbeam
