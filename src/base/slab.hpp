// A pool of objects that are addressed by their slot number. Slots are reused, so that memory is allocated
// only when more objects are in use than ever before. A reference to an object is valid until the next
// allocate().
#pragma once
#include <cstdint>
#include <vector>

namespace ashbeam {

template <class T>
class Slab {
 public:
  // Returns a slot with a default-constructed object: a free one, or else a new one at the end.
  std::uint32_t allocate() {
    if (free_slots_.empty()) {
      objects_.emplace_back();
      free_slots_.reserve(objects_.capacity());
      return static_cast<std::uint32_t>(objects_.size() - 1);
    }
    const std::uint32_t slot = free_slots_.back();
    free_slots_.pop_back();
    objects_[slot] = T{};
    return slot;
  }
  // Marks the slot as free. Its object is kept until the slot is allocated again.
  void deallocate(std::uint32_t slot) { free_slots_.push_back(slot); }
  T& operator[](std::uint32_t slot) { return objects_[slot]; }
  // Returns the number of all slots, including the free ones.
  std::uint32_t slot_count() const { return static_cast<std::uint32_t>(objects_.size()); }

 private:
  std::vector<T> objects_;
  std::vector<std::uint32_t> free_slots_;
};

}  // namespace ashbeam
