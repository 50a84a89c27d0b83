// Parses typed records, which are written in a subset of the CUE configuration language (cuelang.org, the
// language's specification): definitions (#Name), closed records, optional fields, bounds, disjunctions with
// a default, conjunctions and lists. The other constructs of CUE are rejected, not skipped.
#pragma once
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "records/problem.hpp"

namespace ashbeam::records {

// The types of scalar values. kDuration is written `span` in a schema; its values are strings like "250ms".
enum class ScalarType : std::uint8_t { kString, kInteger, kNumber, kBool, kDuration };

// The operators of bounds: !=, <, <=, > and >=.
enum class BoundOperator : std::uint8_t { kNotEqual, kLess, kLessOrEqual, kGreater, kGreaterOrEqual };

struct Node;
using NodePtr = std::unique_ptr<Node>;

// A field of a record, `name: value` or, if it is optional, `name?: value`.
struct Field {
  std::string name;
  Position position;  // of the name
  bool optional = false;
  NodePtr value;
};

// One value, type or constraint. `kind` says which of the members are used.
struct Node {
  enum class Kind : std::uint8_t {
    kString,
    kNumber,
    kBool,
    kType,
    kBound,  // an operator and a limit, which is the only operand
    kRecord,
    kList,
    kReference,    // to a definition
    kConjunction,  // a & b
    kDisjunction,  // a | b
  };
  Kind kind = Kind::kRecord;
  Position position;
  // The content of a string, or the source text of a number, type, bound's operator or reference.
  std::string text;
  double number = 0;
  bool is_integer = false;  // of a number: written without a fraction or exponent
  bool boolean = false;
  ScalarType type = ScalarType::kString;
  BoundOperator bound = BoundOperator::kNotEqual;
  std::vector<Field> fields;      // of a record
  std::vector<NodePtr> operands;  // of a list: its items; of a conjunction or disjunction: its operands
  NodePtr further_items;  // of an open list: the constraint on each item past the operands; otherwise null
  // Of a disjunction with a default: the index of the operand that is used if no value is given.
  std::optional<std::size_t> default_index;
};

// The result of parsing a text.
struct ParsedText {
  NodePtr root;  // a record; its fields include the definitions, whose names begin with #
  std::vector<Problem> problems;
};

// Parses the text of a file or a schema. Malformed text is reported in `problems`, not by an exception. The
// parser continues after a malformed field, so that all problems are reported at once.
ParsedText parse(std::string_view text);

// Returns the record's field of that name, or null if there is none.
const Field* find_field(const Node& record, std::string_view name);

}  // namespace ashbeam::records
