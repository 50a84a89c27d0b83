// Writes log lines to standard output without blocking: a line that cannot be written at once, because the
// reader of a pipe is slow, is dropped and counted. The number of dropped lines is written before the next
// line.
#pragma once
#include <poll.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/formatter.h>
#include <spdlog/sinks/base_sink.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <memory>
#include <string>

#include "protocol/json.hpp"

namespace ashbeam {

class LogSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    std::string text(line.data(), std::min<std::size_t>(line.size(), kMaxLineBytes));
    text.back() = '\n';
    if (dropped_lines_ > 0)
      text = std::to_string(dropped_lines_) + " log lines dropped: standard output not writable\n" + text;
    if (is_writable() && ::write(STDOUT_FILENO, text.data(), text.size()) > 0) dropped_lines_ = 0;
    else ++dropped_lines_;
  }
  void flush_() override {}

 private:
  // At most PIPE_BUF (4096 on Linux): a pipe that polls as writable takes so many bytes without blocking.
  static constexpr std::size_t kMaxLineBytes = 1024;

  // Returns whether standard output takes a line without blocking.
  static bool is_writable() {
    pollfd out{STDOUT_FILENO, POLLOUT, 0};
    return ::poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0;
  }

  unsigned dropped_lines_ = 0;  // since the last line that was written
};

// Formats each log line as one JSON object: {"time":...,"level":...,"text":...}. The time is in seconds since
// the Unix epoch. A text that is too long for a line is truncated before it is quoted, so that the line stays
// valid JSON.
class JsonLineFormatter : public spdlog::formatter {
 public:
  void format(const spdlog::details::log_msg& message, spdlog::memory_buf_t& line) override {
    const auto add = [&line](std::string_view text) { line.append(text.data(), text.data() + text.size()); };
    const auto level = spdlog::level::to_string_view(message.level);
    add("{\"time\":");
    add(format_seconds(message.time));
    add(",\"level\":\"");
    add({level.data(), level.size()});
    add("\",\"text\":");
    add(quote_truncated({message.payload.data(), message.payload.size()}));
    add("}\n");
  }
  std::unique_ptr<spdlog::formatter> clone() const override { return std::make_unique<JsonLineFormatter>(); }

 private:
  // Including quotes and escapes. The rest of LogSink's line limit is for the other members.
  static constexpr std::size_t kMaxTextBytes = 900;

  static std::string format_seconds(spdlog::log_clock::time_point time) {
    const auto since_epoch = std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch());
    const long long us = since_epoch.count();
    char text[32];
    std::snprintf(text, sizeof text, "%lld.%06lld", us / 1000000, us % 1000000);
    return text;
  }
  // Returns `payload` as a JSON string of at most kMaxTextBytes bytes.
  static std::string quote_truncated(std::string_view payload) {
    std::string text = json_quoted(payload);
    for (std::size_t kept = payload.size(); text.size() > kMaxTextBytes; kept = kept * 3 / 4) {
      text = json_quoted(payload.substr(0, kept));
    }
    return text;
  }
};

}  // namespace ashbeam
