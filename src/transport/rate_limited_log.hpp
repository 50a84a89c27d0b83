// Log lines that a peer can cause at will: at most one a second of each text, with the number of those left
// out, and a bounded number of texts.
#pragma once
#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "base/time.hpp"

namespace ashbeam {

class RateLimitedLog {
 public:
  using Write = std::function<void(std::string_view)>;
  static constexpr std::size_t kMaxTexts = 32;  // a further one is never written

  RateLimitedLog(std::string prefix, Write write) : prefix_(std::move(prefix)), write_(std::move(write)) {}

  void line(const std::string& text, Instant now) {
    if (!texts_.contains(text) && texts_.size() >= kMaxTexts) return;
    Text& state = texts_[text];
    if (now - state.last_written < Duration::s(1)) {
      ++state.left_out;
      return;
    }
    const std::string more =
        state.left_out > 0 ? ", and " + std::to_string(state.left_out) + " more since" : "";
    write_(prefix_ + text + more);
    state = {now, 0};
  }

 private:
  struct Text {
    Instant last_written;
    unsigned left_out = 0;
  };

  std::string prefix_;
  Write write_;
  std::map<std::string, Text> texts_;
};

}  // namespace ashbeam
