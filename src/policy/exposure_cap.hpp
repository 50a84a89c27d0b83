// Enforces the exposure cap: within RouterSettings::exposure_window, no more than the cap's fraction of the
// requests, plus RouterSettings::exposure_allowance, may be sent to the canary.
//
// Attempts to canary endpoints are compared with the requests that arrived. Attempts are counted over a
// window that is one clock tick longer, and arrivals over one that is a tick shorter, so that the cap holds
// wherever an observer's windows begin. A version that the platform has not announced yet is treated as a
// release in stage 0.
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
  // `settings` and `arrivals` must outlive this object.
  ExposureCap(const RouterSettings& settings, ArrivalCounter& arrivals)
      : settings_(settings), arrivals_(arrivals), canary_attempts_(settings.request_classes.size()) {}

  // Called when an attempt is sent to a canary endpoint.
  void add_canary_attempt(unsigned request_class, Instant now) {
    canary_attempts_[counter_index(request_class)].add(now);
  }
  // Returns whether the next attempt of the request may be sent to an endpoint of `version`, which is a
  // canary. `traffic_weight`, from 0 to 1, is the fraction of the cap that this router uses.
  bool allows(const Request& request, ReleaseVersion version, const ReleaseTracker& release,
              double traffic_weight, Instant now) {
    const bool announced = release.has_state() && version == release.version();
    const unsigned stage = announced ? release.stage() : 0;
    const Idempotency idempotency = settings_.request_classes[request.request_class].idempotency;
    if (stage < settings_.idempotent_only_stage_count && idempotency != Idempotency::kIdempotent)
      return false;
    const double cap = announced ? release.exposure_cap() : settings_.exposure_caps.front();
    if (cap <= 0 || traffic_weight <= 0) return false;
    const auto attempts =
        static_cast<double>(canary_attempts_[counter_index(request.request_class)].count_since(
            now - settings_.exposure_window - settings_.clock_tolerance));
    const auto arrivals = static_cast<double>(arrivals_in_window(request.request_class, now));
    // A retry may use at most half of the allowance, so that the other half remains for first attempts.
    const double allowance =
        request.attempt_count > 0 ? settings_.exposure_allowance / 2 : settings_.exposure_allowance;
    return attempts + 1 <= allowance + cap * arrivals * traffic_weight;
  }

 private:
  // Returns the index of the counter for the class. If the cap applies to all classes together, they share
  // the first counter.
  unsigned counter_index(unsigned request_class) const {
    return settings_.exposure_per_class ? request_class : 0;
  }
  // Returns the number of requests that count against the cap of the class.
  std::size_t arrivals_in_window(unsigned request_class, Instant now) {
    const Instant since = now - settings_.exposure_window + settings_.clock_tolerance;
    return settings_.exposure_per_class ? arrivals_.count_class_since(request_class, since)
                                        : arrivals_.count_all_since(since);
  }

  const RouterSettings& settings_;
  ArrivalCounter& arrivals_;
  std::vector<SlidingWindowCounter> canary_attempts_;  // By counter_index().
};

}  // namespace ashbeam::policy
