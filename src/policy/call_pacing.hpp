// When the next call to a service that many processes call is made after one that failed.
//
// Job: a first retry soon, since a call may fail by accident; then waits that keep the calls of all processes
// below what the service works off, and longer ones where it stays crowded: calls that wait until they are
// turned away cost it as much as those that it serves. Waits are jittered, so that processes that failed
// together do not call together. Units: spans of real time. No I/O; random numbers are an argument, in [0,
// 1). Source: exponential backoff with jitter; retry storms and metastable failures (Bronson et al., HotOS
// 2021).
#pragma once
#include <array>
#include <cstddef>

#include "base/time.hpp"

namespace ashbeam::policy {

class CallPacing {
 public:
  // `usual_wait`: the mean wait before the second retry.
  explicit CallPacing(Duration usual_wait) : waits_{kFirstWait, usual_wait, usual_wait, usual_wait * 2} {}

  void on_success() { failure_count_ = 0; }
  Duration on_failure(double random_fraction) {
    const Duration mean = waits_[failure_count_];
    if (failure_count_ + 1 < waits_.size()) ++failure_count_;
    return mean * (0.5 + random_fraction);
  }

 private:
  static constexpr Duration kFirstWait = Duration::ms(300);
  std::array<Duration, 4> waits_;
  std::size_t failure_count_ = 0;
};

}  // namespace ashbeam::policy
