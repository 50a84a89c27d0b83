#include "policy/promotion.hpp"

#include <algorithm>

namespace ashbeam::policy {

namespace {

// Minimum time for which the traffic weight has been full without a regression.
constexpr Duration kMinTimeAtFullWeight = Duration::s(2);
// Minimum time since the newest canary endpoint was started.
constexpr Duration kMinNewestCanaryAge = Duration::s(3);
// Added to the minimum time in a stage, because a stage is announced some time after its endpoints.
constexpr Duration kStageAnnouncementMargin = Duration::s(1);
// Missing endpoints are waited for until the stage has lasted this long.
constexpr Duration kMaxWaitForEndpoints = Duration::s(11);

// Minimum fraction of the stage's canary endpoints that must be in service, and the number of endpoints by
// which the result may be missed, which allows for rounding.
constexpr double kMinEndpointFraction = 0.85;
constexpr double kEndpointTolerance = 0.5;

// Returns whether enough of the canary endpoints that the stage should have are in service. Ejected endpoints
// count neither as in service nor as missing.
bool has_enough_canary_endpoints(const RouterSettings& settings, unsigned stage,
                                 const InService& in_service) {
  const double canary = in_service.endpoints.canary;
  const double stable = in_service.endpoints.stable;
  const double all = settings.rolling_update ? canary + stable : std::max(canary, stable);
  const double expected =
      stage < settings.stage_endpoint_fractions.size() ? settings.stage_endpoint_fractions[stage] * all : all;
  return canary >= kMinEndpointFraction * expected - kEndpointTolerance;
}

}  // namespace

bool is_ready_to_promote(const RouterSettings& settings, double wait_factor, const ReleaseTracker& release,
                         const ExposureRamp& ramp, const EndpointTable& endpoints,
                         const InService& in_service, Instant now) {
  if (!ramp.is_full() || ramp.time_at_full_weight(now) < kMinTimeAtFullWeight * wait_factor ||
      endpoints.canary_ready() == 0)
    return false;
  const Duration time_in_stage = now - release.stage_started_at();
  // The minimum age is not shortened in the last stage: once it is promoted, the version carries all load,
  // and endpoints of a version that fails under load would be overloaded.
  const bool is_last_stage = release.stage() + 1 >= settings.stage_endpoint_fractions.size();
  const Duration min_age = kMinNewestCanaryAge * (is_last_stage ? 1.0 : wait_factor);
  if (time_in_stage < min_age + kStageAnnouncementMargin * wait_factor ||
      now - endpoints.newest_canary_start() < min_age)
    return false;
  return has_enough_canary_endpoints(settings, release.stage(), in_service) ||
         time_in_stage > kMaxWaitForEndpoints * wait_factor;
}

}  // namespace ashbeam::policy
