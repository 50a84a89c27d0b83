// Concrete values of typed records, without references, bounds or alternatives.
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

// `kind` says which of the members are used: `text` of a string, `number` and `is_integer` of a number,
// `boolean` of a bool, `fields` of a record, `items` of a list. kNone stands for a value that is not given.
struct Value {
  enum class Kind : std::uint8_t { kNone, kString, kNumber, kBool, kRecord, kList };
  Kind kind = Kind::kNone;
  Position position;
  Position name_position;  // of the name of the field that holds the value
  std::string text;
  double number = 0;
  bool is_integer = false;  // written without a fraction or exponent
  bool boolean = false;
  std::vector<NamedValue> fields;
  std::vector<Value> items;

  // Returns the record's field of that name. An optional field that is not given is kNone, as is any name
  // that the record does not have.
  const Value& operator[](std::string_view name) const;
  bool is_given() const { return kind != Kind::kNone; }
  // Returns the duration that the string denotes, or zero if it denotes none.
  Duration duration() const;
};

struct NamedValue {
  std::string name;
  Value value;
};

// Parses a duration such as "250ms", "5s", "1.5m" or "24h". The units are us, ms, s, m and h. Returns nothing
// if the text is malformed, or if the duration is negative or longer than 1,000 days.
std::optional<Duration> parse_duration(std::string_view text);

// Returns the value as it is shown in the message of a problem.
std::string describe(const Value& value);

}  // namespace ashbeam::records
