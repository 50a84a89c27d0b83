// The state of an endpoint in slow start. EndpointTable, RequestRouter and SlowStart change it.
#pragma once
#include "base/sliding_window_counter.hpp"
#include "base/time.hpp"

namespace ashbeam::policy {

struct SlowStartState {
  // A random number in [0, 1), drawn once for each start of the endpoint. If a window permits less than one
  // attempt of each router, only the routers whose jitter is below the limit may send one.
  double jitter = 0;
  SlidingWindowCounter attempts;  // The attempts that this router has sent.
  Instant connect_failed_at;      // When a connection last could not be opened.
};

}  // namespace ashbeam::policy
