// Reads the configuration of a router at startup: environment variables, and the JSON file whose path is in
// one of them. The deployment platform defines the names of both; only startup_configuration.cpp uses them.
#pragma once
#include <cstddef>
#include <stdexcept>
#include <string_view>

#include "program/router_limits.hpp"
#include "protocol/json.hpp"
#include "routing/service.hpp"
#include "terms/settings_map.hpp"

namespace ashbeam {

// Thrown when the configuration is invalid. The message is one line that names the missing or malformed item.
struct ConfigurationError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct StartupConfiguration {
  InstanceSettings instance;
  SettingsMap settings;  // of the deployment
  ProcessLimits limits;
};

// Reads the environment variables and the configuration file. `get_variable` returns the value of the
// variable with the given name, or null if it is not set. Throws ConfigurationError.
StartupConfiguration read_startup_configuration(const char* (*get_variable)(const char*));
// Parses the text of a configuration file. Values of the file replace those of `instance`. Throws
// ConfigurationError.
StartupConfiguration parse_startup_configuration(std::string_view text, InstanceSettings instance);

// Converts a JSON object to a flat map with dotted keys, see SettingsMap. Spaces and commas in texts are
// replaced by underscores (see sanitize_name).
SettingsMap flatten_settings(const Json& settings);

}  // namespace ashbeam
