// Matches target paths against the path patterns of delegations (TUF 1.0, section 4.5.1).
#pragma once
#include <string_view>

namespace ashbeam::metadata {

// Whether the pattern matches the whole path, by the rules of fnmatch that the specification gives: '*'
// matches any number of characters and '?' matches one, but neither matches '/'. The time is bounded by the
// product of both lengths, whatever the pattern.
bool path_matches(std::string_view pattern, std::string_view path);

}  // namespace ashbeam::metadata
