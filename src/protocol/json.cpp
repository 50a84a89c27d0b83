#include "protocol/json.hpp"

#include <charconv>
#include <cmath>
#include <cstdio>

namespace ashbeam {

namespace {

void skip_blanks(std::string_view& s) {
  while (!s.empty() && (s[0] == ' ' || s[0] == '\t' || s[0] == '\n' || s[0] == '\r')) s.remove_prefix(1);
}

bool skip_char(std::string_view& s, char c) {
  if (s.empty() || s[0] != c) return false;
  s.remove_prefix(1);
  return true;
}

bool digit(char c) { return c >= '0' && c <= '9'; }

std::optional<unsigned> hex4(std::string_view s) {
  unsigned code = 0;
  if (s.size() < 4) return std::nullopt;
  const auto [end, error] = std::from_chars(s.data(), s.data() + 4, code, 16);
  if (error != std::errc() || end != s.data() + 4) return std::nullopt;
  return code;
}

bool skip_text(std::string_view& s) {
  if (!skip_char(s, '"')) return false;
  while (!s.empty()) {
    const char c = s[0];
    s.remove_prefix(1);
    if (c == '"') return true;
    if (static_cast<unsigned char>(c) < 0x20) return false;
    if (c != '\\') continue;
    if (s.empty()) return false;
    const char escaped = s[0];
    s.remove_prefix(1);
    if (escaped == 'u') {
      if (!hex4(s)) return false;
      s.remove_prefix(4);
    } else if (std::string_view("\"\\/bfnrt").find(escaped) == std::string_view::npos) {
      return false;
    }
  }
  return false;
}

bool skip_digits(std::string_view& s) {
  if (s.empty() || !digit(s[0])) return false;
  while (!s.empty() && digit(s[0])) s.remove_prefix(1);
  return true;
}

bool skip_number(std::string_view& s) {
  skip_char(s, '-');
  if (s.size() > 1 && s[0] == '0' && digit(s[1])) return false;
  if (!skip_digits(s)) return false;
  if (skip_char(s, '.') && !skip_digits(s)) return false;
  if (skip_char(s, 'e') || skip_char(s, 'E')) {
    if (!skip_char(s, '+')) skip_char(s, '-');
    return skip_digits(s);
  }
  return true;
}

bool skip_word(std::string_view& s, std::string_view word) {
  if (!s.starts_with(word)) return false;
  s.remove_prefix(word.size());
  return true;
}

bool skip_value(std::string_view& s, int depth) {
  skip_blanks(s);
  if (s.empty() || depth > Json::kDeepest) return false;
  const char first = s[0];
  if (first == '"') return skip_text(s);
  if (first == 't') return skip_word(s, "true");
  if (first == 'f') return skip_word(s, "false");
  if (first == 'n') return skip_word(s, "null");
  if (first != '{' && first != '[') return skip_number(s);
  const char last = first == '{' ? '}' : ']';
  s.remove_prefix(1);
  skip_blanks(s);
  if (skip_char(s, last)) return true;
  while (true) {
    if (first == '{') {
      skip_blanks(s);
      if (!skip_text(s)) return false;
      skip_blanks(s);
      if (!skip_char(s, ':')) return false;
    }
    if (!skip_value(s, depth + 1)) return false;
    skip_blanks(s);
    if (skip_char(s, last)) return true;
    if (!skip_char(s, ',')) return false;
  }
}

// The next value of text that is known to be good.
std::string_view next_value(std::string_view& s) {
  skip_blanks(s);
  const char* const from = s.data();
  skip_value(s, 0);
  return {from, static_cast<std::size_t>(s.data() - from)};
}

void put_utf8(std::string& to, unsigned code) {
  const auto put = [&](unsigned byte) { to.push_back(static_cast<char>(byte)); };
  if (code < 0x80) {
    put(code);
  } else if (code < 0x800) {
    put(0xc0 | code >> 6U), put(0x80 | (code & 0x3fU));
  } else if (code < 0x10000) {
    put(0xe0 | code >> 12U), put(0x80 | (code >> 6U & 0x3fU)), put(0x80 | (code & 0x3fU));
  } else {
    put(0xf0 | code >> 18U), put(0x80 | (code >> 12U & 0x3fU)), put(0x80 | (code >> 6U & 0x3fU)),
        put(0x80 | (code & 0x3fU));
  }
}

std::string unescaped(std::string_view s) {  // without its quotes
  std::string out;
  for (std::size_t i = 0; i < s.size(); ++i) {
    if (s[i] != '\\') {
      out.push_back(s[i]);
      continue;
    }
    const char c = s[++i];
    if (c != 'u') {
      const std::size_t at = std::string_view("bfnrt").find(c);
      out.push_back(at == std::string_view::npos ? c : "\b\f\n\r\t"[at]);
      continue;
    }
    unsigned code = *hex4(s.substr(i + 1));
    i += 4;
    if (code >= 0xd800 && code < 0xe000) {  // half of a pair; alone it stands for nothing
      const auto low = s.substr(i + 1).starts_with("\\u") ? hex4(s.substr(i + 3)) : std::nullopt;
      if (code < 0xdc00 && low && *low >= 0xdc00 && *low < 0xe000) {
        code = 0x10000 + ((code - 0xd800) << 10U) + (*low - 0xdc00);
        i += 6;
      } else {
        code = 0xfffd;
      }
    }
    put_utf8(out, code);
  }
  return out;
}

// Noise among good bytes is seldom good UTF-8.
bool utf8(std::string_view s) {
  for (std::size_t i = 0; i < s.size(); ++i) {
    const auto first = static_cast<unsigned char>(s[i]);
    const std::size_t more = first < 0x80 ? 0 : first < 0xe0 ? 1 : first < 0xf0 ? 2 : 3;
    if ((first >= 0x80 && first < 0xc2) || first > 0xf4 || i + more >= s.size()) return false;
    for (std::size_t end = i + more; i < end;) {
      if ((static_cast<unsigned char>(s[++i]) & 0xc0U) != 0x80U) return false;
    }
  }
  return true;
}

}  // namespace

std::optional<Json> Json::parse(std::string_view text) {
  if (!utf8(text)) return std::nullopt;
  skip_blanks(text);
  std::string_view rest = text;
  if (!skip_value(rest, 0)) return std::nullopt;
  const Json found(text.substr(0, text.size() - rest.size()));
  skip_blanks(rest);
  if (!rest.empty()) return std::nullopt;
  return found;
}

std::optional<double> Json::number() const {
  double v = 0;
  const char* const end = text_.data() + text_.size();
  const auto [stop, error] = std::from_chars(text_.data(), end, v);
  if (error != std::errc() || stop != end || !std::isfinite(v)) return std::nullopt;
  return v;
}

std::optional<bool> Json::truth() const {
  if (text_ == "true") return true;
  if (text_ == "false") return false;
  return std::nullopt;
}

std::optional<std::string> Json::text() const {
  if (!is_text()) return std::nullopt;
  return unescaped(text_.substr(1, text_.size() - 2));
}

void Json::each_member(const std::function<void(const std::string&, const Json&)>& what) const {
  if (!is_object()) return;
  std::string_view rest = text_.substr(1);
  skip_blanks(rest);
  while (!skip_char(rest, '}')) {
    skip_char(rest, ',');
    const std::string_view name = next_value(rest);
    skip_blanks(rest);
    skip_char(rest, ':');
    what(unescaped(name.substr(1, name.size() - 2)), Json(next_value(rest)));
    skip_blanks(rest);
  }
}

void Json::each_item(const std::function<void(const Json&)>& what) const {
  if (!is_list()) return;
  std::string_view rest = text_.substr(1);
  skip_blanks(rest);
  while (!skip_char(rest, ']')) {
    skip_char(rest, ',');
    what(Json(next_value(rest)));
    skip_blanks(rest);
  }
}

std::optional<Json> Json::member(std::string_view name) const {
  std::optional<Json> found;
  each_member([&](const std::string& key, const Json& value) {
    if (key == name) found = value;
  });
  return found;
}

double Json::number(std::string_view name, double otherwise) const {
  const auto found = member(name);
  return found ? found->number().value_or(otherwise) : otherwise;
}

std::string Json::text(std::string_view name) const {
  const auto found = member(name);
  return found ? found->text().value_or("") : "";
}

std::string json_text(std::string_view plain) {
  std::string out = "\"";
  for (const char c : plain) {
    if (c == '"' || c == '\\') {
      out.push_back('\\');
      out.push_back(c);
    } else if (static_cast<unsigned char>(c) < 0x20) {
      char code[8];
      std::snprintf(code, sizeof code, "\\u%04x", static_cast<unsigned>(c));
      out += code;
    } else {
      out.push_back(c);
    }
  }
  return out + "\"";
}

}  // namespace ashbeam
