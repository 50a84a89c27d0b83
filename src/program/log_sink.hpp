// Log lines to standard output, never waiting for whoever reads it: a line that does not go at once is
// counted and left out.
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
  void sink_it_(const spdlog::details::log_msg& msg) override {
    spdlog::memory_buf_t line;
    formatter_->format(msg, line);
    std::string text(line.data(), std::min<std::size_t>(line.size(), kMost));
    text.back() = '\n';
    if (left_out_ > 0) text = std::to_string(left_out_) + " lines left out\n" + text;
    // A pipe that may be written takes this much whole (PIPE_BUF).
    pollfd out{STDOUT_FILENO, POLLOUT, 0};
    const bool ready = ::poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0;
    if (ready && ::write(STDOUT_FILENO, text.data(), text.size()) > 0) left_out_ = 0;
    else ++left_out_;
  }
  void flush_() override {}

 private:
  static constexpr std::size_t kMost = 1024;
  unsigned left_out_ = 0;
};

// One JSON object a line: {"time":...,"level":...,"text":...}. What is too long for a line is cut off within
// the text, so that the line stays whole.
class JsonLines : public spdlog::formatter {
 public:
  void format(const spdlog::details::log_msg& msg, spdlog::memory_buf_t& to) override {
    const auto us =
        std::chrono::duration_cast<std::chrono::microseconds>(msg.time.time_since_epoch()).count();
    char time[32];
    const int digits = std::snprintf(time, sizeof time, "%lld.%06lld", static_cast<long long>(us / 1000000),
                                     static_cast<long long>(us % 1000000));
    const auto level = spdlog::level::to_string_view(msg.level);
    std::string text = json_quoted(std::string_view(msg.payload.data(), msg.payload.size()));
    for (std::size_t keep = msg.payload.size(); text.size() > kMostText; keep = keep * 3 / 4)
      text = json_quoted(std::string_view(msg.payload.data(), keep));
    const auto add = [&](std::string_view s) { to.append(s.data(), s.data() + s.size()); };
    add("{\"time\":");
    add({time, static_cast<std::size_t>(digits)});
    add(",\"level\":\"");
    add({level.data(), level.size()});
    add("\",\"text\":");
    add(text);
    add("}\n");
  }
  std::unique_ptr<spdlog::formatter> clone() const override { return std::make_unique<JsonLines>(); }

 private:
  static constexpr std::size_t kMostText = 900;
};

}  // namespace ashbeam
