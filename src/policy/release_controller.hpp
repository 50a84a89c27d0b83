// Controls a release from the point of view of one router: how much traffic the router sends to the canary,
// and how it votes.
//
// The controller evaluates the canary at regular intervals. The result sets the traffic weight (ExposureRamp)
// and decides on a vote (is_ready_to_promote(), VoteScheduler). start() must be called once, before any other
// call, and on_tick() at every tick of the router.
#pragma once
#include "policy/endpoint_monitor.hpp"
#include "policy/exposure_ramp.hpp"
#include "policy/policy_log.hpp"
#include "policy/regression_detector.hpp"
#include "policy/release_tracker.hpp"
#include "policy/router_policy.hpp"
#include "policy/vote_scheduler.hpp"

namespace ashbeam::policy {

class ReleaseController {
 public:
  // The objects that the controller reads and calls. All of them must outlive it.
  struct Parts {
    const RouterSettings& settings;
    const EndpointTable& endpoints;
    const EndpointMonitor& monitor;
    ReleaseTracker& release;
    RegressionDetector& regression;
    const PolicyLog& log;
    RouterActions& actions;
    Pcg& random;
  };
  explicit ReleaseController(const Parts& parts);

  void start(Instant now);
  // Called when the platform announces a release state. Returns false if the state is ignored because it is
  // of an older version.
  bool on_release_state(const ReleaseState& state, Instant now);
  // Called when a vote of this router was not accepted.
  void on_vote_refused(VoteOutcome outcome, Instant now) { votes_.on_refused(outcome, now); }
  void on_tick(Instant now);

  TrafficSplit split() const { return ramp_.split(); }

 private:
  // Evaluates the release, adjusts the traffic weight and votes.
  void evaluate_release(Instant now);
  // Stops the traffic to the canary after a severe regression, and votes to abort.
  void stop_canary(Instant now);
  // Logs that the traffic weight was lowered. Votes to pause, once per stage, if the platform promotes by
  // itself.
  void on_step_back(Instant now);
  // Casts the vote if the scheduler lets it be sent now.
  void cast_vote(Vote vote, Instant now);

  Parts parts_;
  double wait_factor_;  // Scales waiting times; less than 1 if the bake time is short.
  ExposureRamp ramp_;
  VoteScheduler votes_;
  Instant next_evaluation_at_;
  bool pause_voted_ = false;  // In the current stage.
};

}  // namespace ashbeam::policy
