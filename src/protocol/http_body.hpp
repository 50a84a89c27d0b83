// Parses the body of an HTTP/1.1 message (RFC 9112, sections 6 and 7). The body has a known length, is in the
// chunked transfer coding, or ends when the connection is closed. Its bytes may arrive in pieces of any size.
#pragma once
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "protocol/http_head.hpp"

namespace ashbeam::http {

// Call one of the expect_ functions before the first byte of each message, then `feed` until the body is
// complete.
class Body {
 public:
  // `max_bytes` limits the decoded body. The framing of the chunked coding (sizes, extensions, trailers, line
  // ends) has a separate limit of the same size.
  explicit Body(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  // Set how the next body is delimited. A body of length 0 is complete at the first call of `feed`.
  void expect_none() { begin(Framing::kLength, 0); }
  void expect_length(std::uint64_t length) { begin(Framing::kLength, length); }
  void expect_chunked() { begin(Framing::kChunked, 0); }
  void expect_until_close() { begin(Framing::kUntilClose, 0); }

  // Consumes the body's bytes from the front of `bytes`. Appends them to `raw` as received and, if `decoded`
  // is not null, to `decoded` without the chunked coding's framing.
  ParseResult feed(std::string_view& bytes, std::string& raw, std::string* decoded = nullptr);
  // Whether the body ends only when the connection is closed.
  bool is_close_delimited() const { return framing_ == Framing::kUntilClose; }
  // Whether the first byte of a chunk's size has been received and the last byte of its data has not.
  bool is_inside_chunk() const;

 private:
  enum class Framing : std::uint8_t { kLength, kChunked, kUntilClose };
  // The part of a chunked body to which the next byte belongs.
  enum class ChunkState : std::uint8_t {
    kSize,
    kExtension,
    kSizeLineFeed,
    kData,
    kDataCarriageReturn,
    kDataLineFeed,
    kTrailerStart,  // the first byte of a trailer field, or of the empty line that ends the body
    kTrailerLine,
    kTrailerLineFeed,
    kLastLineFeed,
  };
  static constexpr unsigned kMaxChunkSizeDigits = 8;

  void begin(Framing framing, std::uint64_t length);
  ParseResult feed_length(std::size_t& used);
  ParseResult feed_until_close(std::size_t used);
  ParseResult feed_chunks(std::string_view bytes, std::size_t& used, std::string* decoded);
  std::size_t consume_chunk_data(std::string_view bytes, std::string* decoded);
  // Inline because they are called for each byte of the framing.
  inline ParseResult feed_chunk_framing(char c);
  inline ParseResult feed_chunk_size(char c);
  inline ParseResult end_chunk_size_line(char c);
  inline ParseResult expect_char(char c, char expected, ChunkState next);
  inline ParseResult feed_extension(char c);
  inline ParseResult feed_trailer(char c);

  std::size_t max_bytes_;
  Framing framing_ = Framing::kLength;
  ChunkState chunk_state_ = ChunkState::kSize;
  std::uint64_t remaining_ = 0;  // bytes left of a body of known length, or of the current chunk
  std::uint64_t decoded_bytes_ = 0;
  std::uint64_t framing_bytes_ = 0;
  unsigned chunk_size_digits_ = 0;
  std::string trailer_line_;  // the bytes received of the current trailer field
};

}  // namespace ashbeam::http
