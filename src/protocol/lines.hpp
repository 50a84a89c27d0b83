// Splits a byte stream into lines. The bytes may arrive in pieces of any size.
#pragma once
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace ashbeam {

// Lines end with LF or CR LF.
class LineReader {
 public:
  // `max_bytes` limits the length of a line, including the CR of its end if it has one.
  explicit LineReader(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  // Calls `handle` with each complete line, without its line end. Returns false as soon as a line is too long
  // or `handle` returns false; nothing more may be fed after that.
  template <class Handle>
  bool feed(std::string_view bytes, Handle&& handle) {
    while (!bytes.empty()) {
      const std::size_t end = bytes.find('\n');
      partial_line_.append(bytes.substr(0, end));
      if (partial_line_.size() > max_bytes_) return false;
      if (end == std::string_view::npos) return true;
      bytes.remove_prefix(end + 1);
      if (!partial_line_.empty() && partial_line_.back() == '\r') partial_line_.pop_back();
      const std::string line = std::move(partial_line_);
      partial_line_.clear();
      if (!handle(std::string_view(line))) return false;
    }
    return true;
  }
  // Discards the incomplete line, if there is one.
  void clear() { partial_line_.clear(); }
  // Whether a part of a line has been received without its end.
  bool has_partial_line() const { return !partial_line_.empty(); }

 private:
  std::size_t max_bytes_;
  std::string partial_line_;
};

}  // namespace ashbeam
