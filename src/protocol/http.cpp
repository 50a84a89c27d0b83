#include "protocol/http.hpp"

#include <algorithm>

#include "protocol/header_names.hpp"

namespace ashbeam::http {

namespace {

constexpr unsigned kNoError = 0;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kContentTooLarge = 413;
constexpr unsigned kHeaderFieldsTooLarge = 431;
constexpr unsigned kNotImplemented = 501;
constexpr unsigned kVersionNotSupported = 505;

constexpr unsigned kNoContent = 204;
constexpr unsigned kNotModified = 304;
constexpr std::size_t kStatusDigits = 3;

}  // namespace

ParseResult MessageParser::set_error(unsigned error_status) {
  error_status_ = error_status;
  return ParseResult::kInvalid;
}

ParseResult MessageParser::feed(std::string_view& bytes) {
  if (error_status_ != kNoError) return ParseResult::kInvalid;
  while (!complete_) {
    const bool was_in_body = in_body_;
    const ParseResult result = in_body_ ? feed_body(bytes) : feed_head(bytes);
    if (result != ParseResult::kComplete) return result;
    complete_ = was_in_body;
  }
  return ParseResult::kComplete;
}

// Also returns kComplete after the head of an interim (1xx) response. That head is skipped, and the final
// response is expected next.
ParseResult MessageParser::feed_head(std::string_view& bytes) {
  switch (head_.feed(bytes)) {
    case ParseResult::kIncomplete:
      return ParseResult::kIncomplete;
    case ParseResult::kTooLong:
      return set_error(kHeaderFieldsTooLarge);
    case ParseResult::kInvalid:
      return set_error(kBadRequest);
    case ParseResult::kComplete:
      break;
  }
  unsigned error = type_ == MessageType::kRequest ? check_request_line() : parse_status();
  if (error == kNoError) error = choose_framing();
  if (error != kNoError) return set_error(error);
  if (is_interim_response()) start_next_message();
  else in_body_ = true;
  return ParseResult::kComplete;
}

ParseResult MessageParser::feed_body(std::string_view& bytes) {
  switch (body_.feed(bytes, raw_body_)) {
    case ParseResult::kIncomplete:
      return ParseResult::kIncomplete;
    case ParseResult::kTooLong:
      return set_error(kContentTooLarge);
    case ParseResult::kInvalid:
      return set_error(kBadRequest);
    case ParseResult::kComplete:
      break;
  }
  return ParseResult::kComplete;
}

unsigned MessageParser::check_request_line() const {
  const std::string_view target = head_.target();
  if (head_.method().empty() || target.empty() || target.front() != '/') return kBadRequest;
  if (!is_path_with_query(target)) return kBadRequest;
  if (head_.version() == "HTTP/1.1") return kNoError;
  return head_.version().starts_with("HTTP/") ? kVersionNotSupported : kBadRequest;
}

unsigned MessageParser::parse_status() {
  const auto status = parse_decimal(head_.status_code());
  if (!status || head_.status_code().size() != kStatusDigits) return kBadRequest;
  status_ = static_cast<unsigned>(*status);
  return kNoError;
}

// Chooses how the body is delimited (RFC 9112, section 6.3). Messages with both Content-Length and
// Transfer-Encoding, or with either of them repeated, are rejected: an endpoint might find the end of such a
// message at another byte than this router does (request smuggling).
unsigned MessageParser::choose_framing() {
  const auto length_value = head_.find(header::kContentLength);
  const auto transfer_coding = head_.find(header::kTransferEncoding);
  if (head_.count(header::kContentLength) + head_.count(header::kTransferEncoding) > 1) return kBadRequest;
  if (transfer_coding) {
    if (!equals_ignoring_case(*transfer_coding, "chunked"))
      return type_ == MessageType::kRequest ? kNotImplemented : kBadRequest;
    body_.expect_chunked();
    return kNoError;
  }
  if (length_value) {
    const auto length = parse_decimal(*length_value);
    if (!length) return kBadRequest;
    body_.expect_length(*length);
    return kNoError;
  }
  const bool has_no_body =
      type_ == MessageType::kRequest || status_ < 200 || status_ == kNoContent || status_ == kNotModified;
  if (has_no_body) body_.expect_none();
  else body_.expect_until_close();
  return kNoError;
}

ParseResult MessageParser::on_end_of_stream() {
  if (error_status_ == kNoError && in_body_ && body_.is_close_delimited()) complete_ = true;
  return complete_ ? ParseResult::kComplete : ParseResult::kInvalid;
}

void MessageParser::start_next_message() {
  head_.clear();
  // Frees the memory: an idle connection must not keep the capacity of its largest body.
  std::string().swap(raw_body_);
  in_body_ = false;
  complete_ = false;
  error_status_ = kNoError;
  status_ = 0;
}

bool MessageParser::closes_connection() const {
  if (body_.is_close_delimited() || head_.has_token(header::kConnection, "close")) return true;
  return type_ == MessageType::kResponse && head_.version() == "HTTP/1.0" &&
         !head_.has_token(header::kConnection, "keep-alive");
}

std::string_view reason_phrase(unsigned status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 403:
      return "Forbidden";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 413:
      return "Content Too Large";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 501:
      return "Not Implemented";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    case 505:
      return "HTTP Version Not Supported";
    default:
      return "Status";
  }
}

}  // namespace ashbeam::http
