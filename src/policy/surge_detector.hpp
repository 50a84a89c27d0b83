// Detects surges of requests. A surge slows down all endpoints, so a slowdown that follows one is not
// attributed to the release.
//
// The number of requests in the last window is compared with the usual number. While all endpoints are slow,
// only a surge that began earlier is continued: the requests of a new one may be clients' retries, caused by
// the slowdown itself.
#pragma once
#include "base/decaying_mean.hpp"
#include "base/time.hpp"

namespace ashbeam::policy {

class SurgeDetector {
 public:
  // Returns whether a surge is in progress. `arrivals` is the number of requests that arrived in the last
  // RouterSettings::exposure_window; it is also included in the usual number. `is_slow` says whether all
  // endpoints are slow.
  bool detect(double arrivals, bool is_slow, Instant now);

 private:
  DecayingMean usual_arrivals_;
  Instant last_surge_at_;
};

}  // namespace ashbeam::policy
