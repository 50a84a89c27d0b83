// Decides when this router votes to promote the current stage of a release.
#pragma once
#include "policy/endpoint_monitor.hpp"
#include "policy/exposure_ramp.hpp"
#include "policy/release_tracker.hpp"
#include "policy/router_settings.hpp"

namespace ashbeam::policy {

// Returns whether all conditions for a promotion hold: the traffic weight has been full without a regression
// for some time, the newest canary endpoint has been running for a minimum time, and the canary endpoints
// that the stage should have are ready. Missing endpoints are waited for only for a limited time.
// `wait_factor`, at most 1, scales these times.
bool is_ready_to_promote(const RouterSettings& settings, double wait_factor, const ReleaseTracker& release,
                         const ExposureRamp& ramp, const EndpointTable& endpoints,
                         const InService& in_service, Instant now);

}  // namespace ashbeam::policy
