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
  // If a whole zone is lost, the other zones still serve requests. Only if endpoints fail in every zone is
  // the cause assumed to lie outside the endpoints.
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
  // If crossing zones has a cost and each zone has both roles, requests stay in this zone.
  const PerRole<double>& counted = each_zone_has_both ? zones_[own_zone_].attempts : all;
  return counted.canary > 0 ? counted.canary / (counted.stable + counted.canary) : 0;
}

}  // namespace ashbeam::policy
