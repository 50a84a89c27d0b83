// Counts the requests that have arrived in sliding time windows, for each request class and for all classes.
// Only a limited number of arrivals is kept for each of these: beyond it the counts are too low, which makes
// the limits that depend on them stricter.
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
  // No window is longer than `longest_window`, and none holds more than `max_arrivals`.
  ArrivalCounter(std::size_t class_count, Duration longest_window, std::size_t max_arrivals)
      : longest_window_(longest_window), max_arrivals_(max_arrivals), by_class_(class_count) {}

  void add(unsigned request_class, Instant now) {
    by_class_[request_class].add_within(now - longest_window_, now, max_arrivals_);
    all_.add_within(now - longest_window_, now, max_arrivals_);
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
  Duration longest_window_;
  std::size_t max_arrivals_;
  std::vector<SlidingWindowCounter> by_class_;
  SlidingWindowCounter all_;
};

}  // namespace ashbeam::policy
