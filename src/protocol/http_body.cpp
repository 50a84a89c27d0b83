#include "protocol/http_body.hpp"

#include <algorithm>

#include "protocol/header_names.hpp"

namespace ashbeam::http {

namespace {

constexpr std::size_t kMaxTrailerLineBytes = 1024;

// A recipient may merge trailer fields into the head, so those that frame or identify a message are refused
// there (RFC 9110, section 6.5.1).
constexpr std::string_view kForbiddenTrailers[] = {
    header::kContentLength,  header::kTransferEncoding, header::kConnection,
    header::kHost,           header::kRequestId,        header::kTenant,
    header::kIdempotencyKey, header::kTimeLeftMs,       header::kSessionKey,
    header::kFacts,          header::kUnprocessed};

bool is_allowed_trailer(std::string_view line) {
  const std::string_view name = line.substr(0, line.find(':'));
  return std::none_of(std::begin(kForbiddenTrailers), std::end(kForbiddenTrailers),
                      [name](std::string_view one) { return equals_ignoring_case(name, one); });
}

}  // namespace

bool Body::is_inside_chunk() const {
  if (framing_ != Framing::kChunked) return false;
  switch (chunk_state_) {
    case ChunkState::kSize:
      return chunk_size_digits_ > 0;
    case ChunkState::kExtension:
    case ChunkState::kSizeLineFeed:
    case ChunkState::kData:
      return true;
    default:
      return false;
  }
}

void Body::begin(Framing framing, std::uint64_t length) {
  framing_ = framing;
  remaining_ = length;
  chunk_state_ = ChunkState::kSize;
  decoded_bytes_ = 0;
  framing_bytes_ = 0;
  chunk_size_digits_ = 0;
  trailer_line_.clear();
}

ParseResult Body::feed(std::string_view& bytes, std::string& raw, std::string* decoded) {
  std::size_t used = bytes.size();
  ParseResult result = ParseResult::kIncomplete;
  if (framing_ == Framing::kChunked) {
    result = feed_chunks(bytes, used, decoded);
  } else {
    result = framing_ == Framing::kLength ? feed_length(used) : feed_until_close(used);
    if (result == ParseResult::kTooLong) return result;
    if (decoded) decoded->append(bytes.substr(0, used));
  }
  raw.append(bytes.substr(0, used));
  bytes.remove_prefix(used);
  return result;
}

// `used` is the number of bytes available, and is set to the number of those that belong to the body.
ParseResult Body::feed_length(std::size_t& used) {
  if (remaining_ > max_bytes_) return ParseResult::kTooLong;
  used = static_cast<std::size_t>(std::min<std::uint64_t>(remaining_, used));
  remaining_ -= used;
  return remaining_ == 0 ? ParseResult::kComplete : ParseResult::kIncomplete;
}

ParseResult Body::feed_until_close(std::size_t used) {
  decoded_bytes_ += used;
  return decoded_bytes_ > max_bytes_ ? ParseResult::kTooLong : ParseResult::kIncomplete;
}

// ---- Chunked transfer coding (RFC 9112, section 7.1) ----

ParseResult Body::feed_chunk_size(char c) {
  if (const auto digit = parse_hex_digit(c)) {
    if (++chunk_size_digits_ > kMaxChunkSizeDigits) return ParseResult::kTooLong;
    remaining_ = remaining_ * 16 + *digit;
    return ParseResult::kIncomplete;
  }
  if (chunk_size_digits_ == 0) return ParseResult::kInvalid;
  if (c == '\r') chunk_state_ = ChunkState::kSizeLineFeed;
  else if (c == ';' || c == ' ' || c == '\t') chunk_state_ = ChunkState::kExtension;
  else return ParseResult::kInvalid;
  return ParseResult::kIncomplete;
}

ParseResult Body::end_chunk_size_line(char c) {
  if (c != '\n') return ParseResult::kInvalid;
  decoded_bytes_ += remaining_;
  if (decoded_bytes_ > max_bytes_) return ParseResult::kTooLong;
  chunk_state_ = remaining_ > 0 ? ChunkState::kData : ChunkState::kTrailerStart;
  chunk_size_digits_ = 0;
  return ParseResult::kIncomplete;
}

ParseResult Body::expect_char(char c, char expected, ChunkState next) {
  if (c != expected) return ParseResult::kInvalid;
  chunk_state_ = next;
  return ParseResult::kIncomplete;
}

ParseResult Body::feed_extension(char c) {
  if (c == '\r') chunk_state_ = ChunkState::kSizeLineFeed;
  else if (is_control_char(c)) return ParseResult::kInvalid;
  return ParseResult::kIncomplete;
}

ParseResult Body::feed_trailer(char c) {
  if (trailer_line_.size() >= kMaxTrailerLineBytes) return ParseResult::kTooLong;
  trailer_line_.push_back(c);
  if (c == '\r') chunk_state_ = ChunkState::kTrailerLineFeed;
  if (c != '\n') return ParseResult::kIncomplete;
  chunk_state_ = ChunkState::kTrailerStart;
  const bool allowed = is_field_line(trailer_line_) && is_allowed_trailer(trailer_line_);
  trailer_line_.clear();
  return allowed ? ParseResult::kIncomplete : ParseResult::kInvalid;
}

ParseResult Body::feed_chunk_framing(char c) {
  // Without this limit, a body in chunks of one byte could take six times its decoded size.
  if (++framing_bytes_ > max_bytes_) return ParseResult::kTooLong;
  switch (chunk_state_) {
    case ChunkState::kSize:
      return feed_chunk_size(c);
    case ChunkState::kExtension:
      return feed_extension(c);
    case ChunkState::kSizeLineFeed:
      return end_chunk_size_line(c);
    case ChunkState::kDataCarriageReturn:
      return expect_char(c, '\r', ChunkState::kDataLineFeed);
    case ChunkState::kDataLineFeed:
      return expect_char(c, '\n', ChunkState::kSize);
    case ChunkState::kTrailerStart:
      if (c == '\r') return expect_char(c, '\r', ChunkState::kLastLineFeed);
      chunk_state_ = ChunkState::kTrailerLine;
      return c == '\n' ? ParseResult::kInvalid : feed_trailer(c);
    case ChunkState::kTrailerLine:
      return c == '\n' ? ParseResult::kInvalid : feed_trailer(c);
    case ChunkState::kTrailerLineFeed:
      return c == '\n' ? feed_trailer(c) : ParseResult::kInvalid;
    case ChunkState::kLastLineFeed:
      return c == '\n' ? ParseResult::kComplete : ParseResult::kInvalid;
    case ChunkState::kData:
      break;
  }
  return ParseResult::kIncomplete;
}

ParseResult Body::feed_chunks(std::string_view bytes, std::size_t& used, std::string* decoded) {
  used = 0;
  while (used < bytes.size()) {
    if (chunk_state_ == ChunkState::kData) {
      used += consume_chunk_data(bytes.substr(used), decoded);
      continue;
    }
    const ParseResult result = feed_chunk_framing(bytes[used]);
    ++used;
    if (result != ParseResult::kIncomplete) return result;
  }
  return ParseResult::kIncomplete;
}

std::size_t Body::consume_chunk_data(std::string_view bytes, std::string* decoded) {
  const auto count = static_cast<std::size_t>(std::min<std::uint64_t>(remaining_, bytes.size()));
  if (decoded) decoded->append(bytes.substr(0, count));
  remaining_ -= count;
  if (remaining_ == 0) chunk_state_ = ChunkState::kDataCarriageReturn;
  return count;
}

}  // namespace ashbeam::http
