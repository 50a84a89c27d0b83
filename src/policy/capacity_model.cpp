#include "policy/capacity_model.hpp"

#include <algorithm>

#include "policy/outlier_detector.hpp"

namespace ashbeam::policy {

void CapacityModel::begin_scan() {
  for (Zone& zone : zones_) zone = {};
}

void CapacityModel::add(const Endpoint& endpoint, ReleaseRole role, double usual_attempts) {
  Zone& zone = zones_[endpoint.zone];
  zone.attempts[role] += usual_attempts;
  zone.ready += 1;
  zone.ejected += endpoint.outlier.ejected ? 1 : 0;
}

void CapacityModel::end_scan() {
  canary_fraction_ = compute_canary_fraction();
  // A zone that is lost as a whole leaves the others to carry on: only where all fail is it no endpoint's
  // fault.
  most_ejected_ = std::all_of(zones_.begin(), zones_.end(), [](const Zone& zone) {
    return OutlierDetector::mostly_ejected(zone.ready, zone.ejected);
  });
}

double CapacityModel::compute_canary_fraction() const {
  bool each_zone_has_both = crossing_costs_;
  PerRole<double> all;
  for (const Zone& zone : zones_) {
    each_zone_has_both = each_zone_has_both && zone.attempts.stable > 0 && zone.attempts.canary > 0;
    all.stable += zone.attempts.stable;
    all.canary += zone.attempts.canary;
  }
  // Where crossing costs and each zone has both, requests stay in this zone.
  const PerRole<double>& near = each_zone_has_both ? zones_[own_zone_].attempts : all;
  return near.canary > 0 ? near.canary / (near.stable + near.canary) : 0;
}

}  // namespace ashbeam::policy
