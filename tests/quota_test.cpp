// Tests of the rate limiter: comparisons with a reference model and with the documented bounds on generated
// arrivals, retry slots, and the share of a router.
#include "calling/quota.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <set>

#include "base/pcg.hpp"

namespace ashbeam {
namespace {

using namespace calling;

const Instant kBegin = Instant::at_us(1'700'000'000'000'000);

// Reference model: two token buckets, in seconds.
struct ReferenceBuckets {
  double per_s;
  double burst;
  double credit_window_s;
  double peak_factor;
  double sustained = burst;
  double peak = burst;
  double last_s = 0;

  bool take(double now_s) {
    sustained = std::min(burst + per_s * credit_window_s, sustained + (now_s - last_s) * per_s);
    peak = std::min(burst, peak + (now_s - last_s) * per_s * peak_factor);
    last_s = now_s;
    if (sustained < 1 - 1e-6 || peak < 1 - 1e-6) return false;
    sustained -= 1;
    peak -= 1;
    return true;
  }
};

TEST(Quota, AgreesWithTwoTokenBucketsOnGeneratedArrivals) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    Pcg random(seed);
    const double per_s = 0.5 + random.next_below(50);
    const double burst = 1 + random.next_below(9);
    const double credit_window_s = random.next_below(20);
    const double peak_factor = 1 + random.next_below(5);
    const RouterLimit limit =
        RouterLimit::share_of({per_s, burst, 0}, 1, peak_factor, Duration::s(credit_window_s));
    ReferenceBuckets reference{per_s, burst, credit_window_s, peak_factor};
    Bucket bucket;
    const std::int64_t begin_ns = nanoseconds_of(kBegin);
    std::int64_t now_ns = begin_ns;
    bucket.reset(now_ns, Bucket::kUnset, Bucket::kUnset);
    std::uint64_t taken = 0;
    std::uint64_t boundary_mismatches = 0;
    for (int i = 0; i < 3000; ++i) {
      const double gap_s = random.next_below(20) == 0 ? credit_window_s : 1.5 / per_s / peak_factor;
      now_ns += static_cast<std::int64_t>(random.next_double() * gap_s * 2e9);
      const double elapsed_s = static_cast<double>(now_ns - begin_ns) / 1e9;
      const bool fits = bucket.wait_ns(limit, now_ns) == 0;
      ReferenceBuckets tried = reference;
      if (tried.take(elapsed_s) != fits) {  // accepted only within rounding of the limit
        ReferenceBuckets late = reference;
        ASSERT_TRUE(late.take(elapsed_s + 1e-5) != reference.take(elapsed_s - 1e-5) ||
                    std::abs(bucket.wait_ns(limit, now_ns)) < 20000)
            << seed;
        ++boundary_mismatches;
        break;
      }
      if (!fits) continue;
      bucket.consume(limit, now_ns);
      reference = tried;
      ++taken;
    }
    EXPECT_GT(taken, 20U);
    EXPECT_LE(boundary_mismatches, 1U);
  }
}

TEST(Quota, NeverAdmitsMoreThanDocumentedBoundInAnyPeriod) {
  Pcg random(5);
  const double per_s = 20;
  const double burst = 5;
  const double credit_window_s = 3;
  const RouterLimit limit = RouterLimit::share_of({per_s, burst, 0}, 1, 4, Duration::s(credit_window_s));
  Bucket bucket;
  std::int64_t now_ns = nanoseconds_of(kBegin);
  bucket.reset(now_ns, Bucket::kUnset, Bucket::kUnset);
  std::deque<double> admitted_at_s;
  for (int i = 0; i < 40000; ++i) {
    now_ns += static_cast<std::int64_t>(random.next_below(500) == 0 ? random.next_double() * 5e9
                                                                    : random.next_double() * 2e7);
    if (bucket.wait_ns(limit, now_ns) > 0) continue;
    bucket.consume(limit, now_ns);
    admitted_at_s.push_back(static_cast<double>(now_ns) / 1e9);
  }
  for (std::size_t i = 0; i < admitted_at_s.size(); i += 7) {
    for (std::size_t j = i + 1; j < std::min(admitted_at_s.size(), i + 200); j += 13) {
      const double span_s = admitted_at_s[j] - admitted_at_s[i];
      const double count = static_cast<double>(j - i + 1);
      ASSERT_LE(count, per_s * (span_s + credit_window_s) + burst + 1e-3);
      ASSERT_LE(count, 4 * per_s * span_s + burst + 1e-3);
    }
  }
}

TEST(Quota, AdmitsRetryAtItsSlotIfNoOtherRequestCompetes) {
  const RouterLimit limit = RouterLimit::share_of({10, 3, 0}, 1, 4, Duration::s(5));
  Bucket bucket;
  std::int64_t now_ns = nanoseconds_of(kBegin);
  bucket.reset(now_ns, Bucket::kUnset, Bucket::kUnset);
  std::multiset<std::int64_t> retry_slots_ns;  // the assigned slots, in nanoseconds
  unsigned rejected = 0;
  unsigned taken = 0;
  const auto send = [&] {
    if (bucket.wait_ns(limit, now_ns) == 0) {
      bucket.consume(limit, now_ns);
    } else {
      retry_slots_ns.insert(now_ns + bucket.assign_retry_slot_ns(limit, now_ns));
      ++rejected;
    }
  };
  for (int i = 0; i < 200; ++i) send();
  for (const std::int64_t slot_ns : retry_slots_ns) {
    if (bucket.wait_ns(limit, slot_ns) > 0) continue;
    bucket.consume(limit, slot_ns);
    ++taken;
  }
  // The credit window has 50 slots; the other rejected requests share them.
  EXPECT_EQ(rejected, 197U);
  EXPECT_GE(taken, 50U);
  retry_slots_ns.clear();
  now_ns += 60'000'000'000;
  for (int i = 0; i < 40; ++i) send();
  for (const std::int64_t slot_ns : retry_slots_ns) {
    ASSERT_EQ(bucket.wait_ns(limit, slot_ns), 0);  // fewer requests than slots in the credit window
    bucket.consume(limit, slot_ns);
  }
}

TEST(Quota, DividesLimitByRoutersWithMinimumOfOneRequest) {
  const RouterLimit tenth = RouterLimit::share_of({100, 50, 20}, 10, 4, Duration::s(10));
  EXPECT_EQ(tenth.interval_ns, 100'000'000);
  EXPECT_EQ(tenth.peak_interval_ns, 25'000'000);
  EXPECT_EQ(tenth.tolerance_ns, 400'000'000);
  EXPECT_EQ(tenth.max_in_flight, 2U);
  const RouterLimit smallest =
      RouterLimit::share_of({1, 1, 1}, 1000, 4, Duration::s(10));  // at least one whole request
  EXPECT_EQ(smallest.tolerance_ns, 0);
  EXPECT_EQ(smallest.max_in_flight, 1U);
  EXPECT_EQ(RouterLimit::share_of({}, 10, 4, Duration::s(10)).interval_ns, 0);
}

}  // namespace
}  // namespace ashbeam
