// The quota state of each subject, in a set-associative table of fixed size. The table has 1.25 x `subjects`
// slots in sets of eight and uses 34 bytes for each slot. When a set is full, a subject without requests in
// flight is evicted from it. The latest due times of evicted subjects then apply to each subject that is
// inserted into the set later, so that no subject gains a request by being evicted. If all subjects of a set
// have requests in flight, no other subject can be inserted.
#pragma once
#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/time.hpp"
#include "base/wide_pages.hpp"
#include "calling/quota.hpp"

namespace ashbeam::calling {

class SubjectTable {
 public:
  static constexpr std::uint32_t kNone = UINT32_MAX;
  // `subjects` is the number of subjects that the table is sized for.
  explicit SubjectTable(std::size_t subjects);

  // Returns the slot of the subject with this hash, or kNone if it is not in the table.
  std::uint32_t find(std::uint64_t hash) const;
  // Returns the slot of the subject, after inserting the subject if necessary. Returns kNone if all subjects
  // of its set have requests in flight.
  std::uint32_t find_or_insert(std::uint64_t hash, Instant now);
  Bucket& bucket(std::uint32_t slot) { return sets_[slot / kWays].buckets[slot % kWays]; }
  // The number of requests that the subject of this slot has in flight. The caller updates it.
  std::uint32_t& in_flight(std::uint32_t slot) { return sets_[slot / kWays].in_flight[slot % kWays]; }
  // Prefetches the cache lines of the subject's set, for a call of find_or_insert() that follows soon.
  void prefetch(std::uint64_t hash) const {
    const auto* const set = reinterpret_cast<const char*>(&sets_[set_of(hash)]);
    for (std::size_t offset = 0; offset < sizeof(Set); offset += kCacheLineBytes)
      __builtin_prefetch(set + offset);
  }
  std::uint64_t eviction_count() const { return eviction_count_; }
  std::size_t size_bytes() const { return sets_.size() * (sizeof(Set) + sizeof(Floor)); }

 private:
  static constexpr std::uint32_t kWays = 8;  // slots of a set
  static constexpr std::uint32_t kFreeTag = 0;
  static constexpr std::size_t kCacheLineBytes = 64;
  struct alignas(kCacheLineBytes) Set {
    std::uint32_t tags[kWays] = {};
    std::uint32_t in_flight[kWays] = {};
    Bucket buckets[kWays];
  };
  // The latest due times of the subjects that have been evicted from a set.
  struct Floor {
    std::int64_t sustained_due_ns = Bucket::kUnset;
    std::int64_t peak_due_ns = Bucket::kUnset;
  };
  std::size_t set_of(std::uint64_t hash) const {
    return static_cast<std::size_t>(((hash >> 32U) * sets_.size()) >> 32U);
  }
  // Returns the low 32 bits of the hash with the lowest bit set, so that no tag equals kFreeTag.
  static std::uint32_t tag_of(std::uint64_t hash) { return static_cast<std::uint32_t>(hash) | 1U; }
  static std::uint32_t slot_at(std::size_t set, std::uint32_t way) {
    return static_cast<std::uint32_t>(set) * kWays + way;
  }
  static std::uint32_t find_way_to_evict(const Set& set);

  std::vector<Set, HugePageAllocator<Set>> sets_;
  std::vector<Floor> floors_;  // by set; written only when a subject is evicted
  std::uint64_t eviction_count_ = 0;
};

}  // namespace ashbeam::calling
