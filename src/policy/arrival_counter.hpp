// Requests that have arrived, counted over sliding windows of time, by request class and in all.
#pragma once
#include <cstddef>
#include <vector>

#include "base/sliding_window_counter.hpp"

namespace ashbeam::policy {

class ArrivalCounter {
 public:
  explicit ArrivalCounter(std::size_t class_count) : by_class_(class_count) {}

  void add(unsigned request_class, Instant now) {
    by_class_[request_class].add(now);
    all_.add(now);
  }
  // Arrivals no older than `since`. Older ones are forgotten: a wider window asked for afterwards is short.
  std::size_t count_all_since(Instant since) { return all_.count_since(since); }
  std::size_t count_class_since(unsigned request_class, Instant since) {
    return by_class_[request_class].count_since(since);
  }
  // The sum over all classes, whose windows are apart from that of count_all_since().
  double sum_class_counts_since(Instant since) {
    double sum = 0;
    for (SlidingWindowCounter& arrivals : by_class_) sum += static_cast<double>(arrivals.count_since(since));
    return sum;
  }

 private:
  std::vector<SlidingWindowCounter> by_class_;
  SlidingWindowCounter all_;
};

}  // namespace ashbeam::policy
