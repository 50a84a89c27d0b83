#include "protocol/http_syntax.hpp"

#include <algorithm>
#include <charconv>

namespace ashbeam::http {

namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr char kDelete = 0x7f;

bool is_space_or_tab(char c) { return c == ' ' || c == '\t'; }

}  // namespace

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && is_space_or_tab(text.front())) text.remove_prefix(1);
  while (!text.empty() && is_space_or_tab(text.back())) text.remove_suffix(1);
  return text;
}

std::optional<std::uint64_t> parse_decimal(std::string_view text) {
  std::uint64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (text.empty() || stop != end || error != std::errc()) return std::nullopt;
  return number;
}

bool is_token(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), is_token_char);
}

bool is_visible_ascii(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < kDelete; });
}

bool is_path_with_query(std::string_view text) {
  constexpr std::string_view kExcluded = "\"#<>\\^`{|}";
  if (!is_visible_ascii(text) || text.find_first_of(kExcluded) != std::string_view::npos) return false;
  for (std::size_t i = text.find('%'); i != std::string_view::npos; i = text.find('%', i + 1)) {
    if (i + 2 >= text.size() || !parse_hex_digit(text[i + 1]) || !parse_hex_digit(text[i + 2])) return false;
  }
  return true;
}

// Control characters in a value are refused: they could hide a length or a transfer coding from one of two
// HTTP parsers, which would then disagree on where the message ends.
bool is_field_line(std::string_view line) {
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos || !is_token(line.substr(0, colon))) return false;
  const std::string_view value = line.substr(colon + 1, line.size() - colon - 1 - kLineEnd.size());
  return std::none_of(value.begin(), value.end(), is_control_char);
}

}  // namespace ashbeam::http
