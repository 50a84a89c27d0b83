// The program as a child process, and how it handles SIGHUP, SIGTERM and SIGINT. The program polls for
// signals. A test stops the process (SIGSTOP) while it sends several signals, so that they all arrive between
// two polls.
#include <sys/wait.h>

#include <csignal>
#include <cstdlib>

#include "router_fixture.hpp"

namespace ashbeam {
namespace {

class SignalsTest : public testing::Test {
 protected:
  std::string listen_address_ = FakeListener().address();
  int output_ = -1;  // the read end of a pipe from the child's standard output
  pid_t pid_ = -1;
  std::string log_;  // read from output_ so far

  void SetUp() override {
    int pipe[2];
    ASSERT_EQ(::pipe(pipe), 0);
    pid_ = ::fork();
    ASSERT_GE(pid_, 0);
    if (pid_ == 0) {
      ::dup2(pipe[1], STDOUT_FILENO);
      ::close(pipe[0]);
      ::setenv("PROXY_NAME", "n0", 1);
      ::setenv("PROXY_LISTEN", listen_address_.c_str(), 1);
      ::setenv("PROXY_DISCOVERY", "127.0.0.1:1", 1);
      ::setenv("PROXY_CONFIG", ASHBEAM_EXAMPLE, 1);
      ::execl(ASHBEAM_PROGRAM, ASHBEAM_PROGRAM, nullptr);
      ::_exit(127);
    }
    ::close(pipe[1]);
    output_ = pipe[0];
    ASSERT_TRUE(wait_for_log("started, listening at"));
  }
  void TearDown() override {
    if (pid_ > 0) ::kill(pid_, SIGKILL), ::waitpid(pid_, nullptr, 0);
    ::close(output_);
  }
  // Returns whether `text` appears in the log within 5 s.
  bool wait_for_log(const std::string& text) {
    for (int i = 0; i < 100 && log_.find(text) == std::string::npos; ++i) {
      pollfd in{output_, POLLIN, 0};
      char buffer[4096];
      const auto length = ::poll(&in, 1, 50) == 1 ? ::read(output_, buffer, sizeof buffer) : -1;
      if (length > 0) log_.append(buffer, static_cast<std::size_t>(length));
      if (length == 0) break;
    }
    return log_.find(text) != std::string::npos;
  }
  // Returns whether the program exits with code 0, after it has logged its end.
  bool exits_with_success() {
    EXPECT_TRUE(wait_for_log("stopped"));
    int status = -1;
    const bool has_exited = ::waitpid(std::exchange(pid_, -1), &status, 0) > 0;
    return has_exited && WIFEXITED(status) && WEXITSTATUS(status) == 0;
  }
  // Sends all signals between two polls of the program.
  void send_at_once(std::initializer_list<int> signals) {
    ::kill(pid_, SIGSTOP);
    ::waitpid(pid_, nullptr, WUNTRACED);
    for (const int signal : signals) ::kill(pid_, signal);
    ::kill(pid_, SIGCONT);
  }
};

TEST_F(SignalsTest, SkipsReloadIfSighupArrivesWithSigterm) {
  send_at_once({SIGHUP, SIGTERM});
  EXPECT_TRUE(exits_with_success());
  EXPECT_NE(log_.find("configuration: reload skipped, router is shutting down"), std::string::npos) << log_;
  EXPECT_EQ(log_.find("configuration: reloaded"), std::string::npos);
}

TEST_F(SignalsTest, SkipsReloadWhileShuttingDown) {
  send_at_once({SIGTERM});
  ASSERT_TRUE(wait_for_log("stop signal received"));
  send_at_once({SIGHUP, SIGTERM, SIGINT});
  EXPECT_TRUE(exits_with_success());
  EXPECT_NE(log_.find("configuration: reload skipped, router is shutting down"), std::string::npos) << log_;
}

TEST_F(SignalsTest, KeepsRunningAfterRepeatedReloadsUntilSigterm) {
  for (int i = 0; i < 5; ++i) {
    log_.clear();
    send_at_once({SIGHUP, SIGHUP});
    EXPECT_TRUE(wait_for_log("configuration: reloaded")) << i;
  }
  send_at_once({SIGTERM});
  EXPECT_TRUE(exits_with_success());
}

}  // namespace
}  // namespace ashbeam
