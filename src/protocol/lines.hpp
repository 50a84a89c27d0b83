// Lines off a byte stream, at any split.
#pragma once
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace ashbeam {

class LineReader {
 public:
  // `max_bytes` bounds a line, with the CR of its end if it has one.
  explicit LineReader(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  // Calls `handle` with each complete line, without its end (LF or CR LF). False once a line is too long, or
  // `handle` returns false: nothing more may be fed then.
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
  void clear() { partial_line_.clear(); }
  // Has a line begun whose end has not come yet?
  bool has_partial_line() const { return !partial_line_.empty(); }

 private:
  std::size_t max_bytes_;
  std::string partial_line_;
};

}  // namespace ashbeam
