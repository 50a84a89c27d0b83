// Chooses the endpoint for the next attempt of a request.
//
// The choice is first between canary and stable endpoints, at random by the traffic weight. Within the chosen
// role, endpoints are drawn at random, faster ones more often, and the drawn endpoint with the lowest
// predicted latency is taken: the power of two choices (Mitzenmacher, 2001). Endpoints in this router's zone
// are preferred; an endpoint in another zone is taken if the expected gain is worth the cost of crossing
// zones. If the chosen role has no endpoint, or only one that is predicted to answer late, the other role may
// receive the request. RuleGuards checks every candidate.
//
// Performs no I/O. Latencies are in milliseconds; fractions and weights have no unit.
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
  // The components that the choice reads. All of them must outlive this object.
  struct Inputs {
    const RouterSettings& settings;
    const EndpointTable& endpoints;
    const ReleaseTracker& release;
    const LatencyEstimator& latency;
    const SlowStart& slow_start;
    const CapacityModel& capacity;
    const StickyKeys& sticky_keys;
  };
  // `guards` and `random` must outlive this object.
  LoadBalancer(const Inputs& inputs, RuleGuards& guards, Pcg& random);

  // Returns the chosen endpoint, or nothing if no endpoint may receive the request now.
  std::optional<Selection> choose(const Request& request, const TrafficSplit& split, Instant now);

  // EndpointMonitor passes, at each tick, the endpoints in this router's zone to which slow start permits
  // less than one attempt of each router in a window, and whose jitter permits this router to send one.
  void clear_slow_start_endpoints() { slow_start_endpoints_.clear(); }
  void add_slow_start_endpoint(EndpointIndex index) { slow_start_endpoints_.push_back(index); }

 private:
  struct Candidate {
    EndpointIndex endpoint = 0;
    double weight = 0;  // Its probability of being drawn is proportional to this.
  };

  // Chooses among the endpoints of add_slow_start_endpoint().
  std::optional<Selection> choose_slow_start_endpoint(const Request& request, const TrafficSplit& split,
                                                      Instant now);
  // Chooses among the endpoints of one role. Ejected endpoints are considered only if there is no other.
  std::optional<Selection> choose_by_role(const Request& request, ReleaseRole role, double traffic_weight,
                                          Instant now);
  // Removes the endpoints that it draws from `candidates`.
  std::optional<Selection> power_of_two_choices(const Request& request, std::vector<Candidate>& candidates,
                                                Instant now);
  // Returns the candidate that has not responded for the longest time. Returns nothing if each of them is in
  // use, or if that one is predicted to be slow.
  std::optional<Selection> least_recently_used(const Request& request,
                                               const std::vector<Candidate>& candidates, Instant now) const;
  double predicted_ms(const Request& request, EndpointIndex index, Instant now) const;
  // Returns the index of a candidate drawn at random by weight. `candidates` must not be empty.
  std::size_t draw_candidate(const std::vector<Candidate>& candidates);
  // Returns whether a canary endpoint is tried before a stable one.
  bool should_prefer_canary(const Request& request, const TrafficSplit& split);
  // Returns a number, at random or from the sticky key, that decides on the role when it is compared with the
  // fraction of requests for the canary.
  double draw_role_fraction(const Request& request);
  // Fills own_zone_ and other_zones_.
  void collect_candidates(const Request& request, ReleaseRole role, double traffic_weight,
                          bool without_ejected, Instant now);
  Candidate make_candidate(EndpointIndex index, Instant now) const;
  bool may_receive_attempts(const Endpoint& endpoint, Instant now) const;

  Inputs inputs_;
  RuleGuards& guards_;
  Pcg& random_;
  std::vector<EndpointIndex> slow_start_endpoints_;
  // The candidates of the current choice. Members only so that their memory is reused.
  std::vector<Candidate> own_zone_;
  std::vector<Candidate> other_zones_;
};

}  // namespace ashbeam::policy
