// The quota state of each subject, in a table of fixed size: 34 bytes for each of 1.25 x `subjects` slots, in
// sets of eight. In a full set a subject without requests in flight is evicted; what it still owed binds
// whoever comes into the set next, so that being evicted never gains a request. A set whose subjects all have
// requests in flight has no slot to give.
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
  explicit SubjectTable(std::size_t subjects);

  std::uint32_t find(std::uint64_t hash) const;                   // a slot; kNone: it is not there
  std::uint32_t find_or_insert(std::uint64_t hash, Instant now);  // a slot; kNone: its set is in flight
  Bucket& bucket(std::uint32_t slot) { return sets_[slot / kWays].buckets[slot % kWays]; }
  std::uint32_t& in_flight(std::uint32_t slot) { return sets_[slot / kWays].in_flight[slot % kWays]; }
  // Starts to load the set's cache lines, for a decision that is about to be made.
  void prefetch(std::uint64_t hash) const {
    const auto* const set = reinterpret_cast<const char*>(&sets_[set_of(hash)]);
    for (std::size_t offset = 0; offset < sizeof(Set); offset += kCacheLineBytes)
      __builtin_prefetch(set + offset);
  }
  std::uint64_t eviction_count() const { return eviction_count_; }
  std::size_t size_bytes() const { return sets_.size() * (sizeof(Set) + sizeof(Floor)); }

 private:
  static constexpr std::uint32_t kWays = 8;
  static constexpr std::uint32_t kFreeTag = 0;
  static constexpr std::size_t kCacheLineBytes = 64;
  struct alignas(kCacheLineBytes) Set {
    std::uint32_t tags[kWays] = {};
    std::uint32_t in_flight[kWays] = {};
    Bucket buckets[kWays];
  };
  // What evicted subjects owed.
  struct Floor {
    std::int64_t sustained_due_ns = Bucket::kUnset;
    std::int64_t peak_due_ns = Bucket::kUnset;
  };
  std::size_t set_of(std::uint64_t hash) const {
    return static_cast<std::size_t>(((hash >> 32U) * sets_.size()) >> 32U);
  }
  static std::uint32_t tag_of(std::uint64_t hash) { return static_cast<std::uint32_t>(hash) | 1U; }
  static std::uint32_t slot_at(std::size_t set, std::uint32_t way) {
    return static_cast<std::uint32_t>(set) * kWays + way;
  }
  static std::uint32_t find_way_to_evict(const Set& set);

  std::vector<Set, HugePageAllocator<Set>> sets_;
  std::vector<Floor> floors_;  // by set; written once the set is full
  std::uint64_t eviction_count_ = 0;
};

}  // namespace ashbeam::calling
