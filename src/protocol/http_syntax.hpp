// Functions for the elements of HTTP's syntax (RFC 9110, section 5): field names and values, lists, numbers.
// Returned views point into the argument.
#pragma once
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace ashbeam::http {

inline char to_lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }
// Compares field names, or other names that HTTP compares without regard to case (RFC 9110, section 5.1).
// Only the letters of ASCII are folded.
inline bool equals_ignoring_case(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return to_lower(x) == to_lower(y); });
}
// Returns the text without leading and trailing spaces and tabs.
std::string_view trimmed(std::string_view text);
// Parses a number of decimal digits without a sign. Returns nothing if there is any other character, no
// digit, or the number does not fit into 64 bits.
std::optional<std::uint64_t> parse_decimal(std::string_view text);
// Calls `visit` with each element of a comma-separated list (RFC 9110, section 5.6.1), without the spaces and
// tabs around it. Empty elements between commas are visited too.
template <class Visit>
void for_each_list_element(std::string_view list, Visit&& visit) {
  while (!list.empty()) {
    const std::size_t comma = list.find(',');
    visit(trimmed(list.substr(0, comma)));
    if (comma == std::string_view::npos) return;
    list.remove_prefix(comma + 1);
  }
}

// Whether the character may stand in a token (RFC 9110, section 5.6.2).
inline bool is_token_char(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
         std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}
// Whether the text is a token: not empty, and only of token characters.
bool is_token(std::string_view text);
// Whether the character is a control character other than a tab.
inline bool is_control_char(char c) {
  return (static_cast<unsigned char>(c) < ' ' && c != '\t') || c == '\x7f';
}
// Returns whether `text` contains no spaces, control characters or bytes beyond ASCII.
bool is_visible_ascii(std::string_view text);
// Returns whether `text` consists of characters that a path with a query may contain (RFC 3986, section 3):
// no fragment, and two hexadecimal digits behind each percent sign.
bool is_path_with_query(std::string_view text);
// Whether the line has the form `name: value`, with a token as its name and no control character other than
// tabs in its value. The line must end with CR LF.
bool is_field_line(std::string_view line);
// Returns the value of a hexadecimal digit, or nothing for another character.
inline std::optional<unsigned> parse_hex_digit(char c) {
  if (c >= '0' && c <= '9') return static_cast<unsigned>(c - '0');
  if (c >= 'a' && c <= 'f') return static_cast<unsigned>(c - 'a' + 10);
  if (c >= 'A' && c <= 'F') return static_cast<unsigned>(c - 'A' + 10);
  return std::nullopt;
}

}  // namespace ashbeam::http
