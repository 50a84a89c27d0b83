// Splits the text of typed records into tokens. Blanks and comments (from // to the line's end) are skipped;
// line ends are tokens.
#pragma once
#include <cstddef>
#include <string>
#include <string_view>

#include "records/problem.hpp"

namespace ashbeam::records {

struct Token {
  enum class Kind {
    kEnd,
    kLineEnd,
    kIdentifier,  // letters, digits, _ and #
    kString,      // `text` is without quotes and escapes
    kNumber,
    kPunctuation,  // punctuation: one character, or one of >= <= != =~ ...
    kInvalid,      // `text` says what was wanted
  };
  Kind kind = Kind::kEnd;
  std::string text;
  Position position;  // of its first character
};

class Lexer {
 public:
  // `text` has to outlive the lexer.
  explicit Lexer(std::string_view text) : text_(text) {}

  // The next token; kEnd again and again once the text is over.
  Token next();
  // Gives up the rest of the text.
  void skip_to_end() { offset_ = text_.size(); }

 private:
  char peek(std::size_t ahead = 0) const;
  char take();  // moves on by one character
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
