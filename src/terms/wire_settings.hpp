// What a router on sockets takes from the deployment's settings besides what the decisions go by.
#pragma once
#include <string>
#include <vector>

#include "base/time.hpp"
#include "terms/settings_map.hpp"

namespace ashbeam {

// Names stand for the small indices that the decisions use: their positions in these lists.
struct WireSettings {
  std::vector<std::string> request_classes;
  std::vector<std::string> tenants;
  std::vector<std::string> zones;
  std::vector<std::string> machine_types;
  std::vector<std::string> load_report_columns;
  Duration connect_timeout;
  Duration endpoint_idle_timeout;
};

// Throws SettingsError where a name is missing or a time is malformed.
WireSettings read_wire_settings(const SettingsMap& settings);

}  // namespace ashbeam
