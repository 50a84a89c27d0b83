#include "program/startup_configuration.hpp"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <fstream>
#include <optional>
#include <sstream>
#include <string>
#include <utility>

#include "transport/connection.hpp"

namespace ashbeam {

namespace {

constexpr double kDefaultSockets = 1024;
constexpr double kMinSockets = 64;
constexpr double kMaxSockets = 1e6;
constexpr double kDefaultMemoryMb = 192;
constexpr double kMinMemoryMb = 32;
constexpr double kMaxMemoryMb = 1e6;
constexpr int kSeedBase = 16;

// Returns a string without its quotes, and any other value as it stands in the JSON text.
std::string scalar_text(const Json& value) { return value.text().value_or(std::string(value.raw())); }

// Adds `value` to `settings` under `key`; members and items of `value` get keys below it.
void flatten(SettingsMap& settings, const std::string& key, const Json& value);

void flatten_list(SettingsMap& settings, const std::string& key, const std::string& prefix,
                  const Json& list) {
  std::string joined;
  std::size_t count = 0;
  bool has_objects = false;
  list.for_each_element([&](const Json& item) {
    if (item.is_object()) {
      has_objects = true;
      flatten(settings, prefix + std::to_string(count), item);
    } else {
      joined.append(count > 0 ? "," : "").append(sanitize_name(scalar_text(item)));
    }
    ++count;
  });
  if (has_objects) settings.put(prefix + "count", std::to_string(count));
  else settings.put(key, joined);
}

void flatten(SettingsMap& settings, const std::string& key, const Json& value) {
  const std::string prefix = key.empty() ? "" : key + ".";
  if (value.is_object()) {
    value.for_each_member(
        [&](const std::string& name, const Json& member) { flatten(settings, prefix + name, member); });
  } else if (value.is_array()) {
    flatten_list(settings, key, prefix, value);
  } else {
    settings.put(key, sanitize_name(scalar_text(value)));
  }
}

std::uint64_t parse_seed(const std::optional<Json>& value) {
  const std::string text = value ? scalar_text(*value) : "";
  const char* const last = text.data() + text.size();
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), last, seed, kSeedBase);
  if (error != std::errc() || end != last)
    throw ConfigurationError(
        "configuration: 'seed' is missing or not a hexadecimal number of at most 64 bits");
  return seed;
}

// Throws ConfigurationError if `address` is neither empty nor a numeric address and port.
void check_address(const char* key, const std::string& address) {
  if (address.empty() || is_numeric_address(address)) return;
  throw ConfigurationError(std::string("configuration: '") + key + "' is '" + address +
                           "', expected a numeric address and port");
}

std::string read_whole_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) {
    throw ConfigurationError("PROXY_CONFIG: file '" + path + "' cannot be read");
  }
  return text.str();
}

}  // namespace

SettingsMap flatten_settings(const Json& settings) {
  SettingsMap flat;
  flatten(flat, "", settings);
  return flat;
}

StartupConfiguration parse_startup_configuration(std::string_view text, InstanceSettings instance) {
  const auto file = Json::parse(text);
  if (!file || !file->is_object()) throw ConfigurationError("configuration: not a JSON object");
  const auto settings = file->member("settings");
  if (!settings || !settings->is_object())
    throw ConfigurationError("configuration: 'settings' is missing or not an object");
  const auto platform = file->member("release_api");
  if (!platform || platform->text("address").empty()) {
    throw ConfigurationError("configuration: 'release_api.address' is missing or empty");
  }
  instance.seed = parse_seed(file->member("seed"));
  instance.release_platform_address = platform->text("address");
  if (!file->text("discovery").empty()) instance.discovery_address = file->text("discovery");
  check_address("release_api.address", instance.release_platform_address);
  check_address("discovery", instance.discovery_address);
  if (const auto release_state = platform->member("news"))
    instance.configured_release_state = release_state->raw();
  if (const auto endpoint_list = file->member("known"))
    instance.configured_endpoint_list = endpoint_list->raw();
  StartupConfiguration configuration;
  configuration.instance = std::move(instance);
  configuration.settings = flatten_settings(*settings);
  if (const auto limits = file->member("limits")) {
    const double sockets = limits->number("sockets", kDefaultSockets);
    configuration.limits.max_sockets =
        static_cast<std::size_t>(std::clamp(sockets, kMinSockets, kMaxSockets));
    const double memory_mb =
        std::clamp(limits->number("memory_mb", kDefaultMemoryMb), kMinMemoryMb, kMaxMemoryMb);
    configuration.limits.max_memory_bytes = static_cast<std::size_t>(memory_mb) * kMiB;
  }
  return configuration;
}

StartupConfiguration read_startup_configuration(const char* (*get_variable)(const char*)) {
  const auto required = [get_variable](const char* name) {
    const char* const value = get_variable(name);
    if (!value || !*value)
      throw ConfigurationError("environment variable " + std::string(name) + " is not set or empty");
    return std::string(value);
  };
  InstanceSettings instance;
  instance.name = required("PROXY_NAME");
  instance.listen_address = required("PROXY_LISTEN");
  instance.discovery_address = required("PROXY_DISCOVERY");
  const std::string path = required("PROXY_CONFIG");
  return parse_startup_configuration(read_whole_file(path), std::move(instance));
}

}  // namespace ashbeam
