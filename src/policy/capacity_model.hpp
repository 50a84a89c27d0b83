// What the endpoints of each zone and release role can carry, as last scanned.
//
// Job: from one scan of the ready endpoints, give the part of requests that the canary's endpoints should
// carry, so that latencies can be compared with the stable ones' under like load, and say whether so many
// endpoints are ejected that the cause is not theirs. Order of calls: begin_scan(), add() for each ready
// endpoint, end_scan(), once a tick. Units: parts of requests, 0 to 1. No I/O. Errors: none.
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

  void ensure_zone(unsigned zone) {
    if (zone >= zones_.size()) zones_.resize(zone + 1);
  }

  void begin_scan();
  // `expected_attempts`: what the endpoint would get at its age; 0 where it is counted among neither role.
  void add(const Endpoint& endpoint, ReleaseRole role, double expected_attempts);
  void end_scan();

  // The part of requests that the canary's endpoints should carry.
  double canary_fraction() const { return canary_fraction_; }
  bool all_zones_mostly_ejected() const { return all_zones_mostly_ejected_; }

 private:
  struct Zone {
    double ready = 0;
    double ejected = 0;
    PerRole<double> attempts;  // what its endpoints would get, ejected ones as well
  };

  double compute_canary_fraction() const;

  unsigned own_zone_;
  bool has_cross_zone_cost_;
  std::vector<Zone> zones_;
  double canary_fraction_ = 0;
  bool all_zones_mostly_ejected_ = false;
};

}  // namespace ashbeam::policy
