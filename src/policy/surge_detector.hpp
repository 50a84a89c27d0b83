// Detects surges of requests, which explain slowness as lost endpoints do.
//
// Job: compare the requests of the last window with what is usual, and say whether there are clearly more.
// Once all endpoints are slow only a surge that goes on counts, since a new one may be clients' retries.
// Units: requests in RouterSettings::exposure_window. No I/O. Errors: none.
#pragma once
#include "base/decaying_mean.hpp"
#include "base/time.hpp"

namespace ashbeam::policy {

class SurgeDetector {
 public:
  // Takes in the requests that arrived in the last window. `slow_already`: all endpoints are slow. Returns
  // whether a surge is under way.
  bool add(double arrivals, bool slow_already, Instant now);

 private:
  DecayingMean usual_arrivals_;
  Instant last_surge_;
};

}  // namespace ashbeam::policy
