// The part of the deployment's settings that the router needs to talk to clients and endpoints. The routing
// policy does not use it; its part is RouterSettings.
#pragma once
#include <string>
#include <vector>

#include "base/time.hpp"
#include "terms/settings_map.hpp"

namespace ashbeam {

// The position of a name in its list is the index by which the routing policy refers to it.
struct WireSettings {
  std::vector<std::string> request_classes;
  std::vector<std::string> tenants;
  std::vector<std::string> zones;
  std::vector<std::string> machine_types;
  // Names of the columns of an endpoint's load report. No component uses them.
  std::vector<std::string> load_report_columns;
  Duration connect_timeout;  // for connections to endpoints
  // Endpoints close a connection that has been idle for this time.
  Duration endpoint_idle_timeout;
};

// Throws SettingsError if a request class or tenant has no name, or a timeout is malformed.
WireSettings read_wire_settings(const SettingsMap& settings);

}  // namespace ashbeam
