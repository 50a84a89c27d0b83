// Which requests are admitted when endpoints are slow: those that are worth most. Tenants' hard limits and
// rights are calling::Authorizer's, which has let the request pass before.
//
// Job: weigh each request by the priority weight of its class for the time that it takes, and less if its
// tenant is over quota; admit it while it is predicted to take no more than a part of the time left, which
// grows with its weight. What is worth least is shed first. Order of calls: on_request() for each, on_tick()
// once a tick. Units: parts of 1. No I/O; random numbers are an argument. Errors: none.
#pragma once
#include <vector>

#include "base/pcg.hpp"
#include "policy/request.hpp"
#include "policy/router_settings.hpp"
#include "policy/selection.hpp"

namespace ashbeam::policy {

class Admission {
 public:
  explicit Admission(const RouterSettings& settings);

  // Sets the request's weight and patience. `class_mean_ms`: the mean latency of its class.
  void on_request(Request& request, unsigned tenant, double class_mean_ms);
  // Refills the tenants' quotas for the time since the last call.
  void on_tick(Duration elapsed);
  // Is the selection likely to answer in time? An idle endpoint gets a few requests all the same, so that its
  // latency stays known.
  bool admits(const Request& request, const Selection& selection, bool endpoint_is_idle, Instant now,
              Pcg& random) const;

 private:
  struct Tenant {
    double quota_per_s = 0;  // this router's part
    double tokens = 0;
  };

  // The weight of the request for each millisecond, its tenant's quota counted.
  double weight_per_ms(const Request& request, unsigned tenant, double class_mean_ms);

  const RouterSettings& settings_;
  double exploration_fraction_;  // of requests whose selection is an idle endpoint
  std::vector<Tenant> tenants_;
  double max_weight_per_ms_ = 0;
  double mean_weight_ = 1;
};

}  // namespace ashbeam::policy
