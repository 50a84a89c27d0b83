#include "calling/subject_table.hpp"

#include <algorithm>

namespace ashbeam::calling {

SubjectTable::SubjectTable(std::size_t subjects)
    : sets_(std::max<std::size_t>(1, subjects * 5 / 4 / kWays)), floors_(sets_.size()) {}

std::uint32_t SubjectTable::find(std::uint64_t hash) const {
  const std::size_t set = set_of(hash);
  const std::uint32_t tag = tag_of(hash);
  for (std::uint32_t way = 0; way < kWays; ++way) {
    if (sets_[set].tags[way] == tag) return slot_at(set, way);
  }
  return kNone;
}

// Returns the subject without requests in flight whose sustained rate is due earliest, that is, the one that
// has consumed least. Returns kNone if all subjects have requests in flight.
std::uint32_t SubjectTable::find_way_to_evict(const Set& set) {
  std::uint32_t best = kNone;
  for (std::uint32_t way = 0; way < kWays; ++way) {
    if (set.in_flight[way] != 0) continue;
    if (best == kNone || set.buckets[way].sustained_due_ns < set.buckets[best].sustained_due_ns) best = way;
  }
  return best;
}

std::uint32_t SubjectTable::find_or_insert(std::uint64_t hash, Instant now) {
  const std::size_t index = set_of(hash);
  Set& set = sets_[index];
  const std::uint32_t tag = tag_of(hash);
  std::uint32_t free_way = kNone;
  for (std::uint32_t way = 0; way < kWays; ++way) {
    if (set.tags[way] == tag) return slot_at(index, way);
    if (set.tags[way] == kFreeTag && free_way == kNone) free_way = way;
  }
  Floor& floor = floors_[index];
  if (free_way == kNone) {
    free_way = find_way_to_evict(set);
    if (free_way == kNone) return kNone;
    ++eviction_count_;
    floor.sustained_due_ns = std::max(floor.sustained_due_ns, set.buckets[free_way].sustained_due_ns);
    floor.peak_due_ns = std::max(floor.peak_due_ns, set.buckets[free_way].peak_due_ns);
  }
  set.tags[free_way] = tag;
  set.in_flight[free_way] = 0;
  set.buckets[free_way].reset(nanoseconds_of(now), floor.sustained_due_ns, floor.peak_due_ns);
  return slot_at(index, free_way);
}

}  // namespace ashbeam::calling
