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

enum class LogTopic : std::uint8_t { kDiscovery = 1, kRequests = 2 };

class DetailLog {
 public:
  using Write = std::function<void(std::string_view)>;
  static constexpr std::uint8_t kAllTopics = 3;
  explicit DetailLog(Write write) : write_(std::move(write)) {}

  // `words` is a comma-separated list of "discovery" and "requests", or "all"; other words say nothing.
  void enable(std::string_view words) {
    const auto has = [&](std::string_view word) { return words.find(word) != std::string_view::npos; };
    on_ = has("all") ? kAllTopics : 0;
    if (has("discovery")) on_ |= static_cast<std::uint8_t>(LogTopic::kDiscovery);
    if (has("requests")) on_ |= static_cast<std::uint8_t>(LogTopic::kRequests);
  }
  bool on() const { return on_ != 0; }
  bool on(LogTopic topic) const { return (on_ & static_cast<std::uint8_t>(topic)) != 0; }

  // printf-style; lines past kMostPerSecond are counted, and the count is written once the second is over.
  template <class... Figures>
  void line(LogTopic topic, Instant now, const char* format, Figures... figures) {
    if (!on(topic) || !admit(now)) return;
    char text[kLongest];
    const int length = std::snprintf(text, sizeof text, format, figures...);
    write_({text, static_cast<std::size_t>(std::clamp(length, 0, kLongest - 1))});
  }

 private:
  static constexpr int kLongest = 320;
  static constexpr unsigned kMostPerSecond = 2000;

  bool admit(Instant now) {
    if (now - second_ >= Span::s(1)) {
      if (left_out_ > 0) write_("detail: " + std::to_string(left_out_) + " lines left out");
      second_ = now;
      written_ = left_out_ = 0;
    }
    if (written_ < kMostPerSecond) return ++written_, true;
    return ++left_out_, false;
  }

  Write write_;
  std::uint8_t on_ = 0;
  Instant second_;
  unsigned written_ = 0, left_out_ = 0;
};

}  // namespace ashbeam
