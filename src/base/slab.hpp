// Objects in numbered places that are reused: after the first rush nothing is allocated.
#pragma once
#include <cstdint>
#include <vector>

namespace ashbeam {

template <class T>
class Slab {
 public:
  std::uint32_t allocate() {
    if (free_.empty()) {
      all_.emplace_back();
      free_.reserve(all_.capacity());
      return static_cast<std::uint32_t>(all_.size() - 1);
    }
    const std::uint32_t place = free_.back();
    free_.pop_back();
    all_[place] = T{};
    return place;
  }
  void deallocate(std::uint32_t place) { free_.push_back(place); }
  T& operator[](std::uint32_t place) { return all_[place]; }
  std::uint32_t slot_count() const { return static_cast<std::uint32_t>(all_.size()); }

 private:
  std::vector<T> all_;
  std::vector<std::uint32_t> free_;
};

}  // namespace ashbeam
