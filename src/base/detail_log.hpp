// Detailed log lines: off until an operator switches them on, and bounded in rate, so that they may be
// switched on in service. A line is formatted only while they are on.
#pragma once
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include "base/time.hpp"

namespace ashbeam {

// Each is a bit of its own.
enum class LogTopic : std::uint8_t { kDiscovery = 1, kRequests = 2 };

class DetailLog {
 public:
  using Write = std::function<void(std::string_view)>;
  static constexpr std::uint8_t kAllTopics = 3;
  explicit DetailLog(Write write) : write_(std::move(write)) {}

  // `words` is a comma-separated list of "discovery" and "requests", or "all"; other words are ignored.
  void enable(std::string_view words) {
    const auto contains = [&](std::string_view word) { return words.find(word) != std::string_view::npos; };
    on_ = contains("all") ? kAllTopics : 0;
    if (contains("discovery")) on_ |= bit_of(LogTopic::kDiscovery);
    if (contains("requests")) on_ |= bit_of(LogTopic::kRequests);
  }
  // Is any topic on?
  bool is_enabled() const { return on_ != 0; }
  bool is_enabled(LogTopic topic) const { return (on_ & bit_of(topic)) != 0; }

  // printf-style; a line is cut off at kMaxLineBytes. Lines past kMaxLinesPerSecond are counted, and the
  // count is written once the second is over.
  template <class... Figures>
  void write_line(LogTopic topic, Instant now, const char* format, Figures... figures) {
    if (!is_enabled(topic) || !admit(now)) return;
    char text[kMaxLineBytes];
    const int length = std::snprintf(text, sizeof text, format, figures...);
    write_({text, static_cast<std::size_t>(std::clamp(length, 0, kMaxLineBytes - 1))});
  }

 private:
  static constexpr int kMaxLineBytes = 320;  // with the terminating zero
  static constexpr unsigned kMaxLinesPerSecond = 2000;

  static constexpr std::uint8_t bit_of(LogTopic topic) { return static_cast<std::uint8_t>(topic); }

  bool admit(Instant now) {
    if (now - second_began_ >= Duration::s(1)) {
      if (left_out_ > 0) write_("detail: " + std::to_string(left_out_) + " lines left out");
      second_began_ = now;
      written_ = 0;
      left_out_ = 0;
    }
    const bool admitted = written_ < kMaxLinesPerSecond;
    ++(admitted ? written_ : left_out_);
    return admitted;
  }

  Write write_;
  std::uint8_t on_ = 0;  // a bit for each LogTopic
  Instant second_began_;
  unsigned written_ = 0;   // in this second
  unsigned left_out_ = 0;  // in this second
};

}  // namespace ashbeam
