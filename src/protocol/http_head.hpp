// Parses the head of an HTTP/1.1 message (RFC 9112, sections 2 to 5): its start line and its header fields.
// The bytes may arrive in pieces of any size.
#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/http_syntax.hpp"

namespace ashbeam::http {

// Whether a parser reads requests, as a server does, or responses, as a client does.
enum class MessageType : std::uint8_t { kRequest, kResponse };

// The state of a message, head or body after the bytes received so far.
enum class ParseResult : std::uint8_t {
  kIncomplete,  // more bytes are needed; no error so far
  kComplete,
  kTooLong,  // over the parser's limit
  kInvalid,
};

// One header field. The views point into the head.
struct Field {
  std::string_view name;
  std::string_view value;  // without spaces and tabs around it
  std::string_view line;   // as received, with its CR LF
};

// The parser is strict: only CR LF ends a line, and a field name contains no space. Bytes that cannot be
// continued to a valid head are reported as invalid at once, so that a peer that sends garbage and keeps the
// connection open does not hold it until a timeout.
class Head {
 public:
  static constexpr std::size_t kDefaultMaxFields = 128;
  Head(MessageType type, std::size_t max_bytes, std::size_t max_fields = kDefaultMaxFields)
      : type_(type), max_bytes_(max_bytes), max_fields_(max_fields) {}

  // Consumes the head's bytes from the front of `bytes`. After kTooLong or kInvalid, `bytes` is unspecified.
  ParseResult feed(std::string_view& bytes);
  // Discards the head, so that the next one can be fed.
  void clear();
  // Whether no byte of the current head has been received.
  bool empty() const { return raw_.empty(); }
  // Returns how much memory the head uses.
  std::size_t buffered_bytes() const { return raw_.capacity() + fields_.capacity() * sizeof(Field); }

  // The accessors below may be called once the head is complete. All views point into the head and are valid
  // until it is cleared.
  std::string_view start_line() const { return start_line_; }            // with its CR LF
  std::string_view method() const { return start_line_parts_[0]; }       // of a request
  std::string_view target() const { return start_line_parts_[1]; }       // of a request
  std::string_view status_code() const { return start_line_parts_[1]; }  // of a response
  std::string_view version() const { return start_line_parts_[type_ == MessageType::kRequest ? 2 : 0]; }
  const std::vector<Field>& fields() const { return fields_; }
  // Returns the value of the first field of that name, if there is one. Names are compared without regard to
  // case, here and below.
  std::optional<std::string_view> find(std::string_view name) const;
  // Returns the number of fields of that name.
  unsigned count(std::string_view name) const;
  // Whether `token` is an element of the comma-separated value of a field of that name, compared without
  // regard to case.
  bool has_token(std::string_view name, std::string_view token) const;

 private:
  static constexpr std::size_t kStartLineParts = 3;

  // Inline because they are called for each byte.
  inline std::size_t append_plain_bytes(std::string_view bytes);
  inline ParseResult append(char c);
  inline bool may_continue_start_line(char next) const;
  ParseResult end_line();
  void split_lines();
  void split_start_line();

  MessageType type_;
  std::size_t max_bytes_;
  std::size_t max_fields_;
  std::size_t field_count_ = 0;  // complete field lines
  std::string raw_;
  std::size_t line_begin_ = 0;  // offset of the current line in raw_; 0 while that is the start line
  std::string_view start_line_;
  std::string_view start_line_parts_[kStartLineParts];
  std::vector<Field> fields_;
};

}  // namespace ashbeam::http
