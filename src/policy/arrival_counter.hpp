// Counts the requests that have arrived in sliding time windows, for each request class and for all classes.
//
// Each counting function removes the arrivals before `since` from its counters, so a later call with an
// earlier `since` returns too few. count_class_since() and sum_class_counts_since() share their counters.
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
  // Returns the arrivals of all classes at or after `since`.
  std::size_t count_all_since(Instant since) { return all_.count_since(since); }
  // Returns the arrivals of one class at or after `since`.
  std::size_t count_class_since(unsigned request_class, Instant since) {
    return by_class_[request_class].count_since(since);
  }
  // Returns the arrivals of all classes at or after `since`, as the sum of the counters of the classes. Its
  // window is independent of that of count_all_since().
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
