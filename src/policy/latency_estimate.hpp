// A latency estimate; LatencyEstimator says how it is learnt and used.
#pragma once
#include "base/time.hpp"

namespace ashbeam::policy {

struct LatencyEstimate {
  // Latency of a request of the mean class, for each request in flight there; 0: unknown.
  double ms_per_load = 0;
  Instant updated_at;
};

}  // namespace ashbeam::policy
