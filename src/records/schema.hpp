// Checks a file of typed records against a schema in the same form.
#pragma once
#include <string_view>
#include <vector>

#include "records/problem.hpp"
#include "records/value.hpp"

namespace ashbeam::records {

struct CheckedFile {
  Value value;                    // with all defaults of the schema
  std::vector<Problem> problems;  // in the file's order; none: the value can be used
};

// `schema` is one of the program's own: throws std::logic_error where it is at fault. `definition` names the
// record that the file as a whole is to be, like "#File".
CheckedFile check_against_schema(std::string_view schema, std::string_view definition, std::string_view file);

}  // namespace ashbeam::records
