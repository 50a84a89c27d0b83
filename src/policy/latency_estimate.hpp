// The latency estimate of an endpoint, or of a zone and machine type. LatencyEstimator computes it.
#pragma once
#include "base/time.hpp"

namespace ashbeam::policy {

struct LatencyEstimate {
  // The latency of a request of the mean class, divided by the number of requests in flight at the endpoint,
  // including itself. 0 if unknown.
  double ms_per_load = 0;
  Instant updated_at;
};

}  // namespace ashbeam::policy
