// The schema of the operator file, in the form that records/parser.hpp describes. `ashbeam check --schema`
// prints it, so its comments are help texts for operators.
#pragma once
#include <string_view>

namespace ashbeam {

// The definition that an operator file must conform to.
constexpr std::string_view kOperatorFileDefinition = "#File";

// Returns the text of the schema.
std::string_view operator_schema();

}  // namespace ashbeam
