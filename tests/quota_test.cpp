// Rates against slow plain models, on generated arrivals.
#include "calling/quota.hpp"

#include <gtest/gtest.h>

#include <cmath>
#include <deque>
#include <map>

#include "base/pcg.hpp"

namespace ashbeam {
namespace {

using namespace calling;

const Instant kBegin = Instant::at_us(1'700'000'000'000'000);

// Two buckets of tokens, in seconds and whole arithmetic on doubles; and no more.
struct PlainRate {
  double per_s, burst, bank_s, lend;
  double sustained = 0, peak = 0, at = 0;
  PlainRate(double r, double b, double bank, double l) : per_s(r), burst(b), bank_s(bank), lend(l) {
    sustained = peak = burst;
  }
  bool take(double now) {
    sustained = std::min(burst + per_s * bank_s, sustained + (now - at) * per_s);
    peak = std::min(burst, peak + (now - at) * per_s * lend);
    at = now;
    if (sustained < 1 - 1e-6 || peak < 1 - 1e-6) return false;
    sustained -= 1;
    peak -= 1;
    return true;
  }
};

TEST(Rates, AgreeWithTwoPlainBucketsOfTokens) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    Pcg chance(seed);
    const double per_s = 0.5 + chance.below(50), burst = 1 + chance.below(9), bank = chance.below(20),
                 lend = 1 + chance.below(5);
    const Rate rate = Rate::per_router({per_s, burst, 0}, 1, lend, Span::s(bank));
    PlainRate plain(per_s, burst, bank, lend);
    Bucket bucket;
    std::int64_t now = nanoseconds_of(kBegin);
    const std::int64_t begin = now;
    bucket.start(now, Bucket::kNever, Bucket::kNever);
    std::uint64_t taken = 0, close = 0;
    for (int i = 0; i < 3000; ++i) {
      const double gap = chance.below(20) == 0 ? bank : 1.5 / per_s / lend;
      now += static_cast<std::int64_t>(chance.unit() * gap * 2e9);
      const double s = static_cast<double>(now - begin) / 1e9;
      const bool fits = bucket.wait_ns(rate, now) == 0;
      PlainRate tried = plain;
      if (tried.take(s) != fits) {  // only ever at the very edge: then both go the plain model's way
        PlainRate edge = plain;
        ASSERT_TRUE(edge.take(s + 1e-5) != plain.take(s - 1e-5) ||
                    std::abs(bucket.wait_ns(rate, now)) < 20000)
            << seed;
        ++close;
        break;
      }
      if (!fits) continue;
      bucket.take(rate, now);
      plain = tried;
      ++taken;
    }
    EXPECT_GT(taken, 20U);
    EXPECT_LE(close, 1U);
  }
}

TEST(Rates, NeverMoreThanTheStatedBoundInAnySpan) {
  Pcg chance(5);
  const double per_s = 20, burst = 5, bank = 3;
  const Rate rate = Rate::per_router({per_s, burst, 0}, 1, 4, Span::s(bank));
  Bucket bucket;
  std::int64_t now = nanoseconds_of(kBegin);
  bucket.start(now, Bucket::kNever, Bucket::kNever);
  std::deque<double> taken;
  for (int i = 0; i < 40000; ++i) {
    now += static_cast<std::int64_t>(chance.below(500) == 0 ? chance.unit() * 5e9 : chance.unit() * 2e7);
    if (bucket.wait_ns(rate, now) > 0) continue;
    bucket.take(rate, now);
    taken.push_back(static_cast<double>(now) / 1e9);
  }
  for (std::size_t i = 0; i < taken.size(); i += 7) {
    for (std::size_t j = i + 1; j < std::min(taken.size(), i + 200); j += 13) {
      const double span = taken[j] - taken[i], count = static_cast<double>(j - i + 1);
      ASSERT_LE(count, per_s * (span + bank) + burst + 1e-3);
      ASSERT_LE(count, 4 * per_s * span + burst + 1e-3);
    }
  }
}

TEST(Rates, WhoWaitsForRetryAfterIsTakenWhereNobodyElseCame) {
  Pcg chance(9);
  const Rate rate = Rate::per_router({10, 3, 0}, 1, 4, Span::s(5));
  Bucket bucket;
  std::int64_t now = nanoseconds_of(kBegin);
  bucket.start(now, Bucket::kNever, Bucket::kNever);
  std::multimap<std::int64_t, int> back;
  unsigned rejected = 0, taken = 0;
  for (int i = 0; i < 200; ++i) {  // a wave of 200
    if (bucket.wait_ns(rate, now) == 0) bucket.take(rate, now);
    else back.emplace(now + bucket.promise_ns(rate, now), i), ++rejected;
  }
  for (const auto& [when, who] : back) {
    if (bucket.wait_ns(rate, when) > 0) continue;
    bucket.take(rate, when);
    ++taken;
  }
  // 50 promises reach the bank's end; the others share what was given out already.
  EXPECT_EQ(rejected, 197U);
  EXPECT_GE(taken, 50U);
  back.clear();
  now += 60'000'000'000;
  for (int i = 0; i < 40; ++i) {
    if (bucket.wait_ns(rate, now) == 0) bucket.take(rate, now);
    else back.emplace(now + bucket.promise_ns(rate, now), i);
  }
  for (const auto& [when, who] : back) {
    ASSERT_EQ(bucket.wait_ns(rate, when), 0);  // fewer than the bank holds: each one
    bucket.take(rate, when);
  }
}

TEST(Rates, ARoutersPartOfALimit) {
  const Rate tenth = Rate::per_router({100, 50, 20}, 10, 4, Span::s(10));
  EXPECT_EQ(tenth.interval_ns, 100'000'000);
  EXPECT_EQ(tenth.peak_interval_ns, 25'000'000);
  EXPECT_EQ(tenth.tolerance_ns, 400'000'000);
  EXPECT_EQ(tenth.max_in_flight, 2U);
  const Rate smallest = Rate::per_router({1, 1, 1}, 1000, 4, Span::s(10));  // at least one whole request
  EXPECT_EQ(smallest.tolerance_ns, 0);
  EXPECT_EQ(smallest.max_in_flight, 1U);
  EXPECT_EQ(Rate::per_router({}, 10, 4, Span::s(10)).interval_ns, 0);
}

}  // namespace
}  // namespace ashbeam
