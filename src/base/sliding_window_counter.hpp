// Counts the events in a sliding time window. The time of each event is kept in a ring buffer, which grows to
// the largest number of events that the window has held, or to a stated maximum.
#pragma once
#include <algorithm>
#include <cstddef>
#include <vector>

#include "base/time.hpp"

namespace ashbeam {

class SlidingWindowCounter {
 public:
  // Adds an event. `now` must not be earlier than in the previous call.
  void add(Instant now) {
    if (count_ == ring_.size()) grow(ring_.size() * 2);
    ring_[(head_ + count_++) % ring_.size()] = now;
  }
  // Adds an event to a window that begins at `since`, and removes the earlier ones. If the window holds
  // `max_events` already, the event replaces the oldest, so that later counts are too low.
  void add_within(Instant since, Instant now, std::size_t max_events) {
    if (count_since(since) >= max_events) remove_oldest();
    if (count_ == ring_.size()) grow(std::min(ring_.size() * 2, max_events));
    ring_[(head_ + count_++) % ring_.size()] = now;
  }
  // Returns the number of events at or after `since` and removes the earlier ones. `since` must not be
  // earlier than in the previous call.
  std::size_t count_since(Instant since) {
    while (count_ > 0 && ring_[head_] < since) remove_oldest();
    return count_;
  }

 private:
  static constexpr std::size_t kInitialCapacity = 8;

  void remove_oldest() {
    head_ = (head_ + 1) % ring_.size();
    --count_;
  }
  void grow(std::size_t capacity) {
    std::vector<Instant> larger(std::max(capacity, kInitialCapacity));
    for (std::size_t i = 0; i < count_; ++i) larger[i] = ring_[(head_ + i) % ring_.size()];
    ring_.swap(larger);
    head_ = 0;
  }

  std::vector<Instant> ring_;
  std::size_t head_ = 0;
  std::size_t count_ = 0;
};

}  // namespace ashbeam
