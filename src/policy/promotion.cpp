#include "policy/promotion.hpp"

#include <algorithm>

namespace ashbeam::policy {

namespace {

constexpr Duration kQuietAtFullWeight = Duration::s(2);
constexpr Duration kNewestCanaryAge = Duration::s(3);
constexpr Duration kStageMargin = Duration::s(1);  // the stage is announced some time after the endpoints
constexpr Duration kLongestWaitForEndpoints = Duration::s(11);

// Of the stage's endpoints, the part that has to be there, less a rounding of half an endpoint.
constexpr double kEndpointsPart = 0.85;
constexpr double kRounding = 0.5;

// Are the endpoints there that the stage is to have? Ejected ones count neither as there nor as missing.
bool stage_is_filled(const RouterSettings& settings, unsigned stage, const InService& in_service) {
  const double canary = in_service.endpoints.canary;
  const double stable = in_service.endpoints.stable;
  const double all = settings.rolling_update ? canary + stable : std::max(canary, stable);
  const double due =
      stage < settings.stage_endpoint_fractions.size() ? settings.stage_endpoint_fractions[stage] * all : all;
  return canary >= kEndpointsPart * due - kRounding;
}

}  // namespace

bool ready_to_promote(const RouterSettings& settings, double pace, const ReleaseTracker& release,
                      const ExposureRamp& ramp, const EndpointTable& endpoints, const InService& in_service,
                      Instant now) {
  if (!ramp.full() || ramp.full_for(now) < kQuietAtFullWeight * pace || endpoints.canary_ready() == 0)
    return false;
  const Duration in_stage = now - release.stage_since();
  // The last stage is never hurried: all load follows, and a version that is bad under load would jam.
  const bool last_stage = release.stage() + 1 >= settings.stage_endpoint_fractions.size();
  const Duration min_age = kNewestCanaryAge * (last_stage ? 1.0 : pace);
  if (in_stage < min_age + kStageMargin * pace || now - endpoints.newest_canary_start() < min_age)
    return false;
  return stage_is_filled(settings, release.stage(), in_service) || in_stage > kLongestWaitForEndpoints * pace;
}

}  // namespace ashbeam::policy
