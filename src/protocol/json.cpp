#include "protocol/json.hpp"

#include <charconv>
#include <cmath>
#include <cstdio>

namespace ashbeam {

namespace {

constexpr std::size_t kHexDigits = 4;  // digits of a \u escape, which stands for one UTF-16 code unit
constexpr unsigned kReplacementCharacter = 0xfffd;
constexpr unsigned kFirstHighSurrogate = 0xd800;
constexpr unsigned kFirstLowSurrogate = 0xdc00;
constexpr unsigned kSurrogateEnd = 0xe000;

// ---- Syntax (RFC 8259) ----
// Each skip_ function removes the element that it is named after from the front of `text`. Those that return
// bool return false if another element, or a malformed one, stands there.

void skip_whitespace(std::string_view& text) {
  while (!text.empty() && (text[0] == ' ' || text[0] == '\t' || text[0] == '\n' || text[0] == '\r'))
    text.remove_prefix(1);
}

bool skip_char(std::string_view& text, char c) {
  if (text.empty() || text[0] != c) return false;
  text.remove_prefix(1);
  return true;
}

bool skip_literal(std::string_view& text, std::string_view literal) {
  if (!text.starts_with(literal)) return false;
  text.remove_prefix(literal.size());
  return true;
}

bool is_digit(char c) { return c >= '0' && c <= '9'; }

std::optional<unsigned> parse_hex4(std::string_view text) {
  if (text.size() < kHexDigits) return std::nullopt;
  unsigned code = 0;
  const char* const expected_end = text.data() + kHexDigits;
  const auto [end, error] = std::from_chars(text.data(), expected_end, code, 16);
  if (error != std::errc() || end != expected_end) return std::nullopt;
  return code;
}

// Skips the part of an escape sequence that follows the backslash.
bool skip_escape(std::string_view& text) {
  if (text.empty()) return false;
  const char kind = text[0];
  text.remove_prefix(1);
  if (kind != 'u') return std::string_view("\"\\/bfnrt").find(kind) != std::string_view::npos;
  if (!parse_hex4(text)) return false;
  text.remove_prefix(kHexDigits);
  return true;
}

bool skip_string(std::string_view& text) {
  if (!skip_char(text, '"')) return false;
  while (!text.empty()) {
    const char c = text[0];
    text.remove_prefix(1);
    if (c == '"') return true;
    if (static_cast<unsigned char>(c) < ' ') return false;
    if (c == '\\' && !skip_escape(text)) return false;
  }
  return false;
}

bool skip_digits(std::string_view& text) {
  if (text.empty() || !is_digit(text[0])) return false;
  while (!text.empty() && is_digit(text[0])) text.remove_prefix(1);
  return true;
}

bool skip_number(std::string_view& text) {
  skip_char(text, '-');
  if (text.size() > 1 && text[0] == '0' && is_digit(text[1])) return false;
  if (!skip_digits(text)) return false;
  if (skip_char(text, '.') && !skip_digits(text)) return false;
  if (skip_char(text, 'e') || skip_char(text, 'E')) {
    if (!skip_char(text, '+')) skip_char(text, '-');
    return skip_digits(text);
  }
  return true;
}

bool skip_member_name(std::string_view& text) {
  skip_whitespace(text);
  if (!skip_string(text)) return false;
  skip_whitespace(text);
  return skip_char(text, ':');
}

bool skip_value(std::string_view& text, int depth);

// Skips the members of an object or the elements of an array, with the closing bracket.
bool skip_contents(std::string_view& text, bool is_object, int depth) {
  const char closing = is_object ? '}' : ']';
  skip_whitespace(text);
  if (skip_char(text, closing)) return true;
  for (;;) {
    if (is_object && !skip_member_name(text)) return false;
    if (!skip_value(text, depth + 1)) return false;
    skip_whitespace(text);
    if (skip_char(text, closing)) return true;
    if (!skip_char(text, ',')) return false;
  }
}

bool skip_value(std::string_view& text, int depth) {
  skip_whitespace(text);
  if (text.empty() || depth > Json::kMaxDepth) return false;
  switch (text[0]) {
    case '"':
      return skip_string(text);
    case 't':
      return skip_literal(text, "true");
    case 'f':
      return skip_literal(text, "false");
    case 'n':
      return skip_literal(text, "null");
    case '{':
    case '[': {
      const bool is_object = text[0] == '{';
      text.remove_prefix(1);
      return skip_contents(text, is_object, depth);
    }
    default:
      return skip_number(text);
  }
}

// Removes the next value from the front of `text` and returns it. `text` must be valid JSON.
std::string_view take_value(std::string_view& text) {
  skip_whitespace(text);
  const char* const begin = text.data();
  skip_value(text, 0);
  return {begin, static_cast<std::size_t>(text.data() - begin)};
}

// ---- Characters ----

// Encodes a code point in UTF-8 (RFC 3629, section 3).
void append_utf8(std::string& out, unsigned code_point) {
  const auto append = [&](unsigned byte) { out.push_back(static_cast<char>(byte)); };
  const auto append_continuation = [&](unsigned shift) { append(0x80U | (code_point >> shift & 0x3fU)); };
  if (code_point < 0x80) {
    append(code_point);
  } else if (code_point < 0x800) {
    append(0xc0U | code_point >> 6U);
    append_continuation(0);
  } else if (code_point < 0x10000) {
    append(0xe0U | code_point >> 12U);
    append_continuation(6);
    append_continuation(0);
  } else {
    append(0xf0U | code_point >> 18U);
    append_continuation(12);
    append_continuation(6);
    append_continuation(0);
  }
}

// Appends the character of the `\u` escape whose digits begin at `index`, and advances `index` past it. A
// surrogate without its counterpart becomes U+FFFD, the replacement character.
void append_unicode_escape(std::string& out, std::string_view escaped, std::size_t& index) {
  unsigned code = parse_hex4(escaped.substr(index)).value_or(kReplacementCharacter);
  index += kHexDigits;
  if (code >= kFirstHighSurrogate && code < kSurrogateEnd) {
    const std::string_view rest = escaped.substr(index);
    const auto low = rest.starts_with("\\u") ? parse_hex4(rest.substr(2)) : std::nullopt;
    const bool is_pair =
        code < kFirstLowSurrogate && low && *low >= kFirstLowSurrogate && *low < kSurrogateEnd;
    if (is_pair) {
      code = 0x10000 + ((code - kFirstHighSurrogate) << 10U) + (*low - kFirstLowSurrogate);
      index += 2 + kHexDigits;
    } else {
      code = kReplacementCharacter;
    }
  }
  append_utf8(out, code);
}

// `escaped` is the part of a valid JSON string between its quotes.
std::string unescape(std::string_view escaped) {
  constexpr std::string_view kControlEscapes = "bfnrt";
  constexpr std::string_view kControlCharacters = "\b\f\n\r\t";
  std::string out;
  std::size_t index = 0;
  while (index < escaped.size()) {
    const char c = escaped[index++];
    if (c != '\\') {
      out.push_back(c);
      continue;
    }
    const char kind = escaped[index++];
    if (kind == 'u') {
      append_unicode_escape(out, escaped, index);
      continue;
    }
    const std::size_t control = kControlEscapes.find(kind);
    out.push_back(control == std::string_view::npos ? kind : kControlCharacters[control]);
  }
  return out;
}

// Returns the number of continuation bytes that follow the first byte of a character, or nothing if the byte
// cannot be the first one.
std::optional<std::size_t> utf8_continuation_bytes(unsigned char first) {
  if (first < 0x80) return 0;
  if (first < 0xc2 || first > 0xf4) return std::nullopt;
  if (first < 0xe0) return 1;
  return first < 0xf0 ? 2 : 3;
}

// Checks only that each character has its number of continuation bytes, which random bytes seldom pass.
// Overlong forms of three and four bytes and surrogates are not detected.
bool is_utf8(std::string_view text) {
  std::size_t index = 0;
  while (index < text.size()) {
    const auto continuation_bytes = utf8_continuation_bytes(static_cast<unsigned char>(text[index]));
    if (!continuation_bytes || index + *continuation_bytes >= text.size()) return false;
    for (std::size_t i = 1; i <= *continuation_bytes; ++i) {
      if ((static_cast<unsigned char>(text[index + i]) & 0xc0U) != 0x80U) return false;
    }
    index += 1 + *continuation_bytes;
  }
  return true;
}

std::string_view without_quotes(std::string_view quoted) { return quoted.substr(1, quoted.size() - 2); }

}  // namespace

std::optional<Json> Json::parse(std::string_view text) {
  if (!is_utf8(text)) return std::nullopt;
  skip_whitespace(text);
  std::string_view rest = text;
  if (!skip_value(rest, 0)) return std::nullopt;
  const Json value(text.substr(0, text.size() - rest.size()));
  skip_whitespace(rest);
  if (!rest.empty()) return std::nullopt;
  return value;
}

std::optional<double> Json::number() const {
  double value = 0;
  const char* const end = text_.data() + text_.size();
  const auto [stop, error] = std::from_chars(text_.data(), end, value);
  if (error != std::errc() || stop != end || !std::isfinite(value)) return std::nullopt;
  return value;
}

std::optional<bool> Json::boolean() const {
  if (text_ == "true") return true;
  if (text_ == "false") return false;
  return std::nullopt;
}

std::optional<std::string> Json::text() const {
  if (!is_string()) return std::nullopt;
  return unescape(without_quotes(text_));
}

void Json::for_each_member(const std::function<void(const std::string&, const Json&)>& visit) const {
  if (!is_object()) return;
  std::string_view rest = text_.substr(1);
  skip_whitespace(rest);
  while (!skip_char(rest, '}')) {
    skip_char(rest, ',');
    const std::string_view name = take_value(rest);
    skip_whitespace(rest);
    skip_char(rest, ':');
    visit(unescape(without_quotes(name)), Json(take_value(rest)));
    skip_whitespace(rest);
  }
}

void Json::for_each_element(const std::function<void(const Json&)>& visit) const {
  if (!is_array()) return;
  std::string_view rest = text_.substr(1);
  skip_whitespace(rest);
  while (!skip_char(rest, ']')) {
    skip_char(rest, ',');
    visit(Json(take_value(rest)));
    skip_whitespace(rest);
  }
}

std::optional<Json> Json::member(std::string_view name) const {
  std::optional<Json> found;
  for_each_member([&](const std::string& member_name, const Json& value) {
    if (member_name == name) found = value;
  });
  return found;
}

double Json::number(std::string_view name, double default_value) const {
  const auto found = member(name);
  return found ? found->number().value_or(default_value) : default_value;
}

std::string Json::text(std::string_view name) const {
  const auto found = member(name);
  return found ? found->text().value_or("") : "";
}

std::string json_quoted(std::string_view plain) {
  std::string out = "\"";
  for (const char c : plain) {
    if (c == '"' || c == '\\') {
      out.push_back('\\');
      out.push_back(c);
    } else if (static_cast<unsigned char>(c) < ' ') {
      char escape[8];
      std::snprintf(escape, sizeof escape, "\\u%04x", static_cast<unsigned>(c));
      out += escape;
    } else {
      out.push_back(c);
    }
  }
  return out + "\"";
}

}  // namespace ashbeam
