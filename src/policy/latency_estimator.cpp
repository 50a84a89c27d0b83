#include "policy/latency_estimator.hpp"

#include <algorithm>

namespace ashbeam::policy {

namespace {

// The initial mean latency of a class is its latency objective divided by this.
constexpr double kInitialObjectiveDivisor = 6;

// Weights of a new latency in an estimate or a mean. The weight in an estimate grows from its minimum to the
// maximum with the time since the last latency; the weights in the means are fixed.
constexpr double kMinPeersWeight = 0.02;
constexpr double kMinEndpointWeight = 0.1;
constexpr double kMaxWeight = 0.3;
constexpr double kClassMeanWeight = 0.02;
constexpr double kLongTermWeight = 0.01;
constexpr double kShortTermWeight = 0.03;

// A latency is clamped to this multiple of the estimate or mean to which it is added.
constexpr double kMaxSampleRatio = 10;

// An estimate without a new latency for this time decays.
constexpr Duration kStaleThreshold = Duration::s(1);
constexpr double kStaleDecayFactor = 0.995;  // For each tick.

}  // namespace

LatencyEstimator::LatencyEstimator(const RouterSettings& settings)
    : machine_type_count_(settings.machine_type_count) {
  for (const RequestClass& request_class : settings.request_classes)
    class_mean_ms_.push_back(request_class.latency_objective.ms() / kInitialObjectiveDivisor);
  for (const double class_mean_ms : class_mean_ms_)
    mean_ms_ += class_mean_ms / static_cast<double>(class_mean_ms_.size());
  long_term_mean_.mean = mean_ms_ / kOwnLoad;
  short_term_mean_.mean = long_term_mean_.mean;
  peers_.resize(std::size_t{settings.zone_count} * machine_type_count_, {long_term_mean_.mean, {}});
}

void LatencyEstimator::ensure_zone(unsigned zone) {
  const std::size_t needed = std::size_t{zone + 1} * machine_type_count_;
  if (needed > peers_.size()) peers_.resize(needed, {long_term_mean_.mean, {}});
}

double LatencyEstimator::normalized_ms(double latency_ms, unsigned request_class, double load,
                                       double capacity) const {
  return latency_ms * capacity * mean_ms_ / class_mean_ms_[request_class] / (kOwnLoad + load);
}

void LatencyEstimator::update_peers_estimate(const Endpoint& endpoint, double normalized_ms, Instant now) {
  update(peers_[endpoint.zone * machine_type_count_ + endpoint.machine_type], normalized_ms, kMinPeersWeight,
         now);
}

void LatencyEstimator::update_endpoint_estimate(Endpoint& endpoint, double normalized_ms, Instant now) const {
  endpoint.latency.ms_per_load = estimate_ms(endpoint, now);
  update(endpoint.latency, normalized_ms, kMinEndpointWeight, now);
}

void LatencyEstimator::update_means(unsigned request_class, double latency_ms, double normalized_ms) {
  short_term_mean_.add(std::min(normalized_ms, short_term_mean_.mean * kMaxSampleRatio), kShortTermWeight);
  long_term_mean_.add(std::min(normalized_ms, long_term_mean_.mean * kMaxSampleRatio), kLongTermWeight);
  double& class_mean_ms = class_mean_ms_[request_class];
  class_mean_ms += kClassMeanWeight * (std::min(latency_ms, class_mean_ms * kMaxSampleRatio) - class_mean_ms);
  mean_ms_ += kClassMeanWeight * (std::min(latency_ms, mean_ms_ * kMaxSampleRatio) - mean_ms_);
}

void LatencyEstimator::decay_stale_estimates(Instant now) {
  double best = peers_.front().ms_per_load;
  for (const LatencyEstimate& estimate : peers_) best = std::min(best, estimate.ms_per_load);
  for (LatencyEstimate& estimate : peers_) {
    if (now - estimate.updated_at > kStaleThreshold)
      estimate.ms_per_load = std::max(estimate.ms_per_load * kStaleDecayFactor, best);
  }
}

void LatencyEstimator::update(LatencyEstimate& estimate, double normalized_ms, double min_weight,
                              Instant now) {
  const double weight =
      std::clamp((now - estimate.updated_at) / kEstimateTimeConstant, min_weight, kMaxWeight);
  estimate.ms_per_load +=
      weight * (std::min(normalized_ms, estimate.ms_per_load * kMaxSampleRatio) - estimate.ms_per_load);
  estimate.updated_at = now;
}

}  // namespace ashbeam::policy
