// The program's limits, as far as they follow from the machine and the deployment's settings.
#pragma once
#include <cstddef>

#include "base/limits.hpp"
#include "policy/router_settings.hpp"
#include "terms/wire_settings.hpp"

namespace ashbeam {

// `max_sockets`: what the process may have open, at least 64.
Limits make_limits(std::size_t max_sockets, const WireSettings& wire, const RouterSettings& router);

}  // namespace ashbeam
