// Path patterns of delegations (TUF 1.0, section 4.5.1).
#pragma once
#include <string_view>

namespace ashbeam::metadata {

// fnmatch as the specification has it: * and ? do not match '/'. Time is bounded by the product of the
// lengths, whatever the pattern.
bool path_matches(std::string_view pattern, std::string_view path);

}  // namespace ashbeam::metadata
