#include "records/value.hpp"

#include <charconv>
#include <cmath>

namespace ashbeam::records {

namespace {

constexpr double kMaxDurationUs = 1000 * 86400e6;  // 1,000 days

std::string format_number(double number) {
  char text[32];
  const auto [end, error] = std::to_chars(text, text + sizeof text, number);
  return error == std::errc() ? std::string(text, end) : "?";
}

// Returns 0 if there is no such unit.
double microseconds_per_unit(std::string_view unit) {
  if (unit == "us") return 1;
  if (unit == "ms") return 1e3;
  if (unit == "s") return 1e6;
  if (unit == "m") return 60e6;
  if (unit == "h") return 3600e6;
  return 0;
}

}  // namespace

const Value& Value::operator[](std::string_view name) const {
  static const Value kNotGiven;
  for (const NamedValue& field : fields) {
    if (field.name == name) return field.value;
  }
  return kNotGiven;
}

Duration Value::duration() const { return parse_duration(text).value_or(Duration()); }

std::optional<Duration> parse_duration(std::string_view text) {
  double count = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), count);
  const double unit = microseconds_per_unit(text.substr(static_cast<std::size_t>(end - text.data())));
  if (error != std::errc() || unit == 0) return std::nullopt;
  const double us = count * unit;
  const bool in_range = count >= 0 && us <= kMaxDurationUs;  // false for NaN
  if (!in_range) return std::nullopt;
  return Duration::us(std::llround(us));
}

std::string describe(const Value& value) {
  switch (value.kind) {
    case Value::Kind::kNone:
      return "nothing";
    case Value::Kind::kString:
      return quoted(value.text);
    case Value::Kind::kNumber:
      return format_number(value.number);
    case Value::Kind::kBool:
      return value.boolean ? "true" : "false";
    case Value::Kind::kRecord:
      return "a record";
    case Value::Kind::kList:
      return "a list";
  }
  return "?";
}

}  // namespace ashbeam::records
