// Tests of the subject table: a comparison with a table that never evicts, and a set that is full.
#include "calling/subject_table.hpp"

#include <gtest/gtest.h>

#include <map>
#include <vector>

#include "base/pcg.hpp"

namespace ashbeam {
namespace {

using namespace calling;

const Instant kBegin = Instant::at_us(1'700'000'000'000'000);

// Distributes small numbers over all sets.
std::uint64_t hash_of(std::uint64_t subject) { return subject * 0x9e3779b97f4a7c15ULL; }

// Compares each decision with that of a bucket of the subject's own. Eviction may only make a limit stricter.
TEST(SubjectTable, EvictionNeverAdmitsAdditionalRequest) {
  Pcg random(11);
  const RouterLimit rate = RouterLimit::share_of({0.2, 2, 0}, 1, 1, Duration());
  SubjectTable table(64);
  std::map<std::uint64_t, Bucket> reference;  // never evicted
  Instant now = kBegin;
  unsigned additionally_admitted = 0;
  unsigned additionally_rejected = 0;
  for (int i = 0; i < 40000; ++i) {
    now = now + Duration::ms(random.next_below(8));
    const std::uint64_t hash = hash_of(random.next_below(400) + 1);
    const std::int64_t now_ns = nanoseconds_of(now);
    const auto [entry, is_new] = reference.try_emplace(hash);
    Bucket& own = entry->second;
    if (is_new) own.reset(now_ns, Bucket::kUnset, Bucket::kUnset);
    const std::uint32_t slot = table.find_or_insert(hash, now);
    ASSERT_NE(slot, SubjectTable::kNone);
    Bucket& shared = table.bucket(slot);
    const bool admitted = shared.wait_ns(rate, now_ns) == 0;
    const bool expected = own.wait_ns(rate, now_ns) == 0;
    if (admitted && !expected) ++additionally_admitted;
    if (!admitted && expected) ++additionally_rejected;
    if (!admitted) continue;
    shared.consume(rate, now_ns);
    own.consume(rate, now_ns);
  }
  EXPECT_EQ(additionally_admitted, 0U);
  EXPECT_GT(additionally_rejected, 0U);  // the floors of evicted subjects do reject requests
  EXPECT_GT(table.eviction_count(), 1000U);
}

TEST(SubjectTable, DoesNotEvictSubjectsWithRequestsInFlight) {
  SubjectTable table(1);  // one set of eight
  std::vector<std::uint32_t> slots;
  for (std::uint64_t i = 1; i <= 8; ++i) {
    slots.push_back(table.find_or_insert(hash_of(i), kBegin));
    ++table.in_flight(slots.back());
  }
  EXPECT_EQ(table.find_or_insert(hash_of(99), kBegin), SubjectTable::kNone);
  --table.in_flight(slots[3]);
  EXPECT_EQ(table.find_or_insert(hash_of(99), kBegin), slots[3]);
}

}  // namespace
}  // namespace ashbeam
