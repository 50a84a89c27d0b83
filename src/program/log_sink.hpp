// Log lines to standard output, never waiting for whoever reads it: a line that does not go at once is
// counted and left out.
#pragma once
#include <poll.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <unistd.h>

#include <algorithm>
#include <string>

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

}  // namespace ashbeam
