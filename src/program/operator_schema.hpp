// The schema of the operator's file, see records/parser.hpp for its form.
#pragma once
#include <string_view>

namespace ashbeam {

// The definition that the file as a whole is to be.
constexpr std::string_view kOperatorFileDefinition = "#File";

std::string_view operator_schema();

}  // namespace ashbeam
