// Holds the last N values that were added. Iteration visits them in no particular order.
#pragma once
#include <algorithm>
#include <array>
#include <cstddef>

namespace ashbeam {

template <class T, std::size_t N>
class RingBuffer {
 public:
  // Adds a value; once N values are held, it replaces the oldest one.
  void add(const T& value) {
    values_[next_] = value;
    next_ = (next_ + 1) % N;
    size_ = std::min(size_ + 1, N);
  }
  std::size_t size() const { return size_; }
  const T* begin() const { return values_.data(); }
  const T* end() const { return values_.data() + size_; }

 private:
  std::array<T, N> values_{};
  std::size_t next_ = 0;
  std::size_t size_ = 0;
};

}  // namespace ashbeam
