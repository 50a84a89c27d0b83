#include "terms/wire_settings.hpp"

#include <cstdint>

#include "terms/list_item_key.hpp"
#include "terms/setting_keys.hpp"

namespace ashbeam {

namespace {

namespace keys = setting_keys;

constexpr double kDefaultConnectTimeoutMs = 250;
constexpr double kDefaultEndpointIdleTimeoutMs = 30'000;

std::vector<std::string> read_names(const SettingsMap& settings, const char* list) {
  std::vector<std::string> names;
  const std::uint32_t count = settings.count(list_count_key(list), 0);
  for (std::uint32_t index = 0; index < count; ++index) {
    names.push_back(settings.text(list_item_key(list, index, keys::kName)));
  }
  return names;
}

}  // namespace

WireSettings read_wire_settings(const SettingsMap& settings) {
  WireSettings wire;
  wire.request_classes = read_names(settings, keys::kRequestClasses);
  wire.tenants = read_names(settings, keys::kTenants);
  wire.zones = settings.text_list(keys::kZones);
  wire.machine_types = settings.text_list(keys::kMachineTypes);
  wire.load_report_columns = settings.text_list(keys::kLoadReportColumns);
  wire.connect_timeout = settings.duration(keys::kConnectTimeoutMs, kDefaultConnectTimeoutMs);
  wire.endpoint_idle_timeout = settings.duration(keys::kEndpointIdleTimeoutMs, kDefaultEndpointIdleTimeoutMs);
  return wire;
}

}  // namespace ashbeam
