// Stores the state of the newest release as the platform announces it. Answers which versions are subject to
// the exposure cap, and whether outcomes of a version are evidence on the canary or on the stable versions.
//
// Until the platform has announced a state, the lowest version in the endpoint list counts as released. The
// caller must not apply states of older versions, see is_outdated().
#pragma once
#include "policy/release_role.hpp"
#include "policy/router_policy.hpp"

namespace ashbeam::policy {

class ReleaseTracker {
 public:
  // Called once when the router starts; the current stage counts as begun now.
  void start(Instant now) { stage_started_at_ = now; }

  // Sets the released version to the lowest one in the endpoint list, unless the platform has announced a
  // state.
  void assume_released(ReleaseVersion lowest_listed) {
    if (!has_state_) version_ = lowest_listed;
  }

  // These three compare a state with the current one, and are called before apply(). The first announced
  // state is a new version and a new stage, and is never outdated.
  bool is_outdated(const ReleaseState& state) const { return has_state_ && state.version < version_; }
  bool is_new_version(const ReleaseState& state) const { return !has_state_ || state.version != version_; }
  bool is_new_stage(const ReleaseState& state) const {
    return state.stage != stage_ || state.phase != phase_ || !has_state_;
  }
  // Replaces the current state.
  void apply(const ReleaseState& state, Instant now) {
    if (is_new_stage(state)) stage_started_at_ = now - state.time_in_stage;
    if (ends_in_rollback(state.phase)) last_rolled_back_ = state.version;
    has_state_ = true;
    version_ = state.version;
    stage_ = state.stage;
    phase_ = state.phase;
    exposure_cap_ = state.exposure_cap;
  }

  // Returns whether the platform has announced a state.
  bool has_state() const { return has_state_; }
  ReleaseVersion version() const { return version_; }
  unsigned stage() const { return stage_; }
  ReleasePhase phase() const { return phase_; }
  double exposure_cap() const { return exposure_cap_; }
  // Returns when the current stage or phase began.
  Instant stage_started_at() const { return stage_started_at_; }
  // Returns the last version that was rolled back, or 0 if there is none.
  ReleaseVersion last_rolled_back() const { return last_rolled_back_; }

  // Returns whether the exposure cap applies to requests sent to this version. This includes versions that
  // are newer than the announced one.
  bool is_capped(ReleaseVersion version) const {
    return version > version_ || (version == version_ && phase_ != ReleasePhase::kReleased);
  }
  // Returns the role for which outcomes of this version are evidence. The newest version stays in the canary
  // role after it is released, when it is no longer capped.
  ReleaseRole evidence_role(ReleaseVersion version) const {
    return version >= version_ ? ReleaseRole::kCanary : ReleaseRole::kStable;
  }
  // Returns whether a release in this phase is being rolled back or has been withdrawn.
  static bool ends_in_rollback(ReleasePhase phase) {
    return phase == ReleasePhase::kRollingBack || phase == ReleasePhase::kWithdrawn;
  }

 private:
  bool has_state_ = false;
  ReleaseVersion version_ = 0;
  ReleaseVersion last_rolled_back_ = 0;
  unsigned stage_ = 0;
  ReleasePhase phase_ = ReleasePhase::kReleased;
  double exposure_cap_ = 0;
  Instant stage_started_at_;
};

}  // namespace ashbeam::policy
