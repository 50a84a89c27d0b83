// The syntax of typed records, in a form after CUE (cuelang.org, the language's specification): definitions
// (#Name), closed records, optional fields, bounds, disjunctions with a default, conjunctions and lists. What
// else CUE has is refused, not skipped.
#pragma once
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "records/problem.hpp"

namespace ashbeam::records {

enum class ScalarType : std::uint8_t { kString, kInteger, kNumber, kBool, kDuration };

enum class BoundOperator : std::uint8_t { kNotEqual, kLess, kLessOrEqual, kGreater, kGreaterOrEqual };

struct Node;
using NodePtr = std::unique_ptr<Node>;

struct Field {
  std::string name;
  Position position;  // of the name
  bool optional = false;
  NodePtr value;
};

// One value, type or constraint of the text.
struct Node {
  enum class Kind : std::uint8_t {
    kString,
    kNumber,
    kBool,
    kType,
    kBound,  // its limit is the only operand
    kRecord,
    kList,
    kReference,    // to a definition
    kConjunction,  // a & b
    kDisjunction,  // a | b
  };
  Kind kind = Kind::kRecord;
  Position position;
  std::string text;  // a string's; else as written: a number, a type, a bound's operator, a reference
  double number = 0;
  bool is_integer = false;  // a number without a fraction or an exponent
  bool boolean = false;
  ScalarType type = ScalarType::kString;
  BoundOperator bound = BoundOperator::kNotEqual;
  std::vector<Field> fields;      // of a record
  std::vector<NodePtr> operands;  // and a list's items
  NodePtr further_items;          // of an open list: what each item past the operands is
  std::optional<std::size_t>
      default_index;  // of a disjunction: the operand that holds where nothing is given
};

struct ParsedText {
  NodePtr root;  // a record; definitions are among its fields, named with their '#'
  std::vector<Problem> problems;
};

// Never throws on malformed text. Goes on past a malformed field, so that all problems are reported at once.
ParsedText parse(std::string_view text);

// The record's field of that name, or null.
const Field* find_field(const Node& record, std::string_view name);

}  // namespace ashbeam::records
