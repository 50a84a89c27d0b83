// What is wrong with a file of typed records, and where.
#pragma once
#include <string>
#include <string_view>
#include <vector>

namespace ashbeam::records {

// Counted from 1, in characters.
struct Position {
  unsigned line = 0;
  unsigned column = 0;
};

struct Problem {
  Position position;
  std::string path;     // of the field, like "tls.listen"
  std::string message;  // "wanted X, found Y"
};

// "name:line:column: path: wanted X, found Y", a line each.
std::string format_problems(std::string_view name, const std::vector<Problem>& problems);

// The path of a record's field; the file itself has an empty one.
std::string field_path(const std::string& record_path, const std::string& name);

// The text in quotes, with escapes, cut off where it is long.
std::string quoted(std::string_view text);

}  // namespace ashbeam::records
