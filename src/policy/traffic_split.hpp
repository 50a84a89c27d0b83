// How a router splits requests between canary and stable endpoints; ExposureRamp gives it.
#pragma once

namespace ashbeam::policy {

struct TrafficSplit {
  double canary_weight = 0;  // the part of the exposure cap in use, 0 to 1
  bool canary_stopped = false;
};

}  // namespace ashbeam::policy
