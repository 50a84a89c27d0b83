// Reads the JSON of signed metadata strictly, and writes it back in the canonical form over which signatures
// are computed (OLPC canonical JSON, which TUF 1.0 uses in section 4.2).
//
// The parser accepts UTF-8 text that holds exactly one value. Numbers must be integers, and an object must
// not have two members of one name. On an error the parser returns nothing and describes the first fault.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ashbeam::metadata {

struct JsonMember;

// A JSON value. Only the fields that belong to its kind have a meaning.
class JsonNode {
 public:
  enum class Kind : std::uint8_t { kNull, kBool, kNumber, kString, kArray, kObject };
  Kind kind = Kind::kNull;
  bool boolean = false;
  std::int64_t number = 0;
  std::string text;                 // of a string, unescaped
  std::vector<JsonNode> items;      // of an array
  std::vector<JsonMember> members;  // of an object, sorted by name

  // Returns the member of that name, or null if there is none, if it is not of the kind `wanted` (where one
  // is given), or if this value is not an object.
  const JsonNode* find(std::string_view name) const;
  const JsonNode* find(std::string_view name, Kind wanted) const;
  JsonNode* find(std::string_view name, Kind wanted);

  // Returns the canonical form, over which signatures are computed. Control characters in strings are not
  // escaped, so that the result is not valid JSON if a string holds one.
  std::string to_canonical_json() const;

  // Returns the canonical form with control characters escaped, which is always valid JSON.
  std::string to_json() const;

 private:
  void write(std::string& output, bool escape_control) const;
  void write_array(std::string& output, bool escape_control) const;
  void write_object(std::string& output, bool escape_control) const;
};

struct JsonMember {
  std::string name;
  JsonNode value;
};

// These functions construct a value of the kind that their name says.
JsonNode json_string(std::string text);
JsonNode json_number(std::int64_t number);
JsonNode json_bool(bool boolean);
JsonNode json_array(std::vector<JsonNode> items);
// The members may be given in any order.
JsonNode json_object(std::vector<JsonMember> members);

// Bounds what a hostile file can cost.
struct JsonLimits {
  std::size_t max_bytes = std::size_t{512} * 1024;
  std::size_t max_nodes = 200'000;  // values in the whole text, containers included
  unsigned max_depth = 16;          // arrays and objects that are nested in each other
};

// Parses the text. If it is refused, nothing is returned and `error` describes the first fault; otherwise
// `error` is empty.
std::optional<JsonNode> parse_json(std::string_view text, const JsonLimits& limits, std::string& error);

}  // namespace ashbeam::metadata
