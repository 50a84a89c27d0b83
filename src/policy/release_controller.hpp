// Decides on a release: how much traffic the canary gets from this router, and how the router votes.
//
// Job: keep the release state, judge the canary at regular times, and let the ramp, the promotion rule and
// the vote scheduler act on the judgement. Order of calls: start() once, on_tick() once a tick. Units:
// instants. No I/O but the router's actions. Errors: none.
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
  // What it reads and acts by; all of it has to outlive this object.
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
  // Returns whether the state counts: one of an older version does not.
  bool on_release_state(const ReleaseState& state, Instant now);
  void on_vote_refused(VoteOutcome outcome, Instant now) { votes_.on_refused(outcome, now); }
  void on_tick(Instant now);

  TrafficSplit split() const { return ramp_.split(); }

 private:
  void step(Instant now);
  void brake(Instant now);
  void on_step_back(Instant now);
  void cast(Vote vote, Instant now);

  Parts parts_;
  double pace_;  // factor on waits, less than 1 where the bake time is short
  ExposureRamp ramp_;
  VoteScheduler votes_;
  Instant next_judgement_;
  bool pause_voted_ = false;  // in the stage at hand
};

}  // namespace ashbeam::policy
