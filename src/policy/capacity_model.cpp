#include "policy/capacity_model.hpp"

#include <algorithm>

#include "policy/outlier_detector.hpp"

namespace ashbeam::policy {

void CapacityModel::begin_scan() {
  for (Zone& zone : zones_) zone = {};
}

void CapacityModel::add(const Endpoint& endpoint, ReleaseRole role, double expected_attempts) {
  Zone& zone = zones_[endpoint.zone];
  zone.attempts[role] += expected_attempts;
  zone.ready += 1;
  zone.ejected += endpoint.outlier.ejected ? 1 : 0;
}

void CapacityModel::end_scan() {
  canary_fraction_ = compute_canary_fraction();
  // A zone that is lost as a whole leaves the others to carry on: only where all fail is it no endpoint's
  // fault.
  all_zones_mostly_ejected_ = std::all_of(zones_.begin(), zones_.end(), [](const Zone& zone) {
    return OutlierDetector::is_mostly_ejected(zone.ready, zone.ejected);
  });
}

double CapacityModel::compute_canary_fraction() const {
  bool each_zone_has_both = has_cross_zone_cost_;
  PerRole<double> all;
  for (const Zone& zone : zones_) {
    each_zone_has_both = each_zone_has_both && zone.attempts.stable > 0 && zone.attempts.canary > 0;
    all.stable += zone.attempts.stable;
    all.canary += zone.attempts.canary;
  }
  // Where crossing costs and each zone has both, requests stay in this zone.
  const PerRole<double>& counted = each_zone_has_both ? zones_[own_zone_].attempts : all;
  return counted.canary > 0 ? counted.canary / (counted.stable + counted.canary) : 0;
}

}  // namespace ashbeam::policy
