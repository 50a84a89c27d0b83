// Checks a file of typed records against a schema, which is written in the same language.
#pragma once
#include <string_view>
#include <vector>

#include "records/problem.hpp"
#include "records/value.hpp"

namespace ashbeam::records {

// The result of a check.
struct CheckedFile {
  Value value;                    // the file's values, with the schema's defaults where none is given
  std::vector<Problem> problems;  // in the order of their positions; if empty, `value` can be used
};

// Checks the text `file` against the definition of `schema` that describes the file as a whole, such as
// "#File". The schema is part of the program: a fault in it is thrown as std::logic_error. Faults of the file
// are returned as problems.
CheckedFile check_against_schema(std::string_view schema, std::string_view definition, std::string_view file);

}  // namespace ashbeam::records
