#include "records/lexer.hpp"

#include "records/limits.hpp"

namespace ashbeam::records {

namespace {

bool is_digit(char c) { return c >= '0' && c <= '9'; }

bool is_identifier_start(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_' || c == '#';
}

// Whether the byte is one of a UTF-8 character other than its first.
bool is_continuation_byte(char c) { return (static_cast<unsigned char>(c) & 0xC0U) == 0x80U; }

// Returns the number of continuation bytes that follow the first byte of a character, or -1 if the byte
// cannot be the first one.
int continuation_bytes(char first) {
  const auto byte = static_cast<unsigned char>(first);
  if (byte < 0x80) return 0;
  if (byte >= 0xc2 && byte < 0xe0) return 1;
  if (byte >= 0xe0 && byte < 0xf0) return 2;
  if (byte >= 0xf0 && byte < 0xf5) return 3;
  return -1;
}

// Checks the text against RFC 3629, except that surrogates and overlong forms of three and four bytes are
// accepted; no code here compares strings that contain them.
bool is_utf8(std::string_view text) {
  for (std::size_t i = 0; i < text.size();) {
    const int continuation_count = continuation_bytes(text[i++]);
    if (continuation_count < 0) return false;
    for (int k = 0; k < continuation_count; ++k, ++i) {
      if (i >= text.size() || !is_continuation_byte(text[i])) return false;
    }
  }
  return true;
}

// Returns whether the two characters are one of the operators >= <= != =~.
bool is_operator_of_two(char first, char second) {
  if (second == '=') return first == '>' || first == '<' || first == '!';
  return first == '=' && second == '~';
}

void mark_invalid(Token& token, const char* expected) {
  token.kind = Token::Kind::kInvalid;
  token.text = expected;
}

// Returns the character that an escape sequence stands for, or NUL if there is no such sequence. `escape` is
// the character after the backslash.
char unescape(char escape) {
  switch (escape) {
    case 'n':
      return '\n';
    case 't':
      return '\t';
    case '"':
    case '\\':
      return escape;
    default:
      return '\0';
  }
}

}  // namespace

char Lexer::peek(std::size_t ahead) const {
  return offset_ + ahead < text_.size() ? text_[offset_ + ahead] : '\0';
}

char Lexer::take() {
  const char c = text_[offset_++];
  if (c == '\n') {
    ++position_.line;
    position_.column = 1;
  } else if (!is_continuation_byte(c)) {
    ++position_.column;
  }
  return c;
}

void Lexer::skip_whitespace_and_comments() {
  for (;;) {
    while (peek() == ' ' || peek() == '\t' || peek() == '\r') take();
    if (peek() != '/' || peek(1) != '/') return;
    while (!is_at_end() && peek() != '\n') take();
  }
}

Token Lexer::next() {
  skip_whitespace_and_comments();
  Token token;
  token.position = position_;
  if (is_at_end()) return token;
  const char c = peek();
  if (c == '\n') {
    token.kind = Token::Kind::kLineEnd;
    take();
  } else if (c == '"') {
    read_string(token);
  } else if (is_identifier_start(c)) {
    read_identifier(token);
  } else if (is_digit(c) || (c == '-' && is_digit(peek(1)))) {
    read_number(token);
  } else {
    read_punctuation(token);
  }
  return token;
}

void Lexer::read_identifier(Token& token) {
  token.kind = Token::Kind::kIdentifier;
  do token.text += take();
  while (is_identifier_start(peek()) || is_digit(peek()));
}

void Lexer::read_number(Token& token) {
  token.kind = Token::Kind::kNumber;
  do token.text += take();
  while (may_continue_number(token.text));
}

// Accepts more than numbers contain, so that a malformed number is a single token, which the parser then
// rejects as a whole.
bool Lexer::may_continue_number(const std::string& read) const {
  const char c = peek();
  if (is_digit(c) || is_identifier_start(c) || c == '.') return true;
  const bool after_exponent = read.back() == 'e' || read.back() == 'E';
  return (c == '-' || c == '+') && after_exponent;
}

void Lexer::read_punctuation(Token& token) {
  token.kind = Token::Kind::kPunctuation;
  const char first = take();
  token.text = first;
  if (is_operator_of_two(first, peek())) token.text += take();
  if (first == '.' && peek() == '.' && peek(1) == '.') {
    token.text += take();
    token.text += take();
  }
}

void Lexer::read_string(Token& token) {
  token.kind = Token::Kind::kString;
  take();  // the opening quote
  while (peek() != '"') {
    if (is_at_end() || peek() == '\n') return mark_invalid(token, "a string closed on the same line");
    char c = take();
    if (static_cast<unsigned char>(c) < ' ')
      return mark_invalid(token, "a string without control characters");
    if (c == '\\') {
      c = unescape(peek());
      if (c == '\0') return mark_invalid(token, R"(one of the escapes \n \t \" \\)");
      take();
    }
    token.text += c;
    if (token.text.size() > kMaxStringBytes) return mark_invalid(token, "a string of at most 4096 bytes");
  }
  take();  // the closing quote
  if (!is_utf8(token.text)) mark_invalid(token, "a string in valid UTF-8");
}

}  // namespace ashbeam::records
