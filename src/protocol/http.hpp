// HTTP/1.1 off a byte stream, at any split: heads, and bodies by length, by chunks or until the end. Bytes
// are kept as they came. No sockets here.
#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ashbeam::http {

bool same_name(std::string_view a, std::string_view b);  // of headers: case does not matter
std::string_view trimmed(std::string_view text);
// Whole decimal digits and nothing else; nothing where it is not that or too large.
std::optional<std::uint64_t> whole_number(std::string_view text);

// Calls back with each part of a comma-separated value.
template <class What>
void each_listed(std::string_view list, What&& what) {
  while (!list.empty()) {
    const std::size_t comma = list.find(',');
    what(trimmed(list.substr(0, comma)));
    if (comma == std::string_view::npos) return;
    list.remove_prefix(comma + 1);
  }
}

struct Field {
  std::string_view name, value, line;  // the line with its end, as it came
};

enum class Side { kRequests, kAnswers };

// The lines up to and with the empty one. Only CR LF ends a line; a name holds no space. What can't become a
// head any more is refused at once: who sends noise and keeps the connection open is not waited for.
class Head {
 public:
  enum class Got { kMore, kWhole, kTooLong, kBad };
  Head(Side side, std::size_t most) : side_(side), most_(most) {}
  Got feed(std::string_view& bytes);  // takes from the front what belongs to it
  void clear();

  // All of these point into the head and stand until it is cleared.
  std::string_view first_line() const { return first_; }
  std::string_view word(unsigned n) const { return words_[n]; }  // the three of the first line
  const std::vector<Field>& fields() const { return fields_; }
  std::optional<std::string_view> find(std::string_view name) const;
  unsigned count(std::string_view name) const;
  bool says(std::string_view name, std::string_view token) const;  // in a comma-separated value
  bool empty() const { return raw_.empty(); }

 private:
  bool fits_first_line(char c) const;  // as the next of it
  void split();
  Side side_;
  std::size_t most_, line_from_ = 0;
  std::string raw_;
  std::string_view first_, words_[3];
  std::vector<Field> fields_;
};

// A body, and where it ends.
class Body {
 public:
  enum class Got { kMore, kWhole, kTooLong, kBad };
  explicit Body(std::size_t most) : most_(most) {}
  void none() { begin(Kind::kLength, 0); }
  void by_length(std::uint64_t length) { begin(Kind::kLength, length); }
  void by_chunks() { begin(Kind::kChunks, 0); }
  void until_end() { begin(Kind::kUntilEnd, 0); }
  // Takes from the front what belongs to it and appends that to `raw`, and what it says to `plain`, if given.
  Got feed(std::string_view& bytes, std::string& raw, std::string* plain = nullptr);
  bool ends_with_stream() const { return kind_ == Kind::kUntilEnd; }
  // Is a chunk begun whose last byte is not here yet?
  bool begun() const {
    const bool sized = at_ == At::kExtension || at_ == At::kSizeEnd || at_ == At::kData;
    return kind_ == Kind::kChunks && (sized || (at_ == At::kSize && digits_ > 0));
  }

 private:
  enum class Kind { kLength, kChunks, kUntilEnd };
  enum class At {
    kSize,
    kExtension,
    kSizeEnd,
    kData,
    kDataEnd1,
    kDataEnd2,
    kTrailer,
    kTrailerLine,
    kTrailerEnd,
    kLastEnd
  };
  void begin(Kind kind, std::uint64_t left);
  Got chunks(std::string_view bytes, std::size_t& used, std::string* plain);
  std::size_t most_;
  Kind kind_ = Kind::kLength;
  At at_ = At::kSize;
  std::uint64_t left_ = 0, size_ = 0, framing_ = 0;
  unsigned digits_ = 0;
};

// One message after another.
class Messages {
 public:
  using Side = http::Side;
  enum class Got { kMore, kWhole, kBad };
  Messages(Side side, std::size_t most_head, std::size_t most_body)
      : side_(side), head_(side, most_head), body_(most_body) {}
  Got feed(std::string_view& bytes);
  Got stream_ended();  // the other side has closed: a body may end so
  void next();         // the message at hand is done with
  bool begun() const { return in_body_ || !head_.empty(); }
  unsigned fault() const { return fault_; }  // what a client is told of a bad request
  const Head& head() const { return head_; }
  const std::string& raw_body() const { return raw_body_; }
  std::string take_raw_body() { return std::move(raw_body_); }
  bool body_by_stream_end() const { return body_.ends_with_stream(); }
  unsigned status() const { return status_; }  // of an answer
  bool last() const;                           // the connection ends after this message

 private:
  Got bad(unsigned fault);
  unsigned plan_body();  // 0, or the fault
  Side side_;
  Head head_;
  Body body_;
  std::string raw_body_;
  bool in_body_ = false, whole_ = false;
  unsigned fault_ = 0, status_ = 0;
};

std::string_view reason(unsigned status);

}  // namespace ashbeam::http
