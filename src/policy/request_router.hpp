// The routing policy of one router: a state machine that receives each event and calls the components of this
// folder in a fixed order.
//
// A request is routed to an endpoint (on_request(), route()), sent (send()), and retried or hedged while a
// further attempt can help (hedge_or_cancel(), retry_or_reject()), until it has its one final answer: from an
// attempt that answers the client, or from reject_or_fail(). Each tick scans the endpoints, performs the
// steps of requests that are due, and evaluates the release. RuleGuards decides whether an unsafe or keyed
// request may be sent again. Diagrams are in docs/architecture.md. See router_policy.hpp for units, the order
// of calls and errors.
#pragma once
#include "base/index_map.hpp"
#include "base/pcg.hpp"
#include "base/slab.hpp"
#include "policy/admission.hpp"
#include "policy/arrival_counter.hpp"
#include "policy/attempt_outcomes.hpp"
#include "policy/call_pacing.hpp"
#include "policy/capacity_model.hpp"
#include "policy/endpoint_monitor.hpp"
#include "policy/endpoint_table.hpp"
#include "policy/exposure_cap.hpp"
#include "policy/latency_estimator.hpp"
#include "policy/load_balancer.hpp"
#include "policy/outlier_detector.hpp"
#include "policy/policy_log.hpp"
#include "policy/regression_detector.hpp"
#include "policy/release_controller.hpp"
#include "policy/release_tracker.hpp"
#include "policy/request.hpp"
#include "policy/retry_budget.hpp"
#include "policy/router_policy.hpp"
#include "policy/rule_guards.hpp"
#include "policy/slow_start.hpp"
#include "policy/sticky_keys.hpp"

namespace ashbeam::policy {

class RequestRouter final : public RouterPolicy {
 public:
  RequestRouter(const RouterSettings& settings, std::uint64_t seed, RouterActions& actions);

  void set_time(Instant now) override { now_ = now; }
  void start() override;

  void begin_endpoint_update(bool complete) override;
  void update_endpoint(const EndpointUpdate& update) override;
  void end_endpoint_update() override;
  void on_endpoint_watch_failed(EndpointWatchFailure failure) override;
  void set_endpoint_list_validity(const EndpointListValidity& validity) override;
  void on_endpoint_accepted_request(EndpointIndex endpoint, Instant sent) override;

  void on_request(const RequestArrival& arrival) override;
  void on_attempt_end(const AttemptEnd& end) override;
  void on_client_disconnect(RequestId id) override;
  void on_wakeup(std::uint64_t token) override;

  void on_release_state(const ReleaseState& state) override;
  void on_vote_refused(VoteOutcome outcome) override;
  void on_outcome_sample(const OutcomeSample& sample) override;
  void on_disputed_answer(const DisputedAnswer& disputed) override;

 private:
  // ---- Steps of a request ----

  // Sends the first attempt or a retry, waits for an endpoint, or answers at once that none will serve it.
  void route(Request& request);
  // Called when no endpoint may receive the request now. Tries again at the next tick while an answer could
  // still be in time.
  void wait_for_endpoint(Request& request);
  void send(Request& request, const Selection& selection, bool is_hedge);
  // Schedules hedge_or_cancel() for the attempt just sent, if the request may have another attempt.
  void schedule_hedge(Request& request, const Selection& selection);
  // Called when an attempt has taken much longer than predicted. Sends a hedged request, or, where the
  // platform does not permit that, cancels the attempt; the request is retried when the cancelled attempt has
  // ended.
  void hedge_or_cancel(Request& request);
  // Called when an attempt has ended without answering the client.
  void retry_or_reject(Request& request, AttemptResult result);
  // Gives the final answer of a request that no endpoint will serve.
  void reject_or_fail(Request& request);
  // Called when the request has its final answer. `served` is true if an endpoint gave it successfully.
  // Cancels the attempts that are still in flight; the slot is kept until they have ended.
  void finish(Request& request, bool served);
  // Frees the request's slot unless an attempt is in flight.
  void deallocate_if_done(Request& request);
  void run_due_step(Request& request);

  void end_attempt(Attempt& attempt, Endpoint& endpoint, AttemptResult result) const;
  void on_tick();
  // Returns nullptr if no request with this id is in flight.
  Request* find_request(RequestId id);
  const RequestClass& class_of(const Request& request) const {
    return settings_.request_classes[request.request_class];
  }
  std::optional<Selection> choose_endpoint(const Request& request) {
    return balancer_.choose(request, controller_.split(), now_);
  }
  // Returns a random delay, so that rejected clients do not retry together, or zero if the platform permits
  // no Retry-After.
  Duration draw_retry_after();

  const RouterSettings settings_;
  RouterActions& actions_;
  const PolicyLog log_;
  Pcg random_;
  Instant now_;

  ReleaseTracker release_;
  EndpointTable endpoints_;
  ArrivalCounter arrivals_;
  LatencyEstimator latency_;
  SlowStart slow_start_;
  CapacityModel capacity_;
  ExposureCap exposure_;
  StickyKeys sticky_keys_;
  RuleGuards guards_;
  LoadBalancer balancer_;
  Admission admission_;
  RetryBudget retry_budget_;
  OutlierDetector outliers_;
  EndpointMonitor monitor_;
  RegressionDetector regression_;
  AttemptOutcomes outcomes_;
  ReleaseController controller_;
  CallPacing endpoint_watch_pacing_;

  Slab<Request> requests_;
  IndexMap request_slots_;  // Slots in requests_ by request id.
};

}  // namespace ashbeam::policy
