// What the machine gives the program at its start: environment variables, and the configuration file (JSON)
// that one of them names. The keys of both are wire names and stand in the implementation alone.
#pragma once
#include <cstddef>
#include <stdexcept>
#include <string_view>

#include "protocol/json.hpp"
#include "routing/service.hpp"
#include "terms/settings_map.hpp"

namespace ashbeam {

// One plain line that says what is missing or malformed.
struct ConfigurationError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct StartupConfiguration {
  InstanceSettings instance;
  SettingsMap settings;
  std::size_t max_sockets = 1024;
};

// Reads the variables by `variable`, which is null for one that is not set, and the file. Throws
// ConfigurationError.
StartupConfiguration read_startup_configuration(const char* (*variable)(const char*));
// Reads the file's text; what it says of the instance goes over what `instance` says. Throws
// ConfigurationError.
StartupConfiguration parse_startup_configuration(std::string_view text, InstanceSettings instance);

// The settings of an object as a flat map, see SettingsMap.
SettingsMap flatten_settings(const Json& settings);

}  // namespace ashbeam
