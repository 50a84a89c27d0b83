#include "policy/surge_detector.hpp"

#include <cmath>

#include "policy/regression.hpp"

namespace ashbeam::policy {

namespace {

constexpr double kSurgeFactor = 1.8;  // of the usual arrivals
constexpr Duration kGoesOnWithin = Duration::s(1);
constexpr double kUsualArrivalsWeight = 0.03;

}  // namespace

bool SurgeDetector::add(double arrivals, bool slow_already, Instant now) {
  const double usual = usual_arrivals_.mean;
  // The log-likelihood ratio of two Poisson rates.
  const double evidence =
      arrivals > 0 && usual > 0 ? arrivals * std::log(arrivals / usual) - arrivals + usual : 0;
  const bool counts = !slow_already || now - last_surge_ < kGoesOnWithin;
  const bool surge = counts && arrivals > kSurgeFactor * usual && evidence >= kSure;
  if (surge) last_surge_ = now;
  usual_arrivals_.add(arrivals, kUsualArrivalsWeight);
  return surge;
}

}  // namespace ashbeam::policy
