// The deployment's settings as a flat map from dotted keys to texts, with typed lookups.
//
// Whoever fills the map flattens nested objects and lists: the member "cancel" of the object "allowed" has
// the key "allowed.cancel"; a list of objects has the keys "grades.count" and "grades.0.name" (see
// terms/list_item_key.hpp); a list of plain values is one text, joined by commas.
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

// Thrown when a setting is missing or malformed. The message names the key.
struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Returns `name` with each space and comma replaced by an underscore, so that it can be an item of a
// comma-separated list.
std::string sanitize_name(std::string name);

class SettingsMap {
 public:
  SettingsMap() = default;
  // Reads one "key=value" per line. Lines without '=' are skipped, and a later line replaces an earlier one
  // with the same key.
  explicit SettingsMap(std::string_view lines);

  // Stores a value, in place of a former one with the same key.
  void put(std::string key, std::string value) { values_[std::move(key)] = std::move(value); }

  bool contains(std::string_view key) const { return values_.contains(key); }

  // Each returns the value of `key`, or the default if the key is missing. Throws SettingsError if the value
  // is malformed, or if the key is missing and there is no default.
  std::string text(std::string_view key) const;
  std::string text(std::string_view key, std::string_view default_value) const;
  double number(std::string_view key) const;
  double number(std::string_view key, double default_value) const;
  std::uint32_t count(std::string_view key) const { return static_cast<std::uint32_t>(number(key)); }
  std::uint32_t count(std::string_view key, double default_value) const {
    return static_cast<std::uint32_t>(number(key, default_value));
  }
  // The value is a number of milliseconds.
  Duration duration(std::string_view key) const { return Duration::ms(number(key)); }
  Duration duration(std::string_view key, double default_ms) const {
    return Duration::ms(number(key, default_ms));
  }
  // Returns whether the value is "true"; false if the key is missing.
  bool boolean(std::string_view key) const { return text(key, "false") == "true"; }
  // Each returns the items of a comma-separated list, and an empty list if the key is missing. number_list()
  // throws SettingsError if an item is not a number.
  std::vector<std::string> text_list(std::string_view key) const;
  std::vector<double> number_list(std::string_view key) const;

  bool operator==(const SettingsMap&) const = default;

 private:
  std::map<std::string, std::string, std::less<>> values_;
};

}  // namespace ashbeam
