// A map from 64-bit keys to values that knows in which order its entries were used last. It never evicts by
// itself: its user looks at the least recently used entries and erases one. No allocation once grown.
//
// Entries are named by an index, which is valid until the entry is erased. References to values are valid
// until the next insert().
#pragma once
#include <cstddef>
#include <cstdint>
#include <type_traits>

#include "base/index_map.hpp"
#include "base/slab.hpp"

namespace ashbeam {

template <class Value>
class LruMap {
 public:
  using Index = std::uint32_t;
  static constexpr Index kNone = IndexMap::kNone;

  // The entry of that key, or kNone. Does not count as a use.
  Index find(std::uint64_t key) const { return index_of_.find(key); }

  // Adds a default value as the most recently used entry. The key must not be there yet.
  Index insert(std::uint64_t key) {
    const Index index = entries_.allocate();
    entries_[index].key = key;
    index_of_.put(key, index);
    link_most_recent(index);
    return index;
  }

  // Makes the entry the most recently used one.
  void touch(Index index) {
    if (index == most_recent_) return;
    unlink(index);
    link_most_recent(index);
  }

  // Also releases what the value owns.
  void erase(Index index) {
    unlink(index);
    index_of_.erase(entries_[index].key);
    if constexpr (!std::is_trivially_destructible_v<Value>) entries_[index].value = Value{};
    entries_.deallocate(index);
  }

  Value& operator[](Index index) { return entries_[index].value; }

  // From the least recently used entry on, each with the one used next after it; kNone at the end.
  Index least_recent() const { return least_recent_; }
  Index next_more_recent(Index index) { return entries_[index].more_recent; }

  std::size_t size() const { return index_of_.size(); }

 private:
  struct Entry {
    std::uint64_t key = 0;
    Value value{};
    Index less_recent = kNone;
    Index more_recent = kNone;
  };

  void unlink(Index index) {
    const Entry& entry = entries_[index];
    Index& link_from_less_recent =
        entry.less_recent == kNone ? least_recent_ : entries_[entry.less_recent].more_recent;
    Index& link_from_more_recent =
        entry.more_recent == kNone ? most_recent_ : entries_[entry.more_recent].less_recent;
    link_from_less_recent = entry.more_recent;
    link_from_more_recent = entry.less_recent;
  }

  void link_most_recent(Index index) {
    Entry& entry = entries_[index];
    entry.less_recent = most_recent_;
    entry.more_recent = kNone;
    Index& link_to_entry = most_recent_ == kNone ? least_recent_ : entries_[most_recent_].more_recent;
    link_to_entry = index;
    most_recent_ = index;
  }

  IndexMap index_of_{64};
  Slab<Entry> entries_;
  Index least_recent_ = kNone;
  Index most_recent_ = kNone;
};

}  // namespace ashbeam
