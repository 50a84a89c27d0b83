// Counts events within a sliding window of time: a ring of instants that grows to the largest window only.
#pragma once
#include <cstddef>
#include <vector>

#include "base/time.hpp"

namespace ashbeam {

class SlidingWindowCounter {
 public:
  // Times never go back from one call to the next.
  void add(Instant now) {
    if (count_ == ring_.size()) grow();
    ring_[(head_ + count_++) % ring_.size()] = now;
  }
  // Counts the events no older than `since` and forgets the others; `since` never goes back.
  std::size_t count_since(Instant since) {
    while (count_ > 0 && ring_[head_] < since) {
      head_ = (head_ + 1) % ring_.size();
      --count_;
    }
    return count_;
  }

 private:
  static constexpr std::size_t kInitialCapacity = 8;

  void grow() {
    std::vector<Instant> wider(ring_.empty() ? kInitialCapacity : ring_.size() * 2);
    for (std::size_t i = 0; i < count_; ++i) wider[i] = ring_[(head_ + i) % ring_.size()];
    ring_.swap(wider);
    head_ = 0;
  }

  std::vector<Instant> ring_;
  std::size_t head_ = 0;
  std::size_t count_ = 0;
};

}  // namespace ashbeam
