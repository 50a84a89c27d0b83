// Maps the deployment's settings to what the decisions go by. Decides nothing.
#pragma once
#include <string>
#include <vector>

#include "policy/router_settings.hpp"
#include "terms/settings_map.hpp"

namespace ashbeam {

// Throws SettingsError where something that decisions need is missing or malformed. What can't be (no
// routers, fewer routers than the votes that are needed, no platform calls a second) is read as the safe
// value, with a line for the log in `warnings` each, which replaces what stood there.
RouterSettings read_router_settings(const SettingsMap& settings,
                                    std::vector<std::string>* warnings = nullptr);

}  // namespace ashbeam
