// Limits the rate of log lines that a peer can cause at will. Each distinct text is written at most once per
// second, with the number of repetitions that were suppressed since it was last written.
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
  using Sink = std::function<void(std::string_view)>;
  // Once this many distinct texts have been written, further ones are dropped, which bounds the memory.
  static constexpr std::size_t kMaxDistinctTexts = 32;

  // Passes each line to `sink`, with `prefix` before its text.
  RateLimitedLog(std::string prefix, Sink sink) : prefix_(std::move(prefix)), sink_(std::move(sink)) {}

  void write_line(const std::string& text, Instant now) {
    if (!texts_.contains(text) && texts_.size() >= kMaxDistinctTexts) return;
    Text& state = texts_[text];
    if (now - state.last_written < Duration::s(1)) {
      ++state.suppressed;
      return;
    }
    const std::string suppressed =
        state.suppressed > 0 ? " (" + std::to_string(state.suppressed) + " repetitions suppressed)" : "";
    sink_(prefix_ + text + suppressed);
    state = {now, 0};
  }

 private:
  struct Text {
    Instant last_written;
    unsigned suppressed = 0;  // lines since last_written
  };

  std::string prefix_;
  Sink sink_;
  std::map<std::string, Text> texts_;
};

}  // namespace ashbeam
