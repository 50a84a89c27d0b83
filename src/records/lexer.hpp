// Splits the text of typed records into tokens. Spaces, tabs, carriage returns and comments (from // to the
// end of the line) are skipped. Line ends are tokens.
#pragma once
#include <cstddef>
#include <string>
#include <string_view>

#include "records/problem.hpp"

namespace ashbeam::records {

// One token, with its place in the text.
struct Token {
  enum class Kind {
    kEnd,  // the end of the text
    kLineEnd,
    kIdentifier,  // letters, digits, _ and #; does not begin with a digit
    kString,      // `text` holds the characters without quotes and escapes
    kNumber,
    kPunctuation,  // one character, or one of >= <= != =~ ...
    kInvalid,      // a malformed string; `text` says what was expected
  };
  Kind kind = Kind::kEnd;
  std::string text;
  Position position;  // of the token's first character
};

class Lexer {
 public:
  // `text` must outlive the lexer.
  explicit Lexer(std::string_view text) : text_(text) {}

  // Returns the next token. At the end of the text, each call returns kEnd.
  Token next();
  // Skips the rest of the text: the next token is kEnd.
  void skip_to_end() { offset_ = text_.size(); }

 private:
  // Returns the byte that is `ahead` bytes further, or NUL past the end of the text.
  char peek(std::size_t ahead = 0) const;
  // Returns the next byte and advances past it.
  char take();
  bool is_at_end() const { return offset_ >= text_.size(); }
  void skip_whitespace_and_comments();
  void read_identifier(Token& token);
  void read_number(Token& token);
  bool may_continue_number(const std::string& read) const;
  void read_string(Token& token);
  void read_punctuation(Token& token);

  std::string_view text_;
  std::size_t offset_ = 0;
  Position position_{1, 1};
};

}  // namespace ashbeam::records
