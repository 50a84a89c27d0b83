// An endpoint's state in outlier detection; OutlierDetector says how it changes.
#pragma once
#include "base/time.hpp"

namespace ashbeam::policy {

struct OutlierState {
  static constexpr Duration kFirstEjectionTime = Duration::s(1);

  double score = 0;  // log-likelihood ratio of an outlier against a good endpoint
  bool ejected = false;
  Instant ejected_until;
  Duration ejection_time = kFirstEjectionTime;  // of the next ejection
};

}  // namespace ashbeam::policy
