#include "policy/admission.hpp"

#include <algorithm>

namespace ashbeam::policy {

namespace {

// For each idle endpoint that is predicted late, this number of the routers of the fleet send it a request.
constexpr double kExploringRouters = 4;

// The fraction of the time left that the predicted latency may take: this minimum, plus up to this range for
// the largest weight.
constexpr double kMinLatencyFraction = 0.25;
constexpr double kLatencyFractionRange = 0.5;

constexpr double kMaxWeightDecayFactor = 0.999;  // For each request.
constexpr double kMeanWeightUpdateFactor = 0.01;
constexpr double kMinMeanWeight = 1e-9;

}  // namespace

Admission::Admission(const RouterSettings& settings)
    : settings_(settings), exploration_fraction_(kExploringRouters / settings.router_count) {
  for (const double quota_per_s : settings.tenant_quota_per_s) {
    const double router_quota_per_s = quota_per_s / settings.router_count;
    tenants_.push_back({router_quota_per_s, router_quota_per_s});
  }
}

void Admission::on_request(Request& request, unsigned tenant, double class_mean_ms) {
  const double weight = weight_per_ms(request, tenant, class_mean_ms);
  mean_weight_ += kMeanWeightUpdateFactor * (weight * class_mean_ms - mean_weight_);
  request.weight = weight * class_mean_ms / std::max(mean_weight_, kMinMeanWeight);
  // In a large fleet, each router sees few answers of an endpoint, so it predicts latency by the mean of the
  // endpoint's zone, which is less accurate for a single endpoint. Such a router permits up to twice the
  // latency.
  request.max_latency_fraction = (kMinLatencyFraction + kLatencyFractionRange * weight / max_weight_per_ms_) *
                                 (2 - std::min(1.0, exploration_fraction_));
}

double Admission::weight_per_ms(const Request& request, unsigned tenant, double class_mean_ms) {
  const double weight = settings_.request_classes[request.request_class].priority_weight / class_mean_ms;
  max_weight_per_ms_ = std::max(max_weight_per_ms_ * kMaxWeightDecayFactor, weight);
  if (tenant >= tenants_.size()) return weight;
  if (tenants_[tenant].tokens < 1) return weight * settings_.over_quota_weight_factor;
  tenants_[tenant].tokens -= 1;
  return weight;
}

void Admission::on_tick(Duration elapsed) {
  for (Tenant& tenant : tenants_) {
    tenant.tokens =
        std::min(tenant.tokens + tenant.quota_per_s * elapsed.s(), std::max(tenant.quota_per_s, 1.0));
  }
}

bool Admission::admits(const Request& request, const Selection& selection, bool endpoint_is_idle, Instant now,
                       Pcg& random) const {
  if (endpoint_is_idle && random.next_double() < exploration_fraction_) return true;
  return selection.predicted_ms <= request.ms_to_objective(now) * request.max_latency_fraction;
}

}  // namespace ashbeam::policy
