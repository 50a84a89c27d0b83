// The decisions of one router: a thin state machine that takes each event and asks the modules of this folder
// in one visible order.
//
// A request is routed (on_request, route), sent (send), and sent again or hedged while that may help
// (hedge_or_cancel, retry_or_reject), until it has its one final answer (reject_or_fail, or an attempt that
// answers its client). Each tick looks at the endpoints, takes the steps of requests that are due, and judges
// the release. Whether an unsafe or keyed request may be sent again is RuleGuards'. docs/architecture.md has
// the pictures. Units, order of calls and errors: see router_policy.hpp.
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
  void on_endpoint_watch_failed() override;
  void set_endpoint_list_validity(const EndpointListValidity& validity) override;
  void extend_endpoint_validity(EndpointIndex endpoint, Instant until) override;

  void on_request(const RequestArrival& arrival) override;
  void on_attempt_end(const AttemptEnd& end) override;
  void on_client_disconnect(RequestId id) override;
  void on_wakeup(std::uint64_t token) override;

  void on_release_state(const ReleaseState& state) override;
  void on_vote_refused(VoteOutcome outcome) override;
  void on_outcome_sample(const OutcomeSample& sample) override;
  void on_disputed_answer(const DisputedAnswer& disputed) override;

 private:
  // Steps of a request.
  void route(Request& request);
  void wait_for_endpoint(Request& request);
  void send(Request& request, const Selection& selection, bool is_hedge);
  void schedule_hedge(Request& request, const Selection& selection);
  void hedge_or_cancel(Request& request);
  void retry_or_reject(Request& request, AttemptResult result);
  void reject_or_fail(Request& request);
  void finish(Request& request, bool served);
  void deallocate_if_done(Request& request);
  void run_due_step(Request& request);

  void end_attempt(Attempt& attempt, Endpoint& endpoint, AttemptResult result) const;
  void on_tick();
  Request* find_request(RequestId id);
  const RequestClass& class_of(const Request& request) const {
    return settings_.request_classes[request.request_class];
  }
  std::optional<Selection> choose_endpoint(const Request& request) {
    return balancer_.choose(request, controller_.split(), now_);
  }
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
  IndexMap request_slots_;  // by request id
};

}  // namespace ashbeam::policy
