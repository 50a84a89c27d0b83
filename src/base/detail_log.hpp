// Writes detailed log lines about single requests and calls to discovery. They are disabled until an operator
// enables them. Their rate is limited, so that they can be enabled on a router that serves traffic. A line is
// formatted only if its topic is enabled.
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

// Each value is one bit of a set of topics.
enum class LogTopic : std::uint8_t { kDiscovery = 1, kRequests = 2 };

class DetailLog {
 public:
  // Writes one line, which has no line end.
  using WriteLine = std::function<void(std::string_view)>;
  static constexpr std::uint8_t kAllTopics = 3;
  explicit DetailLog(WriteLine write_line) : write_line_(std::move(write_line)) {}

  // Enables the topics of `topics`, a comma-separated list of "discovery" and "requests", or "all", and
  // disables the others. Other words are ignored.
  void enable(std::string_view topics) {
    const auto contains = [&](std::string_view name) { return topics.find(name) != std::string_view::npos; };
    enabled_topics_ = contains("all") ? kAllTopics : 0;
    if (contains("discovery")) enabled_topics_ |= bit_of(LogTopic::kDiscovery);
    if (contains("requests")) enabled_topics_ |= bit_of(LogTopic::kRequests);
  }
  // Returns whether any topic is enabled.
  bool is_enabled() const { return enabled_topics_ != 0; }
  bool is_enabled(LogTopic topic) const { return (enabled_topics_ & bit_of(topic)) != 0; }

  // Formats a line as printf does and writes it, if `topic` is enabled. A line is truncated to kMaxLineBytes.
  // Lines beyond kMaxLinesPerSecond are dropped; their number is written with the first line after that
  // second.
  template <class... Arguments>
  void write_line(LogTopic topic, Instant now, const char* format, Arguments... arguments) {
    if (!is_enabled(topic) || !admit(now)) return;
    char text[kMaxLineBytes];
    const int length = std::snprintf(text, sizeof text, format, arguments...);
    write_line_({text, static_cast<std::size_t>(std::clamp(length, 0, kMaxLineBytes - 1))});
  }

 private:
  static constexpr int kMaxLineBytes = 320;  // including the terminating null character
  static constexpr unsigned kMaxLinesPerSecond = 2000;

  static constexpr std::uint8_t bit_of(LogTopic topic) { return static_cast<std::uint8_t>(topic); }

  // Returns whether a line may be written now, and counts it as written or dropped.
  bool admit(Instant now) {
    if (now - second_began_at_ >= Duration::s(1)) {
      if (dropped_lines_ > 0) {
        write_line_("detail log: dropped " + std::to_string(dropped_lines_) +
                    " lines within one second, limit " + std::to_string(kMaxLinesPerSecond) +
                    " lines per second");
      }
      second_began_at_ = now;
      written_lines_ = 0;
      dropped_lines_ = 0;
    }
    const bool admitted = written_lines_ < kMaxLinesPerSecond;
    ++(admitted ? written_lines_ : dropped_lines_);
    return admitted;
  }

  WriteLine write_line_;
  std::uint8_t enabled_topics_ = 0;  // the bits of the enabled topics
  Instant second_began_at_;
  unsigned written_lines_ = 0;  // since second_began_at_
  unsigned dropped_lines_ = 0;  // since second_began_at_
};

}  // namespace ashbeam
