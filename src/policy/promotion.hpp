// When this router votes for promoting a release's stage.
//
// Job: be patient. The traffic weight has to have been full and quiet for a while, the newest canary endpoint
// to have run for longer, and the stage's endpoints to be there; endpoints that are away are not waited for
// for ever. Units: spans of real time, endpoints. No I/O. Errors: none.
#pragma once
#include "policy/endpoint_monitor.hpp"
#include "policy/exposure_ramp.hpp"
#include "policy/release_tracker.hpp"
#include "policy/router_settings.hpp"

namespace ashbeam::policy {

// `pace`: factor on the waits, at most 1.
bool ready_to_promote(const RouterSettings& settings, double pace, const ReleaseTracker& release,
                      const ExposureRamp& ramp, const EndpointTable& endpoints, const InService& in_service,
                      Instant now);

}  // namespace ashbeam::policy
