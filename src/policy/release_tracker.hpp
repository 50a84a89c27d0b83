// The state of the newest release, as the platform announces it.
//
// Job: keep the newest release state, and say which versions are capped, and which are judged as the canary.
// Until the platform has announced anything, the lowest version in the endpoint list counts as released.
// Units: instants. No I/O. Errors: none; states of older versions are to be dropped by the caller, see
// is_outdated().
#pragma once
#include "policy/release_role.hpp"
#include "policy/router_policy.hpp"

namespace ashbeam::policy {

class ReleaseTracker {
 public:
  void start(Instant now) { stage_since_ = now; }

  // The lowest version in the endpoint list, of use only until the platform has announced one.
  void assume_released(ReleaseVersion lowest_listed) {
    if (!known_) version_ = lowest_listed;
  }

  // Compare a state with the one at hand, before apply().
  bool is_outdated(const ReleaseState& state) const { return known_ && state.version < version_; }
  bool is_new_version(const ReleaseState& state) const { return !known_ || state.version != version_; }
  bool is_new_stage(const ReleaseState& state) const {
    return state.stage != stage_ || state.phase != phase_ || !known_;
  }
  void apply(const ReleaseState& state, Instant now) {
    if (is_new_stage(state)) stage_since_ = now - state.time_in_stage;
    if (ends_in_rollback(state.phase)) rolled_back_ = state.version;
    known_ = true;
    version_ = state.version;
    stage_ = state.stage;
    phase_ = state.phase;
    exposure_cap_ = state.exposure_cap;
  }

  // Has the platform announced a state yet?
  bool known() const { return known_; }
  ReleaseVersion version() const { return version_; }
  unsigned stage() const { return stage_; }
  ReleasePhase phase() const { return phase_; }
  double exposure_cap() const { return exposure_cap_; }
  Instant stage_since() const { return stage_since_; }
  // The last version that was rolled back; 0: none.
  ReleaseVersion rolled_back() const { return rolled_back_; }

  // May requests go to this version within the exposure cap only? Also true of a version that is newer than
  // the newest announced.
  bool is_capped(ReleaseVersion version) const {
    return version > version_ || (version == version_ && phase_ != ReleasePhase::kReleased);
  }
  // On which side its outcomes count as evidence. The newest version is judged as the canary after its
  // release, too, when it is not capped any more.
  ReleaseRole judged_role(ReleaseVersion version) const {
    return version >= version_ ? ReleaseRole::kCanary : ReleaseRole::kStable;
  }
  static bool ends_in_rollback(ReleasePhase phase) {
    return phase == ReleasePhase::kRollingBack || phase == ReleasePhase::kWithdrawn;
  }

 private:
  bool known_ = false;
  ReleaseVersion version_ = 0;
  ReleaseVersion rolled_back_ = 0;
  unsigned stage_ = 0;
  ReleasePhase phase_ = ReleasePhase::kReleased;
  double exposure_cap_ = 0;
  Instant stage_since_;
};

}  // namespace ashbeam::policy
