// Problems found in a file of typed records, and how they are reported to the operator.
#pragma once
#include <string>
#include <string_view>
#include <vector>

namespace ashbeam::records {

// A position in a text. Both numbers count from 1; columns are counted in characters.
struct Position {
  unsigned line = 0;
  unsigned column = 0;
};

// One problem, with the place where it was found.
struct Problem {
  Position position;
  std::string path;     // of the field, such as "tls.listen"
  std::string message;  // "wanted X, found Y"
};

// Returns one line for each problem, in the form "name:line:column: path: wanted X, found Y". `name` is the
// file's.
std::string format_problems(std::string_view name, const std::vector<Problem>& problems);

// Returns the path of a field of the record at `record_path`. The path of the file's own record is empty.
std::string field_path(const std::string& record_path, const std::string& name);

// Returns the text in quotes, with escapes, for use in messages. Text of more than 60 bytes is cut off and
// ends with "...".
std::string quoted(std::string_view text);

}  // namespace ashbeam::records
