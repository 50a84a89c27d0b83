// The last N things, in no order that matters.
#pragma once
#include <algorithm>
#include <array>
#include <cstddef>

namespace ashbeam {

template <class T, std::size_t N>
class Recent {
 public:
  void add(const T& one) {
    ring_[at_] = one;
    at_ = (at_ + 1) % N;
    size_ = std::min(size_ + 1, N);
  }
  std::size_t size() const { return size_; }
  const T* begin() const { return ring_.data(); }
  const T* end() const { return ring_.data() + size_; }

 private:
  std::array<T, N> ring_{};
  std::size_t at_ = 0, size_ = 0;
};

}  // namespace ashbeam
