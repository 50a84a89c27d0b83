// Concrete values of typed records: no references, bounds or alternatives any more.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.hpp"
#include "records/problem.hpp"

namespace ashbeam::records {

struct NamedValue;

struct Value {
  enum class Kind : std::uint8_t { kNone, kString, kNumber, kBool, kRecord, kList };
  Kind kind = Kind::kNone;
  Position position;
  Position name_position;  // of its field's name
  std::string text;
  double number = 0;
  bool is_integer = false;
  bool boolean = false;
  std::vector<NamedValue> fields;
  std::vector<Value> items;

  // A field of a record that the schema names; kNone for an optional one that is not given.
  const Value& operator[](std::string_view name) const;
  bool is_given() const { return kind != Kind::kNone; }
  // Of a checked span's text; zero where it is none.
  Duration duration() const;
};

struct NamedValue {
  std::string name;
  Value value;
};

// "250ms", "5s", "1.5m", "24h"; nothing where the text is no span, or longer than 1,000 days.
std::optional<Duration> parse_duration(std::string_view text);

// The value as problems name it.
std::string describe(const Value& value);

}  // namespace ashbeam::records
