// Computes, from a scan of the ready endpoints, the capacity of each zone and release role.
//
// canary_fraction() is the fraction of requests that the canary endpoints should receive so that they have
// the same load as the stable ones, which makes their latencies comparable. all_zones_mostly_ejected() tells
// whether so many endpoints are ejected that the endpoints cannot be the cause.
//
// Once a tick, begin_scan(), add() for each ready endpoint, and end_scan() are called in this order. Performs
// no I/O and reports no errors.
#pragma once
#include <vector>

#include "policy/endpoint.hpp"
#include "policy/release_role.hpp"
#include "policy/router_settings.hpp"

namespace ashbeam::policy {

class CapacityModel {
 public:
  explicit CapacityModel(const RouterSettings& settings)
      : own_zone_(settings.zone), has_cross_zone_cost_(settings.cross_zone_cost > 0),
        zones_(settings.zone_count) {}

  // Makes room for a zone that the settings do not count.
  void ensure_zone(unsigned zone) {
    if (zone >= zones_.size()) zones_.resize(zone + 1);
  }

  void begin_scan();
  // `expected_attempts` is the number of attempts in a slow start window that the endpoint would receive at
  // its age, or 0 if it must not count for either role.
  void add(const Endpoint& endpoint, ReleaseRole role, double expected_attempts);
  void end_scan();

  // Returns the fraction of requests that the canary endpoints should receive, 0 to 1.
  double canary_fraction() const { return canary_fraction_; }
  // Returns whether OutlierDetector::is_mostly_ejected() holds for every zone.
  bool all_zones_mostly_ejected() const { return all_zones_mostly_ejected_; }

 private:
  struct Zone {
    double ready = 0;          // Number of ready endpoints.
    double ejected = 0;        // How many of them are ejected.
    PerRole<double> attempts;  // Expected attempts of its endpoints, including ejected ones.
  };

  double compute_canary_fraction() const;

  unsigned own_zone_;
  bool has_cross_zone_cost_;
  std::vector<Zone> zones_;
  double canary_fraction_ = 0;
  bool all_zones_mostly_ejected_ = false;
};

}  // namespace ashbeam::policy
