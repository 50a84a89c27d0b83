// Counts the events in a sliding time window. The time of each event is kept in a ring buffer, which grows to
// the largest number of events that the window has held.
#pragma once
#include <cstddef>
#include <vector>

#include "base/time.hpp"

namespace ashbeam {

class SlidingWindowCounter {
 public:
  // Adds an event. `now` must not be earlier than in the previous call.
  void add(Instant now) {
    if (count_ == ring_.size()) grow();
    ring_[(head_ + count_++) % ring_.size()] = now;
  }
  // Returns the number of events at or after `since` and removes the earlier ones. `since` must not be
  // earlier than in the previous call.
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
    std::vector<Instant> larger(ring_.empty() ? kInitialCapacity : ring_.size() * 2);
    for (std::size_t i = 0; i < count_; ++i) larger[i] = ring_[(head_ + i) % ring_.size()];
    ring_.swap(larger);
    head_ = 0;
  }

  std::vector<Instant> ring_;
  std::size_t head_ = 0;
  std::size_t count_ = 0;
};

}  // namespace ashbeam
