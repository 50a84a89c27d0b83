// The endpoint that LoadBalancer has chosen for an attempt.
#pragma once
#include "policy/types.hpp"

namespace ashbeam::policy {

struct Selection {
  EndpointIndex endpoint = 0;
  double predicted_ms = 0;  // The predicted latency of the attempt.
};

}  // namespace ashbeam::policy
