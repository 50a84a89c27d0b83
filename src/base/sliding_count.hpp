// How many things happened within the last so long: a ring of instants that grows only in the first rush.
#pragma once
#include <cstddef>
#include <vector>

#include "base/time.hpp"

namespace ashbeam {

class SlidingCount {
 public:
  void add(Instant now) {
    if (count_ == ring_.size()) {
      std::vector<Instant> wider(ring_.empty() ? 8 : ring_.size() * 2);
      for (std::size_t i = 0; i < count_; ++i) wider[i] = ring_[(head_ + i) % ring_.size()];
      ring_.swap(wider);
      head_ = 0;
    }
    ring_[(head_ + count_++) % ring_.size()] = now;
  }
  // Counts what is no older than `since`; what is older is forgotten for good, so `since` never goes back.
  std::size_t from(Instant since) {
    while (count_ > 0 && ring_[head_] < since) {
      head_ = (head_ + 1) % ring_.size();
      --count_;
    }
    return count_;
  }

 private:
  std::vector<Instant> ring_;
  std::size_t head_ = 0, count_ = 0;
};

}  // namespace ashbeam
