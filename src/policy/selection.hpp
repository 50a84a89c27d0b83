// Where an attempt may go; LoadBalancer gives it.
#pragma once
#include "policy/types.hpp"

namespace ashbeam::policy {

struct Selection {
  EndpointIndex endpoint = 0;
  double predicted_ms = 0;
};

}  // namespace ashbeam::policy
