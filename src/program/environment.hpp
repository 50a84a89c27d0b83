// What the machine tells the program at its start: variables and the configuration file.
#pragma once
#include <cstdint>
#include <stdexcept>
#include <string>

#include "base/limits.hpp"
#include "protocol/json.hpp"
#include "routing/service.hpp"
#include "terms/wire_settings.hpp"

namespace ashbeam {

struct StartError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Start {
  Site site;
  SettingsMap settings;
  std::size_t sockets = 1024;
};

// `variable` looks one up; both throw StartError, with one plain line, where something is missing.
Start read_start(const char* (*variable)(const char*));
Start start_from(std::string_view configuration, Site site);
SettingsMap pairs_of(const Json& settings);  // nested objects and lists as paths

Limits limits_for(std::size_t sockets, const WireSettings& door, const RouterSettings& terms);

}  // namespace ashbeam
