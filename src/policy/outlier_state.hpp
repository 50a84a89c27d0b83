// The state of an endpoint in outlier detection. OutlierDetector changes it.
#pragma once
#include "base/time.hpp"

namespace ashbeam::policy {

struct OutlierState {
  static constexpr Duration kFirstEjectionTime = Duration::s(1);

  double score = 0;  // Log-likelihood ratio of being an outlier against being healthy.
  bool ejected = false;
  Instant ejected_until;
  Duration ejection_time = kFirstEjectionTime;  // Of the next ejection, before jitter.
};

}  // namespace ashbeam::policy
