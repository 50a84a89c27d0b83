// Parses the HTTP/1.1 messages (RFC 9112) of one direction of a connection, one after another. The bytes may
// arrive in pieces of any size. Heads and bodies are kept byte for byte as received. The parser does no input
// or output of its own.
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

// Call `feed` until the message is complete, read the message, then call `start_next_message`. A message
// whose end is ambiguous is invalid (RFC 9112, section 6.3).
class MessageParser {
 public:
  using MessageType = http::MessageType;
  MessageParser(MessageType type, std::size_t max_head_bytes, std::size_t max_body_bytes,
                std::size_t max_fields = Head::kDefaultMaxFields)
      : type_(type), head_(type, max_head_bytes, max_fields), body_(max_body_bytes) {}

  // Consumes the bytes of the current message from the front of `bytes`. Never returns kTooLong: a head or
  // body over its limit is kInvalid, and error_status() says which limit was exceeded.
  ParseResult feed(std::string_view& bytes);
  // Called when the peer has closed the stream. Returns kComplete if the body is delimited by the close, or
  // if the message was complete before; otherwise kInvalid.
  ParseResult on_end_of_stream();
  // Discards the current message and frees its body. Called before the bytes of the next message are fed.
  void start_next_message();

  // Whether any byte of the current message has been received.
  bool has_started() const { return in_body_ || !head_.empty(); }
  // Returns how much memory the message uses.
  std::size_t buffered_bytes() const { return head_.buffered_bytes() + raw_body_.capacity(); }
  // After `feed` has returned kInvalid: the status code with which a server answers such a request. 0 while
  // there is no error.
  unsigned error_status() const { return error_status_; }
  const Head& head() const { return head_; }
  // The body as received, with the chunked coding's framing if it has any.
  const std::string& raw_body() const { return raw_body_; }
  // Moves the body out of the parser.
  std::string take_raw_body() { return std::move(raw_body_); }
  // Whether the body ends only when the connection is closed.
  bool is_body_close_delimited() const { return body_.is_close_delimited(); }
  // The status code of a response.
  unsigned status() const { return status_; }
  // Whether the connection is closed after this message (RFC 9112, section 9.3).
  bool closes_connection() const;

 private:
  ParseResult feed_head(std::string_view& bytes);
  ParseResult feed_body(std::string_view& bytes);
  ParseResult set_error(unsigned error_status);
  // These return 0, or the status code of the error.
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

// Returns the reason phrase of a status code (RFC 9110, section 15), or "Status" for codes that this program
// does not send.
std::string_view reason_phrase(unsigned status);

}  // namespace ashbeam::http
