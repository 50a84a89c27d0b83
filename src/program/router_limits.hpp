// Derives the router's limits and timeouts from the memory and the sockets that the process may use, and from
// the deployment's settings.
#pragma once
#include <cstddef>

#include "base/limits.hpp"
#include "policy/router_settings.hpp"
#include "terms/wire_settings.hpp"

namespace ashbeam {

struct ProcessLimits {
  std::size_t max_sockets = 1024;             // that the process may have open; at least 64
  std::size_t max_memory_bytes = 192 * kMiB;  // at least 32 MiB
};

// Returns the defaults of Limits with the values that the parameters determine.
Limits make_limits(const ProcessLimits& process, const WireSettings& wire, const RouterSettings& router);

}  // namespace ashbeam
