// A file of typed records unified with a schema in the same form: plain values with every default filled in,
// or all problems at once.
#pragma once
#include <string>
#include <string_view>
#include <vector>

#include "base/time.hpp"
#include "records/text.hpp"

namespace ashbeam::records {

class Value {
 public:
  enum class Kind { kNone, kString, kNumber, kBool, kRecord, kList };
  Kind kind = Kind::kNone;
  Place at, named;  // the value's, and its field's name's
  std::string text;
  double number = 0;
  bool whole = false, truth = false;
  std::vector<std::pair<std::string, Value>> fields;
  std::vector<Value> items;

  // Of a checked file: what its schema names is there; an optional field that was not given has kNone.
  const Value& operator[](std::string_view name) const;
  bool given() const { return kind != Kind::kNone; }
  Span span() const;  // of a span's text
};

// "250ms", "5s", "1.5m", "24h"; false where it is none. At most 1,000 days.
bool span_of(std::string_view text, Span& span);

struct Checked {
  Value value;
  std::vector<Problem> problems;  // none: the value stands
};

// `schema` is one of the program's own: a fault in it ends the program (std::logic_error). `definition` names
// the record that the file as a whole is to be, like "#File".
Checked check(std::string_view schema, std::string_view definition, std::string_view file);

// "name:line:column: path: wanted X, found Y", a line each.
std::string told(std::string_view name, const std::vector<Problem>& problems);

}  // namespace ashbeam::records
