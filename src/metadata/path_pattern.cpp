#include "metadata/path_pattern.hpp"

#include <algorithm>

namespace ashbeam::metadata {

namespace {

// One path segment. Backtracks to the last '*' only, so that a hostile pattern can't cost exponential time.
bool segment_matches(std::string_view pattern, std::string_view text) {
  std::size_t in_pattern = 0;
  std::size_t in_text = 0;
  std::size_t last_star = std::string_view::npos;
  std::size_t star_end = 0;  // in the text: what the last star has matched so far
  while (in_text < text.size()) {
    if (in_pattern < pattern.size() && pattern[in_pattern] == '*') {
      last_star = in_pattern;
      star_end = in_text;
      ++in_pattern;
    } else if (in_pattern < pattern.size() &&
               (pattern[in_pattern] == '?' || pattern[in_pattern] == text[in_text])) {
      ++in_pattern;
      ++in_text;
    } else if (last_star != std::string_view::npos) {
      ++star_end;
      in_pattern = last_star + 1;
      in_text = star_end;
    } else {
      return false;
    }
  }
  while (in_pattern < pattern.size() && pattern[in_pattern] == '*') ++in_pattern;
  return in_pattern == pattern.size();
}

}  // namespace

bool path_matches(std::string_view pattern, std::string_view path) {
  for (;;) {
    const std::size_t pattern_end = std::min(pattern.find('/'), pattern.size());
    const std::size_t path_end = std::min(path.find('/'), path.size());
    if (!segment_matches(pattern.substr(0, pattern_end), path.substr(0, path_end))) return false;
    const bool pattern_done = pattern_end == pattern.size();
    const bool path_done = path_end == path.size();
    if (pattern_done || path_done) return pattern_done && path_done;
    pattern.remove_prefix(pattern_end + 1);
    path.remove_prefix(path_end + 1);
  }
}

}  // namespace ashbeam::metadata
