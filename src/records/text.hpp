// Typed records in a form after CUE (cuelang.org, the language's specification): the text, and the tree that
// is read from it. Definitions (#Name), closed records, optional fields, bounds, alternatives with a default,
// lists; comments run from // to the line's end. What else CUE knows is refused, not passed over.
#pragma once
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace ashbeam::records {

struct Place {
  unsigned line = 0, column = 0;  // from 1
};

struct Problem {
  Place at;
  std::string path, what;  // what: "wanted X, found Y"
};

// Bounds that a hostile file meets: each ends in a Problem.
constexpr std::size_t kLongestFile = 1024 * 1024;  // bytes
constexpr std::size_t kLongestString = 4096;       // bytes
constexpr unsigned kDeepest = 32;
constexpr std::size_t kMostNodes = 100'000;  // read, and again made by resolving names
constexpr std::size_t kMostProblems = 50;

struct Node;
using NodePtr = std::unique_ptr<Node>;

struct Field {
  std::string name;
  bool optional = false;
  Place at;
  NodePtr value;
};

struct Node {
  enum class Kind { kString, kNumber, kBool, kType, kBound, kRecord, kList, kName, kAll, kOneOf };
  Kind kind = Kind::kRecord;
  Place at;
  std::string text;  // of a string, a type, a bound's sign or a definition's name
  double number = 0;
  bool whole = false;  // a number without a fraction
  bool truth = false;
  std::vector<Field> fields;   // of a record
  std::vector<NodePtr> parts;  // of a list, kAll, kOneOf; a bound's figure
  NodePtr rest;                // of a list: what each further item is
  int preferred = -1;          // of kOneOf: the part that stands where nothing is given
};

struct Text {
  NodePtr root;  // a record; definitions stand among its fields, named with their '#'
  std::vector<Problem> problems;
};

// Never throws on bad text; goes on past a bad field, so that all problems are told at once.
Text read(std::string_view text);

std::string quoted(std::string_view plain);

}  // namespace ashbeam::records
