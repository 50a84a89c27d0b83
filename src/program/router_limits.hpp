// Derives the router's limits and timeouts from the available sockets and the deployment's settings.
#pragma once
#include <cstddef>

#include "base/limits.hpp"
#include "policy/router_settings.hpp"
#include "terms/wire_settings.hpp"

namespace ashbeam {

// Returns the defaults of Limits with the values that the parameters determine. `max_sockets` is the number
// of sockets that the process may have open; it must be at least 64.
Limits make_limits(std::size_t max_sockets, const WireSettings& wire, const RouterSettings& router);

}  // namespace ashbeam
