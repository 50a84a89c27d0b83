// The head of an HTTP/1.1 message (RFC 9112, sections 2 to 5): its start line and its fields, off a byte
// stream at any split.
#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/http_syntax.hpp"

namespace ashbeam::http {

enum class MessageType : std::uint8_t { kRequest, kResponse };

// What a parser has made of the bytes so far.
enum class ParseResult : std::uint8_t {
  kIncomplete,  // and no fault yet
  kComplete,
  kTooLong,
  kInvalid,
};

struct Field {
  std::string_view name;
  std::string_view value;  // trimmed
  std::string_view line;   // with its CR LF, as it came
};

// Only CR LF ends a line, and a field's name holds no space. What can't become a head any more is invalid at
// once: a peer that sends noise and keeps the connection open is not waited for.
class Head {
 public:
  Head(MessageType type, std::size_t max_bytes) : type_(type), max_bytes_(max_bytes) {}

  // Removes from the front of `bytes` what belongs to the head; after a fault, `bytes` is unspecified.
  ParseResult feed(std::string_view& bytes);
  void clear();
  // Has nothing come since the last head?
  bool empty() const { return raw_.empty(); }

  // Once complete. All views point into the head, and stand until it is cleared.
  std::string_view start_line() const { return start_line_; }            // with its CR LF
  std::string_view method() const { return start_line_parts_[0]; }       // of a request
  std::string_view target() const { return start_line_parts_[1]; }       // of a request
  std::string_view status_code() const { return start_line_parts_[1]; }  // of an answer
  std::string_view version() const { return start_line_parts_[type_ == MessageType::kRequest ? 2 : 0]; }
  const std::vector<Field>& fields() const { return fields_; }
  // The value of the first field of that name.
  std::optional<std::string_view> find(std::string_view name) const;
  unsigned count(std::string_view name) const;
  // Is `token` an element of a field's comma-separated value? Without regard to case.
  bool has_token(std::string_view name, std::string_view token) const;

 private:
  static constexpr std::size_t kStartLineParts = 3;

  // Inline: once or more for each byte.
  inline std::size_t append_plain_bytes(std::string_view bytes);
  inline ParseResult append(char c);
  inline bool may_continue_start_line(char next) const;
  ParseResult end_line();
  void split_lines();
  void split_start_line();

  MessageType type_;
  std::size_t max_bytes_;
  std::string raw_;
  std::size_t line_begin_ = 0;  // of the line at hand, in raw_; 0: the start line
  std::string_view start_line_;
  std::string_view start_line_parts_[kStartLineParts];
  std::vector<Field> fields_;
};

}  // namespace ashbeam::http
