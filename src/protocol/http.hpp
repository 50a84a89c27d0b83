// HTTP/1.1 messages (RFC 9112) off a byte stream, at any split, one after another. Bytes are kept as they
// came. No sockets here.
#pragma once
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "protocol/http_body.hpp"
#include "protocol/http_head.hpp"
#include "protocol/http_syntax.hpp"

namespace ashbeam::http {

// Order of calls: `feed` until the message is complete, read it, `start_next_message`. A message whose end
// could be read in two ways is invalid (RFC 9112, section 6.3).
class MessageParser {
 public:
  using MessageType = http::MessageType;
  MessageParser(MessageType type, std::size_t max_head_bytes, std::size_t max_body_bytes)
      : type_(type), head_(type, max_head_bytes), body_(max_body_bytes) {}

  // Removes from the front of `bytes` what belongs to the message at hand. Never kTooLong: that is kInvalid,
  // as error_status() says.
  ParseResult feed(std::string_view& bytes);
  // The peer has closed the connection: complete where a body may end so, else invalid.
  ParseResult on_end_of_stream();
  // The message at hand is done with.
  void start_next_message();

  // Has a byte of the message at hand come?
  bool has_started() const { return in_body_ || !head_.empty(); }
  // Once invalid: the status that a client gets for such a request.
  unsigned error_status() const { return error_status_; }
  const Head& head() const { return head_; }
  const std::string& raw_body() const { return raw_body_; }
  std::string take_raw_body() { return std::move(raw_body_); }
  bool is_body_close_delimited() const { return body_.is_close_delimited(); }
  // Of an answer.
  unsigned status() const { return status_; }
  // Does the connection end after this message (RFC 9112, section 9.3)?
  bool closes_connection() const;

 private:
  ParseResult feed_head(std::string_view& bytes);
  ParseResult feed_body(std::string_view& bytes);
  ParseResult set_error(unsigned error_status);
  // These return 0, or the error status.
  unsigned check_request_line() const;
  unsigned parse_status();
  unsigned choose_framing();
  bool is_interim_response() const { return status_ >= 100 && status_ < 200; }

  MessageType type_;
  Head head_;
  Body body_;
  std::string raw_body_;
  bool in_body_ = false;
  bool complete_ = false;
  unsigned error_status_ = 0;
  unsigned status_ = 0;
};

// RFC 9110, section 15; "Status" for statuses that this program doesn't send.
std::string_view reason_phrase(unsigned status);

}  // namespace ashbeam::http
