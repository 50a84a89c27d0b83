// An endpoint's state in slow start; SlowStart says how it is used.
#pragma once
#include "base/sliding_window_counter.hpp"
#include "base/time.hpp"

namespace ashbeam::policy {

struct SlowStartState {
  // Drawn once for each start, in [0, 1): which routers may send an attempt where a window allows less
  // than one for each: those whose jitter is below the limit.
  double jitter = 0;
  SlidingWindowCounter attempts;  // sent there by this router
  Instant connect_failed_at;      // when it last refused a connection, or none came up
};

}  // namespace ashbeam::policy
