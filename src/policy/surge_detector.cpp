#include "policy/surge_detector.hpp"

#include <cmath>

#include "policy/regression.hpp"

namespace ashbeam::policy {

namespace {

// A surge is more than this many times the usual number of arrivals.
constexpr double kSurgeFactor = 1.8;
// While all endpoints are slow, a surge is continued if the last one was detected less than this long ago.
constexpr Duration kMaxSurgeGap = Duration::s(1);
// Minimum weight of a new value in the mean number of arrivals.
constexpr double kMinUsualArrivalsWeight = 0.03;

}  // namespace

bool SurgeDetector::detect(double arrivals, bool is_slow, Instant now) {
  const double usual = usual_arrivals_.mean;
  // The log-likelihood ratio of the observed Poisson rate against the usual one.
  const double evidence =
      arrivals > 0 && usual > 0 ? arrivals * std::log(arrivals / usual) - arrivals + usual : 0;
  const bool may_be_surge = !is_slow || now - last_surge_at_ < kMaxSurgeGap;
  const bool surge = may_be_surge && arrivals > kSurgeFactor * usual && evidence >= kStrongEvidenceThreshold;
  if (surge) last_surge_at_ = now;
  usual_arrivals_.add(arrivals, kMinUsualArrivalsWeight);
  return surge;
}

}  // namespace ashbeam::policy
