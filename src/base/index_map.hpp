// A hash map from 64-bit ids, which other programs choose, to 32-bit indices of an array. It uses open
// addressing with linear probing, and allocates only when it grows. It offers no iteration, so that no
// decision can depend on the order of its slots.
#pragma once
#include <cstddef>
#include <cstdint>
#include <vector>

namespace ashbeam {

class IndexMap {
 public:
  // Returned for a key that is not in the map; may not be stored as a value.
  static constexpr std::uint32_t kNone = UINT32_MAX;

  // `initial_slots` must be a power of two.
  explicit IndexMap(std::size_t initial_slots = 64) : slots_(initial_slots) {}

  // Returns the value of `key`, or kNone.
  std::uint32_t find(std::uint64_t key) const {
    for (std::size_t i = home_slot(key);; i = next_slot(i)) {
      if (slots_[i].value == kNone) return kNone;
      if (slots_[i].key == key) return slots_[i].value;
    }
  }

  // Inserts `key`, or replaces its value. `value` must not be kNone.
  void put(std::uint64_t key, std::uint32_t value) {
    if ((size_ + 1) * 2 > slots_.size()) grow();
    std::size_t i = home_slot(key);
    while (slots_[i].value != kNone && slots_[i].key != key) i = next_slot(i);
    if (slots_[i].value == kNone) ++size_;
    slots_[i] = Slot{key, value};
  }

  // Removes `key`, if it is in the map.
  void erase(std::uint64_t key) {
    std::size_t i = home_slot(key);
    while (slots_[i].value != kNone && slots_[i].key != key) i = next_slot(i);
    if (slots_[i].value == kNone) return;
    --size_;
    // Later entries of the probe sequence move into the gap, so that find() needs no tombstones.
    for (std::size_t j = next_slot(i);; j = next_slot(j)) {
      if (slots_[j].value == kNone) break;
      const std::size_t home = home_slot(slots_[j].key);
      const bool reachable = i <= j ? (home > i && home <= j) : (home > i || home <= j);
      if (!reachable) {
        slots_[i] = slots_[j];
        i = j;
      }
    }
    slots_[i] = Slot{};
  }

  std::size_t size() const { return size_; }

 private:
  struct Slot {  // empty where its value is kNone
    std::uint64_t key = 0;
    std::uint32_t value = kNone;
  };
  // The hash function: spreads keys that differ in few bits over the slots.
  static std::uint64_t mix(std::uint64_t x) {
    x = (x ^ (x >> 31)) * 0x9e3779b97f4a7c15ULL;
    return x ^ (x >> 29);
  }
  std::size_t home_slot(std::uint64_t key) const { return mix(key) & (slots_.size() - 1); }
  std::size_t next_slot(std::size_t i) const { return (i + 1) & (slots_.size() - 1); }
  void grow() {
    std::vector<Slot> old_slots(slots_.size() * 2);
    old_slots.swap(slots_);
    size_ = 0;
    for (const Slot& slot : old_slots) {
      if (slot.value != kNone) put(slot.key, slot.value);
    }
  }

  std::vector<Slot> slots_;  // their number is always a power of two
  std::size_t size_ = 0;
};

}  // namespace ashbeam
