// A map from 64-bit keys to values that keeps its entries in the order of their last use. It never evicts an
// entry itself: the caller iterates from the least recently used entry and erases those that it chooses. It
// allocates only when it grows beyond its largest size so far.
//
// An entry is identified by an index, which is valid until the entry is erased. References to values are
// valid until the next insert().
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

  // Returns the entry of `key`, or kNone. This does not count as a use.
  Index find(std::uint64_t key) const { return index_of_.find(key); }

  // Adds a default-constructed value as the most recently used entry. `key` must not be in the map.
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

  // Removes the entry and at once releases the resources that its value owns.
  void erase(Index index) {
    unlink(index);
    index_of_.erase(entries_[index].key);
    if constexpr (!std::is_trivially_destructible_v<Value>) entries_[index].value = Value{};
    entries_.deallocate(index);
  }

  Value& operator[](Index index) { return entries_[index].value; }

  // Returns the least recently used entry, or kNone if the map is empty.
  Index least_recent() const { return least_recent_; }
  // Returns the entry that was used next after `index`, or kNone if `index` is the most recently used one.
  Index next_more_recent(Index index) { return entries_[index].more_recent; }

  std::size_t size() const { return index_of_.size(); }

 private:
  struct Entry {  // an element of a doubly linked list in the order of the last use
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

  IndexMap index_of_{64};  // by key
  Slab<Entry> entries_;
  Index least_recent_ = kNone;
  Index most_recent_ = kNone;
};

}  // namespace ashbeam
