// Converts the deployment's settings to the RouterSettings that the routing policy uses.
#pragma once
#include <string>
#include <vector>

#include "policy/router_settings.hpp"
#include "terms/settings_map.hpp"

namespace ashbeam {

// Reads the keys of terms/setting_keys.hpp. Throws SettingsError if a required setting is missing or a value
// is malformed.
//
// An implausible value is replaced by a safe one: a number of routers that is zero, negative, no number, too
// large or smaller than the number of votes needed, and a rate of platform calls that is not above zero. Each
// replacement is reported as one line for the log in `warnings`, whose former content is replaced. `warnings`
// may be null.
RouterSettings read_router_settings(const SettingsMap& settings,
                                    std::vector<std::string>* warnings = nullptr);

}  // namespace ashbeam
