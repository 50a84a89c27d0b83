// The body of an HTTP/1.1 message (RFC 9112, sections 6 and 7), off a byte stream at any split: of a given
// length, in chunks, or up to the end of the stream.
#pragma once
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "protocol/http_head.hpp"

namespace ashbeam::http {

class Body {
 public:
  // `max_bytes` bounds the decoded body; the framing of chunks may take as much again.
  explicit Body(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  // One of these for each message, before its first byte.
  void expect_none() { begin(Framing::kLength, 0); }
  void expect_length(std::uint64_t length) { begin(Framing::kLength, length); }
  void expect_chunked() { begin(Framing::kChunked, 0); }
  void expect_until_close() { begin(Framing::kUntilClose, 0); }

  // Removes from the front of `bytes` what belongs to the body and appends it to `raw` as it came, and
  // without its framing to `decoded`, if given.
  ParseResult feed(std::string_view& bytes, std::string& raw, std::string* decoded = nullptr);
  bool is_close_delimited() const { return framing_ == Framing::kUntilClose; }
  // Has a chunk begun whose last byte of data has not come yet?
  bool is_inside_chunk() const;

 private:
  enum class Framing : std::uint8_t { kLength, kChunked, kUntilClose };
  // What the next byte of a chunked body belongs to.
  enum class ChunkState : std::uint8_t {
    kSize,
    kExtension,
    kSizeLineFeed,
    kData,
    kDataCarriageReturn,
    kDataLineFeed,
    kTrailerStart,  // of a line, or of the empty one that ends the body
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
  // Inline: once for each byte of the framing.
  inline ParseResult feed_chunk_framing(char c);
  inline ParseResult feed_chunk_size(char c);
  inline ParseResult end_chunk_size_line(char c);
  inline ParseResult expect_char(char c, char expected, ChunkState next);
  inline ParseResult skip_to_line_end(char c, ChunkState next);

  std::size_t max_bytes_;
  Framing framing_ = Framing::kLength;
  ChunkState chunk_state_ = ChunkState::kSize;
  std::uint64_t remaining_ = 0;  // of the body of a given length, or of the chunk at hand
  std::uint64_t decoded_bytes_ = 0;
  std::uint64_t framing_bytes_ = 0;
  unsigned chunk_size_digits_ = 0;
};

}  // namespace ashbeam::http
