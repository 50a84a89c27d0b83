// Decides which requests are admitted when endpoints are slow, so that the requests of the lowest value are
// rejected first. The hard limits and access rights of tenants are enforced earlier, by calling::Authorizer.
//
// The weight of a request is the priority weight of its class divided by the time that the class takes, and
// is reduced if the request is over its tenant's quota. A request is admitted if its predicted latency is at
// most a fraction of the time left before its objective deadline; the fraction grows with the weight.
//
// on_request() is called for each request, and on_tick() once a tick. Performs no I/O and reports no errors.
#pragma once
#include <vector>

#include "base/pcg.hpp"
#include "policy/request.hpp"
#include "policy/router_settings.hpp"
#include "policy/selection.hpp"

namespace ashbeam::policy {

class Admission {
 public:
  // `settings` must outlive this object.
  explicit Admission(const RouterSettings& settings);

  // Sets the request's weight and max_latency_fraction, and takes a token of its tenant's quota.
  // `class_mean_ms` is the mean latency of its class.
  void on_request(Request& request, unsigned tenant, double class_mean_ms);
  // Adds the quota tokens of all tenants for `elapsed`, the time since the last call.
  void on_tick(Duration elapsed);
  // Returns whether the selected endpoint is likely to answer in time. An idle endpoint also receives a few
  // requests that are predicted late, so that its latency estimate stays current.
  bool admits(const Request& request, const Selection& selection, bool endpoint_is_idle, Instant now,
              Pcg& random) const;

 private:
  struct Tenant {
    double quota_per_s = 0;  // This router's share.
    double tokens = 0;
  };

  // Returns the weight of the request for each millisecond of its mean latency, reduced if the request is
  // over its tenant's quota, and takes a token of the quota.
  double weight_per_ms(const Request& request, unsigned tenant, double class_mean_ms);

  const RouterSettings& settings_;
  // The fraction of requests for an idle endpoint that are admitted whatever their predicted latency.
  double exploration_fraction_;
  std::vector<Tenant> tenants_;
  double max_weight_per_ms_ = 0;  // The largest recent weight; decays with each request.
  double mean_weight_ = 1;        // A moving average of the weights of requests.
};

}  // namespace ashbeam::policy
