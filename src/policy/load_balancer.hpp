// Chooses the endpoint of a request's next attempt.
//
// Job: draw between canary and stable endpoints by the traffic weight, then between endpoints by
// the power of two choices (Mitzenmacher, 2001): the better by predicted latency of two drawn ones, quick
// ones drawn more often. The own zone first; another one where the likely gain in time is worth the cost of
// crossing. Where the drawn side has no endpoint, or only one that is predicted late, the other side may take
// the request. Every choice passes the rule guards. Units: milliseconds, parts of 1. No I/O; random numbers
// are an argument. Errors: none; no endpoint may be free.
#pragma once
#include <optional>
#include <vector>

#include "base/pcg.hpp"
#include "policy/capacity_model.hpp"
#include "policy/endpoint_table.hpp"
#include "policy/latency_estimator.hpp"
#include "policy/request.hpp"
#include "policy/rule_guards.hpp"
#include "policy/selection.hpp"
#include "policy/slow_start.hpp"
#include "policy/sticky_keys.hpp"
#include "policy/traffic_split.hpp"

namespace ashbeam::policy {

class LoadBalancer {
 public:
  // Everything that the choice reads; all of it has to outlive this object.
  struct Inputs {
    const RouterSettings& settings;
    const EndpointTable& endpoints;
    const ReleaseTracker& release;
    const LatencyEstimator& latency;
    const SlowStart& slow_start;
    const CapacityModel& capacity;
    const StickyKeys& sticky_keys;
  };
  LoadBalancer(const Inputs& inputs, RuleGuards& guards, Pcg& random);

  std::optional<Selection> choose(const Request& request, const TrafficSplit& split, Instant now);

  // Nearby endpoints of which slow start lets this router have less than one attempt in a window, and whose
  // jitter gives it one; refilled at each tick.
  void clear_slow_start_endpoints() { slow_start_endpoints_.clear(); }
  void add_slow_start_endpoint(EndpointIndex index) { slow_start_endpoints_.push_back(index); }

 private:
  struct Candidate {
    EndpointIndex endpoint = 0;
    double weight = 0;  // how often it is drawn
  };

  std::optional<Selection> choose_slow_start_endpoint(const Request& request, const TrafficSplit& split,
                                                      Instant now);
  std::optional<Selection> choose_by_role(const Request& request, ReleaseRole role, double traffic_weight,
                                          Instant now);
  std::optional<Selection> power_of_two_choices(const Request& request, std::vector<Candidate>& candidates,
                                                Instant now);
  std::size_t draw_candidate(const std::vector<Candidate>& candidates);
  bool should_prefer_canary(const Request& request, const TrafficSplit& split);
  double draw_role_fraction(const Request& request);
  void collect_candidates(const Request& request, ReleaseRole role, double traffic_weight,
                          bool without_ejected, Instant now);
  Candidate make_candidate(EndpointIndex index, Instant now) const;
  bool may_receive_attempts(const Endpoint& endpoint, Instant now) const;

  Inputs inputs_;
  RuleGuards& guards_;
  Pcg& random_;
  std::vector<EndpointIndex> slow_start_endpoints_;
  std::vector<Candidate> own_zone_;     // scratch; kept for its memory
  std::vector<Candidate> other_zones_;  // the same
};

}  // namespace ashbeam::policy
