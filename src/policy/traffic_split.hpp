// How a router splits requests between canary and stable endpoints. Set by ExposureRamp, used by the load
// balancer.
#pragma once

namespace ashbeam::policy {

struct TrafficSplit {
  double canary_weight = 0;     // Fraction of the exposure cap that the router uses, from 0 to 1.
  bool canary_stopped = false;  // True after a severe regression of the release.
};

}  // namespace ashbeam::policy
