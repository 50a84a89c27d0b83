// Computes the delay before a failed call to a shared service is repeated.
//
// The first retry follows soon, because a single call may fail by chance. The later delays keep the calls of
// all processes together below the rate that the service can handle, and grow while it stays overloaded:
// calls that wait in its queue until they are refused cost it as much as calls that it serves. Delays are
// jittered, so that processes whose calls failed at the same time do not retry at the same time.
//
// Performs no I/O. The method is exponential backoff with jitter; retry storms are described by Bronson et
// al., "Metastable Failures in Distributed Systems", HotOS 2021.
#pragma once
#include <array>
#include <cstddef>

#include "base/time.hpp"

namespace ashbeam::policy {

class CallPacing {
 public:
  // `usual_wait` is the mean delay before the second and the third retry; later delays are twice as long.
  explicit CallPacing(Duration usual_wait) : waits_{kFirstWait, usual_wait, usual_wait, usual_wait * 2} {}

  // Called after a call that succeeded. The next failure counts as the first one.
  void on_success() { failure_count_ = 0; }
  // Called after a call that failed. Returns the delay before the next call, 0.5 to 1.5 times its mean.
  // `random_fraction` is a random number in [0, 1).
  Duration on_failure(double random_fraction) {
    const Duration mean = waits_[failure_count_];
    if (failure_count_ + 1 < waits_.size()) ++failure_count_;
    return jittered(mean, random_fraction);
  }
  // Returns the delay before a call that is to be repeated soon, however often it has failed.
  static Duration short_delay(double random_fraction) { return jittered(kShortWait, random_fraction); }

 private:
  static Duration jittered(Duration mean, double random_fraction) { return mean * (0.5 + random_fraction); }
  static constexpr Duration kFirstWait = Duration::ms(300);
  static constexpr Duration kShortWait = Duration::ms(200);
  std::array<Duration, 4> waits_;  // Mean delays by the number of earlier failures.
  std::size_t failure_count_ = 0;  // Failures since the last success, up to the last index of waits_.
};

}  // namespace ashbeam::policy
