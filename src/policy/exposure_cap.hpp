// The exposure rule: within a window, no more than the cap's part of requests goes to the canary.
//
// Job: count attempts to canary endpoints against requests that arrived, and say whether one more is within
// the cap. A version that the platform has not announced counts as stage 0 of a release. The two counts use
// windows that differ by a clock tick to each side, so that the cap holds however the windows are laid.
// Units: counts in RouterSettings::exposure_window. No I/O. Errors: none.
#pragma once
#include <vector>

#include "base/sliding_window_counter.hpp"
#include "policy/arrival_counter.hpp"
#include "policy/release_tracker.hpp"
#include "policy/request.hpp"
#include "policy/router_settings.hpp"

namespace ashbeam::policy {

class ExposureCap {
 public:
  ExposureCap(const RouterSettings& settings, ArrivalCounter& arrivals)
      : settings_(settings), arrivals_(arrivals), canary_attempts_(settings.request_classes.size()) {}

  void add_canary_attempt(unsigned request_class, Instant now) {
    canary_attempts_[counted_class(request_class)].add(now);
  }
  // May the request's next attempt go to `version`, a canary? `traffic_weight` is the part of the cap that
  // this router uses, 0 to 1.
  bool allows(const Request& request, ReleaseVersion version, const ReleaseTracker& release,
              double traffic_weight, Instant now) {
    const bool announced = release.known() && version == release.version();
    const unsigned stage = announced ? release.stage() : 0;
    const Idempotency idempotency = settings_.request_classes[request.request_class].idempotency;
    if (stage < settings_.idempotent_only_stage_count && idempotency != Idempotency::kIdempotent)
      return false;
    const double cap = announced ? release.exposure_cap() : settings_.exposure_caps.front();
    if (cap <= 0 || traffic_weight <= 0) return false;
    const auto attempts =
        static_cast<double>(canary_attempts_[counted_class(request.request_class)].count_since(
            now - settings_.exposure_window - settings_.clock_tolerance));
    const auto arrivals = static_cast<double>(arrivals_in_window(request.request_class, now));
    // A retry takes half of the allowance at the most: the other half is kept for first attempts.
    const double allowance =
        request.attempt_count > 0 ? settings_.exposure_allowance / 2 : settings_.exposure_allowance;
    return attempts + 1 <= allowance + cap * arrivals * traffic_weight;
  }

 private:
  // Where the cap holds for all classes together, they are counted as the first one.
  unsigned counted_class(unsigned request_class) const {
    return settings_.exposure_per_class ? request_class : 0;
  }
  std::size_t arrivals_in_window(unsigned request_class, Instant now) {
    const Instant since = now - settings_.exposure_window + settings_.clock_tolerance;
    return settings_.exposure_per_class ? arrivals_.count_class_since(request_class, since)
                                        : arrivals_.count_all_since(since);
  }

  const RouterSettings& settings_;
  ArrivalCounter& arrivals_;
  std::vector<SlidingWindowCounter> canary_attempts_;
};

}  // namespace ashbeam::policy
