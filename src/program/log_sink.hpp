// Log lines on standard output. Never waits for whoever reads it: a line that can't be written at once is
// dropped and counted, and the count goes before the next line that can.
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
    if (dropped_lines_ > 0) text = std::to_string(dropped_lines_) + " lines left out\n" + text;
    if (is_writable() && ::write(STDOUT_FILENO, text.data(), text.size()) > 0) dropped_lines_ = 0;
    else ++dropped_lines_;
  }
  void flush_() override {}

 private:
  // A pipe that polls as writable takes so much without blocking (PIPE_BUF).
  static constexpr std::size_t kMaxLineBytes = 1024;

  static bool is_writable() {
    pollfd out{STDOUT_FILENO, POLLOUT, 0};
    return ::poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0;
  }

  unsigned dropped_lines_ = 0;
};

// One JSON object a line: {"time":...,"level":...,"text":...}, the time in seconds since 1970. What is too
// long for a line is cut off within the text, so that the line stays valid.
class JsonLineFormatter : public spdlog::formatter {
 public:
  void format(const spdlog::details::log_msg& message, spdlog::memory_buf_t& line) override {
    const auto add = [&line](std::string_view text) { line.append(text.data(), text.data() + text.size()); };
    const auto level = spdlog::level::to_string_view(message.level);
    add("{\"time\":");
    add(seconds_text(message.time));
    add(",\"level\":\"");
    add({level.data(), level.size()});
    add("\",\"text\":");
    add(quoted_text({message.payload.data(), message.payload.size()}));
    add("}\n");
  }
  std::unique_ptr<spdlog::formatter> clone() const override { return std::make_unique<JsonLineFormatter>(); }

 private:
  static constexpr std::size_t kMaxTextBytes = 900;  // with its quotes and escapes

  static std::string seconds_text(spdlog::log_clock::time_point time) {
    const auto since_epoch = std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch());
    const long long us = since_epoch.count();
    char text[32];
    std::snprintf(text, sizeof text, "%lld.%06lld", us / 1000000, us % 1000000);
    return text;
  }
  static std::string quoted_text(std::string_view payload) {
    std::string text = json_quoted(payload);
    for (std::size_t kept = payload.size(); text.size() > kMaxTextBytes; kept = kept * 3 / 4) {
      text = json_quoted(payload.substr(0, kept));
    }
    return text;
  }
};

}  // namespace ashbeam
