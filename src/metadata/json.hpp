// JSON as signed metadata has it: read strictly, and written back in the canonical form that is signed (OLPC
// canonical JSON, as TUF 1.0, section 4.2, uses it). Whole numbers only; each member once; UTF-8; nothing
// behind.
#pragma once
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ashbeam::metadata {

class Node {
 public:
  enum class Kind : std::uint8_t { kNull, kBool, kNumber, kString, kList, kObject };
  Kind kind = Kind::kNull;
  bool truth = false;
  std::int64_t number = 0;
  std::string text;
  std::vector<Node> items;                            // of a list
  std::vector<std::pair<std::string, Node>> members;  // of an object, sorted by name

  const Node* find(std::string_view name) const;  // of an object; null where there is none
  const Node* find(std::string_view name, Kind kind) const;
  std::string canonical() const;  // what is signed; no JSON where a string holds control characters
  std::string json() const;       // the same as JSON

 private:
  void write(std::string& to, bool escaped) const;
};

struct Bounds {
  std::size_t bytes = 512 * 1024, nodes = 200'000;
  unsigned depth = 16;
};

// `problem` is set where nothing is returned.
std::optional<Node> read(std::string_view text, const Bounds& bounds, std::string& problem);

}  // namespace ashbeam::metadata
