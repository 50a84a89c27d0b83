// The settings as path=value pairs, and what is made of them: the terms that the module decides by, and the
// few figures and names that the wires need. Nothing here decides anything.
#pragma once
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "policy/router_policy.hpp"

namespace ashbeam {

struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

std::string listed_name(std::string name);  // as names stand in the settings' lists

class SettingsMap {
 public:
  SettingsMap() = default;
  explicit SettingsMap(std::string_view lines);  // one path=value a line
  void put(std::string path, std::string value) { values_[std::move(path)] = std::move(value); }

  std::string word(const std::string& path) const;  // throws SettingsError where it is missing
  std::string word(const std::string& path, const char* otherwise) const;
  double number(const std::string& path) const;
  double number(const std::string& path, double otherwise) const;
  std::uint32_t count(const std::string& path) const { return static_cast<std::uint32_t>(number(path)); }
  Span span(const std::string& path) const { return Span::ms(number(path)); }
  bool flag(const std::string& path) const { return word(path, "false") == "true"; }
  std::vector<std::string> words(const std::string& path) const;  // of a list; none where it is missing
  std::vector<double> numbers(const std::string& path) const;
  bool operator==(const SettingsMap&) const = default;

 private:
  std::map<std::string, std::string> values_;
};

// Throws SettingsError where something that decisions need is missing. What can't be (no routers, fewer than
// the votes that are needed, no calls a second) is read safely, with a line for the log each.
RouterSettings read_router_settings(const SettingsMap& given, std::vector<std::string>* doubts = nullptr);

// What a router on sockets needs besides: names become small indices by their place here.
struct WireSettings {
  std::vector<std::string> request_classes;
  std::vector<std::string> tenants;
  std::vector<std::string> zones;
  std::vector<std::string> machine_types;
  std::vector<std::string> load_report_columns;
  Span connect_timeout;
  Span endpoint_idle_timeout;
};
WireSettings read_wire_settings(const SettingsMap& given);

}  // namespace ashbeam
