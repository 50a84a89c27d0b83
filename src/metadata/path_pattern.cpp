#include "metadata/path_pattern.hpp"

#include <algorithm>

namespace ashbeam::metadata {

namespace {

// Matches one path segment. Backtracks only to the last '*', so that a hostile pattern can't cost exponential
// time.
bool segment_matches(std::string_view pattern, std::string_view text) {
  std::size_t pattern_position = 0;
  std::size_t text_position = 0;
  std::size_t last_star = std::string_view::npos;
  std::size_t star_end = 0;  // end of the text that the last star has matched so far
  while (text_position < text.size()) {
    if (pattern_position < pattern.size() && pattern[pattern_position] == '*') {
      last_star = pattern_position;
      star_end = text_position;
      ++pattern_position;
    } else if (pattern_position < pattern.size() &&
               (pattern[pattern_position] == '?' || pattern[pattern_position] == text[text_position])) {
      ++pattern_position;
      ++text_position;
    } else if (last_star != std::string_view::npos) {
      ++star_end;
      pattern_position = last_star + 1;
      text_position = star_end;
    } else {
      return false;
    }
  }
  while (pattern_position < pattern.size() && pattern[pattern_position] == '*') ++pattern_position;
  return pattern_position == pattern.size();
}

}  // namespace

bool path_matches(std::string_view pattern, std::string_view path) {
  for (;;) {
    const std::size_t pattern_end = std::min(pattern.find('/'), pattern.size());
    const std::size_t path_end = std::min(path.find('/'), path.size());
    if (!segment_matches(pattern.substr(0, pattern_end), path.substr(0, path_end))) return false;
    const bool is_last_of_pattern = pattern_end == pattern.size();
    const bool is_last_of_path = path_end == path.size();
    if (is_last_of_pattern || is_last_of_path) return is_last_of_pattern && is_last_of_path;
    pattern.remove_prefix(pattern_end + 1);
    path.remove_prefix(path_end + 1);
  }
}

}  // namespace ashbeam::metadata
