// JSON as signed metadata has it: read strictly, and written back in the canonical form that is signed (OLPC
// canonical JSON, as TUF 1.0, section 4.2, uses it). Integers only; each member once; UTF-8; nothing may
// follow the value. Errors: a text that says what was met first, and nothing is returned.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ashbeam::metadata {

struct JsonMember;

class JsonNode {
 public:
  enum class Kind : std::uint8_t { kNull, kBool, kNumber, kString, kArray, kObject };
  Kind kind = Kind::kNull;
  bool boolean = false;
  std::int64_t number = 0;
  std::string text;
  std::vector<JsonNode> items;      // of a list
  std::vector<JsonMember> members;  // of an object, sorted by name

  // The member of that name (and kind); null where there is none.
  const JsonNode* find(std::string_view name) const;
  const JsonNode* find(std::string_view name, Kind wanted) const;
  JsonNode* find(std::string_view name, Kind wanted);
  // The form that is signed; not valid JSON where a string holds control characters, which it leaves as they
  // are.
  std::string to_canonical_json() const;
  // The same with control characters escaped: valid JSON.
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

JsonNode json_string(std::string text);
JsonNode json_number(std::int64_t number);
JsonNode json_bool(bool boolean);
JsonNode json_array(std::vector<JsonNode> items);
// The members may come in any order.
JsonNode json_object(std::vector<JsonMember> members);

struct JsonLimits {
  std::size_t max_bytes = std::size_t{512} * 1024;
  std::size_t max_nodes = 200'000;
  unsigned max_depth = 16;
};

// `problem` is set where nothing is returned, and empty otherwise.
std::optional<JsonNode> parse_json(std::string_view text, const JsonLimits& limits, std::string& error);

}  // namespace ashbeam::metadata
