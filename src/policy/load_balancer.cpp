#include "policy/load_balancer.hpp"

#include <cmath>

#include "policy/outlier_detector.hpp"

namespace ashbeam::policy {

namespace {

// An endpoint is accepted at once if its predicted latency is at most this fraction of the time left before
// the objective deadline.
constexpr double kMaxAcceptableLatencyFraction = 0.6;
// The other role is taken if its predicted latency is below this ratio of that of the first role.
constexpr double kMaxOtherRoleLatencyRatio = 0.7;

// Two endpoints are drawn, and up to two more unless the best predicted latency is below the time left before
// the objective deadline divided by this.
constexpr int kMinDraws = 2;
constexpr int kMaxDraws = 4;
constexpr double kAmpleTimeDivisor = 4;

// A sticky key is hashed to a number that is evenly distributed over [0, 1 / kKeySpread).
constexpr std::uint64_t kKeyMultiplier = 0x9e3779b97f4a7c15ULL;  // 2^64 divided by the golden ratio.
constexpr unsigned kKeyShift = 40;
constexpr double kKeyRange = 16777216.0;  // 2^24: 24 bits remain after the shift.
constexpr double kKeySpread = 0.9;

}  // namespace

LoadBalancer::LoadBalancer(const Inputs& inputs, RuleGuards& guards, Pcg& random)
    : inputs_(inputs), guards_(guards), random_(random) {}

std::optional<Selection> LoadBalancer::choose(const Request& request, const TrafficSplit& split,
                                              Instant now) {
  if (const auto selection = choose_slow_start_endpoint(request, split, now)) return selection;
  const bool canary = should_prefer_canary(request, split);
  const ReleaseRole drawn = canary ? ReleaseRole::kCanary : ReleaseRole::kStable;
  const bool stable_ready = inputs_.endpoints.stable_ready() > 0;
  const auto first = choose_by_role(request, drawn, stable_ready ? split.canary_weight : 1.0, now);
  if (first && first->predicted_ms <= request.ms_to_objective(now) * kMaxAcceptableLatencyFraction)
    return first;
  if (!canary && split.canary_stopped && stable_ready) return first;
  // Requests that change to the canary may use the whole exposure cap, but no more.
  const ReleaseRole other = canary ? ReleaseRole::kStable : ReleaseRole::kCanary;
  const auto second = choose_by_role(request, other, 1.0, now);
  if (second && (!first || second->predicted_ms < first->predicted_ms * kMaxOtherRoleLatencyRatio))
    return second;
  return first;
}

// The jitter of slow start already limits the attempts to these endpoints. If they were also drawn by weight
// among all endpoints, they would receive almost none.
std::optional<Selection> LoadBalancer::choose_slow_start_endpoint(const Request& request,
                                                                  const TrafficSplit& split, Instant now) {
  if (request.attempt_count > 0 || slow_start_endpoints_.empty()) return std::nullopt;
  own_zone_.clear();
  for (const EndpointIndex index : slow_start_endpoints_) {
    const Endpoint& endpoint = inputs_.endpoints[index];
    const bool canary = inputs_.release.is_capped(endpoint.version);
    if (canary && inputs_.sticky_keys.applies_to(request)) continue;
    if (canary &&
        endpoint.slow_start.jitter >= inputs_.slow_start.attempt_limit(endpoint, now) * split.canary_weight)
      continue;
    if (!may_receive_attempts(endpoint, now)) continue;
    if (!guards_.may_send(request, index, canary ? split.canary_weight : 1.0, now)) continue;
    own_zone_.push_back(make_candidate(index, now));
  }
  const auto selection = power_of_two_choices(request, own_zone_, now);
  const bool good_enough =
      selection && selection->predicted_ms <= request.ms_to_objective(now) * kMaxAcceptableLatencyFraction;
  return good_enough ? selection : std::nullopt;
}

std::optional<Selection> LoadBalancer::choose_by_role(const Request& request, ReleaseRole role,
                                                      double traffic_weight, Instant now) {
  for (const bool without_ejected : {true, false}) {
    collect_candidates(request, role, traffic_weight, without_ejected, now);
    const auto own_zone = power_of_two_choices(request, own_zone_, now);
    const auto other_zone = power_of_two_choices(request, other_zones_, now);
    if (!own_zone && !other_zone) continue;
    if (!own_zone) return other_zone;
    if (!other_zone) return own_zone;
    // The gain in the probability of an answer in time, assuming that latencies are exponentially
    // distributed.
    const double left_ms = request.ms_to_objective(now);
    const double gain =
        std::exp(-left_ms / own_zone->predicted_ms) - std::exp(-left_ms / other_zone->predicted_ms);
    return gain * request.weight > inputs_.settings.cross_zone_cost ? other_zone : own_zone;
  }
  return std::nullopt;
}

void LoadBalancer::collect_candidates(const Request& request, ReleaseRole role, double traffic_weight,
                                      bool without_ejected, Instant now) {
  own_zone_.clear();
  other_zones_.clear();
  // The loop runs over all endpoints for each attempt, so the values that it reads are kept in local
  // variables.
  const EndpointTable& endpoints = inputs_.endpoints;
  const ReleaseTracker& release = inputs_.release;
  const LatencyEstimator& latency = inputs_.latency;
  const bool all_zones_mostly_ejected = inputs_.capacity.all_zones_mostly_ejected();
  const unsigned own_zone = inputs_.settings.zone;
  const bool canary = role == ReleaseRole::kCanary;
  const auto count = static_cast<EndpointIndex>(endpoints.size());
  for (EndpointIndex index = 0; index < count; ++index) {
    const Endpoint& endpoint = endpoints[index];
    if (without_ejected && !OutlierDetector::may_receive_attempts(endpoint, all_zones_mostly_ejected, now))
      continue;
    if (release.is_capped(endpoint.version) != canary) continue;
    if (!guards_.may_send(request, index, traffic_weight, now)) continue;
    std::vector<Candidate>& candidates = endpoint.zone == own_zone ? own_zone_ : other_zones_;
    candidates.push_back({index, latency.selection_weight(endpoint, now)});
  }
}

std::optional<Selection> LoadBalancer::power_of_two_choices(const Request& request,
                                                            std::vector<Candidate>& candidates, Instant now) {
  if (guards_.are_answers_needed(now)) {
    if (const auto selection = least_recently_used(request, candidates, now)) return selection;
  }
  const double ample_time_ms = request.ms_to_objective(now) / kAmpleTimeDivisor;
  std::optional<Selection> best;
  for (int draws = 0; draws < kMaxDraws && !candidates.empty(); ++draws) {
    if (draws == kMinDraws && best->predicted_ms < ample_time_ms) break;
    const std::size_t drawn = draw_candidate(candidates);
    const EndpointIndex index = candidates[drawn].endpoint;
    const double predicted = predicted_ms(request, index, now);
    if (!best || predicted < best->predicted_ms) best = Selection{index, predicted};
    candidates[drawn] = candidates.back();
    candidates.pop_back();
  }
  return best;
}

// Requests that went to the quickest endpoints only would leave ever fewer of them usable.
std::optional<Selection> LoadBalancer::least_recently_used(const Request& request,
                                                           const std::vector<Candidate>& candidates,
                                                           Instant now) const {
  std::optional<EndpointIndex> oldest;
  for (const Candidate& candidate : candidates) {
    const Endpoint& endpoint = inputs_.endpoints[candidate.endpoint];
    if (endpoint.attempts_in_flight > 0) continue;
    if (!oldest || endpoint.last_response_at < inputs_.endpoints[*oldest].last_response_at)
      oldest = candidate.endpoint;
  }
  if (!oldest) return std::nullopt;
  const Selection selection{*oldest, predicted_ms(request, *oldest, now)};
  const double max_ms = request.ms_to_objective(now) * kMaxAcceptableLatencyFraction;
  return selection.predicted_ms <= max_ms ? std::optional(selection) : std::nullopt;
}

double LoadBalancer::predicted_ms(const Request& request, EndpointIndex index, Instant now) const {
  const Endpoint& endpoint = inputs_.endpoints[index];
  return inputs_.latency.predicted_ms(request.request_class, endpoint,
                                      inputs_.slow_start.capacity(endpoint, now), now);
}

std::size_t LoadBalancer::draw_candidate(const std::vector<Candidate>& candidates) {
  double total = 0;
  for (const Candidate& candidate : candidates) total += candidate.weight;
  double left = random_.next_double() * total;
  std::size_t i = 0;
  while (i + 1 < candidates.size()) {
    left -= candidates[i].weight;
    if (left <= 0) break;
    ++i;
  }
  return i;
}

bool LoadBalancer::should_prefer_canary(const Request& request, const TrafficSplit& split) {
  // After an error, an attempt at a stable endpoint shows whether the request itself is at fault.
  if (request.error.state == UnsettledError::State::kPending) return false;
  const double drawn = draw_role_fraction(request);
  if (inputs_.endpoints.canary_ready() == 0) return false;
  return drawn <
         split.canary_weight * std::min(inputs_.release.exposure_cap(), inputs_.capacity.canary_fraction());
}

// A sticky key replaces the random number, so that the same keys go to the canary each time.
double LoadBalancer::draw_role_fraction(const Request& request) {
  if (!inputs_.sticky_keys.applies_to(request)) return random_.next_double();
  const std::uint64_t key = request.sticky_key;
  const std::uint64_t mixed = (key ^ (key >> 32U)) * kKeyMultiplier;
  return static_cast<double>(mixed >> kKeyShift) / kKeyRange / kKeySpread;
}

LoadBalancer::Candidate LoadBalancer::make_candidate(EndpointIndex index, Instant now) const {
  return {index, inputs_.latency.selection_weight(inputs_.endpoints[index], now)};
}

bool LoadBalancer::may_receive_attempts(const Endpoint& endpoint, Instant now) const {
  return OutlierDetector::may_receive_attempts(endpoint, inputs_.capacity.all_zones_mostly_ejected(), now);
}

}  // namespace ashbeam::policy
