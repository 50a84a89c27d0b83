// The deployment's settings as they come: a flat map of dotted keys to text, with typed look-ups.
//
// Lists and nested objects are flattened by whoever fills the map: "allowed.cancel", "grades.0.name",
// "grades.count"; a list of plain values is one text, joined by commas. Errors: SettingsError, whose text
// names the key.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/time.hpp"

namespace ashbeam {

struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// A name as it stands in the settings' lists, where spaces and commas are replaced by underscores.
std::string sanitize_name(std::string name);

class SettingsMap {
 public:
  SettingsMap() = default;
  // Reads one `key=value` a line; lines without '=' are skipped, and a later line replaces an earlier one.
  explicit SettingsMap(std::string_view lines);

  void put(std::string key, std::string value) { values_[std::move(key)] = std::move(value); }

  bool contains(std::string_view key) const { return values_.contains(key); }

  // Each throws SettingsError where the key is missing and no default is given, or the value is malformed.
  std::string text(std::string_view key) const;
  std::string text(std::string_view key, std::string_view default_value) const;
  double number(std::string_view key) const;
  double number(std::string_view key, double default_value) const;
  std::uint32_t count(std::string_view key) const { return static_cast<std::uint32_t>(number(key)); }
  std::uint32_t count(std::string_view key, double default_value) const {
    return static_cast<std::uint32_t>(number(key, default_value));
  }
  // Values in milliseconds.
  Duration duration(std::string_view key) const { return Duration::ms(number(key)); }
  Duration duration(std::string_view key, double default_ms) const {
    return Duration::ms(number(key, default_ms));
  }
  // False where the key is missing.
  bool boolean(std::string_view key) const { return text(key, "false") == "true"; }
  // The items of a comma-separated list; empty where the key is missing.
  std::vector<std::string> text_list(std::string_view key) const;
  std::vector<double> number_list(std::string_view key) const;

  bool operator==(const SettingsMap&) const = default;

 private:
  std::map<std::string, std::string, std::less<>> values_;
};

}  // namespace ashbeam
