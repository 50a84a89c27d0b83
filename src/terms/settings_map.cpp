#include "terms/settings_map.hpp"

#include <algorithm>
#include <charconv>

namespace ashbeam {

namespace {

double parse_number(std::string_view key, const std::string& text) {
  double value = 0;
  const char* const last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, value);
  if (error != std::errc() || end != last) {
    throw SettingsError("settings: '" + std::string(key) + "' is not a number: '" + text + "'");
  }
  return value;
}

}  // namespace

std::string sanitize_name(std::string name) {
  std::replace_if(
      name.begin(), name.end(), [](char c) { return c == ' ' || c == ','; }, '_');
  return name;
}

SettingsMap::SettingsMap(std::string_view lines) {
  while (!lines.empty()) {
    const std::size_t end = std::min(lines.find('\n'), lines.size());
    const std::string_view line = lines.substr(0, end);
    const std::size_t equals = line.find('=');
    if (equals != std::string_view::npos) {
      values_[std::string(line.substr(0, equals))] = line.substr(equals + 1);
    }
    lines.remove_prefix(std::min(end + 1, lines.size()));
  }
}

std::string SettingsMap::text(std::string_view key) const {
  const auto found = values_.find(key);
  if (found == values_.end()) throw SettingsError("settings: '" + std::string(key) + "' is missing");
  return found->second;
}

std::string SettingsMap::text(std::string_view key, std::string_view default_value) const {
  const auto found = values_.find(key);
  return found == values_.end() ? std::string(default_value) : found->second;
}

double SettingsMap::number(std::string_view key) const { return parse_number(key, text(key)); }

double SettingsMap::number(std::string_view key, double default_value) const {
  return contains(key) ? number(key) : default_value;
}

std::vector<std::string> SettingsMap::text_list(std::string_view key) const {
  std::vector<std::string> items;
  std::string rest = text(key, "");
  while (!rest.empty()) {
    const std::size_t comma = std::min(rest.find(','), rest.size());
    items.push_back(rest.substr(0, comma));
    rest.erase(0, comma + 1);
  }
  return items;
}

std::vector<double> SettingsMap::number_list(std::string_view key) const {
  std::vector<double> values;
  for (const std::string& item : text_list(key)) values.push_back(parse_number(key, item));
  return values;
}

}  // namespace ashbeam
