// The program itself, and its signals: which come between two of its looks at them is forced by
// stopping it.
#include <sys/wait.h>

#include <csignal>
#include <cstdlib>

#include "router_fixture.hpp"

namespace ashbeam {
namespace {

class SignalsTest : public testing::Test {
 protected:
  std::string at_ = FakeListener().address();
  int log_ = -1;
  pid_t pid_ = -1;
  std::string text_;

  void SetUp() override {
    int pipe[2];
    ASSERT_EQ(::pipe(pipe), 0);
    pid_ = ::fork();
    ASSERT_GE(pid_, 0);
    if (pid_ == 0) {
      ::dup2(pipe[1], STDOUT_FILENO);
      ::close(pipe[0]);
      ::setenv("PROXY_NAME", "n0", 1);
      ::setenv("PROXY_LISTEN", at_.c_str(), 1);
      ::setenv("PROXY_DISCOVERY", "127.0.0.1:1", 1);
      ::setenv("PROXY_CONFIG", ASHBEAM_EXAMPLE, 1);
      ::execl(ASHBEAM_PROGRAM, ASHBEAM_PROGRAM, nullptr);
      ::_exit(127);
    }
    ::close(pipe[1]);
    log_ = pipe[0];
    ASSERT_TRUE(says("serves at"));
  }
  void TearDown() override {
    if (pid_ > 0) ::kill(pid_, SIGKILL), ::waitpid(pid_, nullptr, 0);
    ::close(log_);
  }
  bool says(const std::string& words) {  // in the log, within a while
    for (int i = 0; i < 100 && text_.find(words) == std::string::npos; ++i) {
      pollfd in{log_, POLLIN, 0};
      char some[4096];
      const auto n = ::poll(&in, 1, 50) == 1 ? ::read(log_, some, sizeof some) : -1;
      if (n > 0) text_.append(some, static_cast<std::size_t>(n));
      if (n == 0) break;
    }
    return text_.find(words) != std::string::npos;
  }
  bool ends() {  // by itself and well
    EXPECT_TRUE(says("stopped"));
    int status = -1;
    const bool ended = ::waitpid(std::exchange(pid_, -1), &status, 0) > 0;
    return ended && WIFEXITED(status) && WEXITSTATUS(status) == 0;
  }
  void together(std::initializer_list<int> signals) {  // before it looks again
    ::kill(pid_, SIGSTOP);
    ::waitpid(pid_, nullptr, WUNTRACED);
    for (const int one : signals) ::kill(pid_, one);
    ::kill(pid_, SIGCONT);
  }
};

TEST_F(SignalsTest, ToReadAgainAndToStopAtOnceItStops) {
  together({SIGHUP, SIGTERM});
  EXPECT_TRUE(ends());
  EXPECT_NE(text_.find("configuration not read again: shutting down"), std::string::npos) << text_;
  EXPECT_EQ(text_.find("configuration read again"), std::string::npos);
}

TEST_F(SignalsTest, WhileStoppingNothingIsReadAgain) {
  together({SIGTERM});
  ASSERT_TRUE(says("stop signal received"));
  together({SIGHUP, SIGTERM, SIGINT});
  EXPECT_TRUE(ends());
  EXPECT_NE(text_.find("configuration not read again: shutting down"), std::string::npos) << text_;
}

TEST_F(SignalsTest, ReadAgainManyTimesItGoesOnAndEnds) {
  for (int i = 0; i < 5; ++i) {
    text_.clear();
    together({SIGHUP, SIGHUP});
    EXPECT_TRUE(says("configuration read again")) << i;
  }
  together({SIGTERM});
  EXPECT_TRUE(ends());
}

}  // namespace
}  // namespace ashbeam
