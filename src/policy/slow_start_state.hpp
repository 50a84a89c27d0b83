// An endpoint's state in slow start; SlowStart says how it is used.
#pragma once
#include "base/sliding_window_counter.hpp"
#include "base/time.hpp"

namespace ashbeam::policy {

struct SlowStartState {
  // Drawn once for each start, in [0, 1): this router's place in a queue of all routers for less than one
  // attempt each.
  double jitter = 0;
  SlidingWindowCounter attempts;  // sent there by this router
  Instant connect_failed_at;      // when it last refused a connection, or none came up
};

}  // namespace ashbeam::policy
