// The small parts of HTTP's syntax (RFC 9110, section 5): field names and values, lists, decimal numbers.
// Views point into the text that they are made of.
#pragma once
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace ashbeam::http {

inline char to_lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }
// RFC 9110, section 5.1: without regard to case.
inline bool equals_ignoring_case(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return to_lower(x) == to_lower(y); });
}
// Without spaces and tabs at its ends.
std::string_view trimmed(std::string_view text);
// Decimal digits and nothing else; nothing where the text is not that, or the number is too large.
std::optional<std::uint64_t> parse_decimal(std::string_view text);
// Calls `visit` with each element of a comma-separated value (RFC 9110, section 5.6.1), trimmed.
template <class Visit>
void for_each_list_element(std::string_view list, Visit&& visit) {
  while (!list.empty()) {
    const std::size_t comma = list.find(',');
    visit(trimmed(list.substr(0, comma)));
    if (comma == std::string_view::npos) return;
    list.remove_prefix(comma + 1);
  }
}

// RFC 9110, section 5.6.2.
inline bool is_token_char(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
         std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}
bool is_token(std::string_view text);
// Is it `name: value` with CR LF at its end, with no space in the name and no control character but tabs in
// the value?
bool is_field_line(std::string_view line);
// The value of a digit, or nothing.
inline std::optional<unsigned> parse_hex_digit(char c) {
  if (c >= '0' && c <= '9') return static_cast<unsigned>(c - '0');
  if (c >= 'a' && c <= 'f') return static_cast<unsigned>(c - 'a' + 10);
  if (c >= 'A' && c <= 'F') return static_cast<unsigned>(c - 'A' + 10);
  return std::nullopt;
}

}  // namespace ashbeam::http
