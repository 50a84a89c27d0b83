// Starts a router on loopback between stand-ins, sends it so many hits one after another, and ends it:
//   ashbeam_load HITS COMMAND [ARGS...]
// Under callgrind the difference of two runs is what a hit costs, in instructions, and repeats.
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "fakes/client.hpp"
#include "fakes/discovery.hpp"
#include "fakes/endpoint.hpp"
#include "fakes/release_platform.hpp"

namespace ashbeam {
namespace {

class Load {
 public:
  Load(unsigned hits, char** command)
      : hits_(hits), discovery_(loop_, limits_),
        desk_(loop_, limits_, {1}, [](const fakes::ReleasePlatform::State&) {}), client_(loop_, limits_, kAt),
        again_(loop_, [this] { ask(); }) {
    for (int i = 0; i < 4; ++i) {
      hosts_.push_back(
          std::make_unique<fakes::Endpoint>(loop_, limits_, [](const http::Head&, const std::string&) {
            fakes::Served s;
            s.takes = Span();
            return s;
          }));
      discovery_.put({"h" + std::to_string(i), hosts_.back()->address(), "up", 1, Instant()});
    }
    char path[] = "/tmp/ashbeam-load-XXXXXX";
    ::close(::mkstemp(path));
    std::ofstream(path) << R"({"seed":"7","release_api":{"address":")" << desk_.address() << R"(","news":)"
                        << desk_.news() << R"(},"known":)" << discovery_.list() << kSettings;
    router_ = ::fork();
    if (router_ == 0) {
      ::setenv("PROXY_NAME", "load", 1), ::setenv("PROXY_LISTEN", kAt, 1);
      ::setenv("PROXY_DISCOVERY", discovery_.address().c_str(), 1), ::setenv("PROXY_CONFIG", path, 1);
      ::execvp(command[0], command);
      ::_exit(127);
    }
    path_ = path;
  }
  int run() {
    again_.in(Span::ms(500));
    loop_.run();
    ::kill(router_, SIGTERM);
    int status = 0;
    ::waitpid(router_, &status, 0);
    ::unlink(path_.c_str());
    std::printf("hits_served %u\n", served_);
    return served_ == hits_ && status == 0 ? 0 : 1;
  }

 private:
  static constexpr const char* kAt = "127.0.0.1:9187";
  static constexpr const char* kSettings = R"(,"settings":{
    "allowed":{"cancel":true,"connectTimeoutMs":250,"connIdleMs":20000,"maxAttempts":1},"discovery":"subscribe",
    "familyInfo":{"mostShares":[1.0],"rings":[1.0],"spanMs":1000,"ballotTtlMs":8000,"spareTries":2,"callsPerS":10},
    "grades":[{"name":"look","effect":"idempotent","goalTimeMs":5000,"deadlineMs":20000,"worth":1}],
    "kinds":["usual"],"myNumber":0,"parties":[{"name":"shop","allowancePerS":1000000}],"replicasOfMe":1,
    "rules":{"drainGraceMs":500,"fallMs":400,"fallMultiple":2,"startCapacity":0.5,"warmAfterMs":800},
    "stats":{"how":"off"},"tickMs":5,"zone":0,"zones":["one"]}})";

  void ask() {
    if (asked_++ - failed_ >= hits_ || failed_ > 200) return loop_.stop();
    client_.ask(
        "GET /look/1 HTTP/1.1\r\nHost: l\r\nX-Account: shop\r\nX-Time-Left-Ms: 15000\r\nX-Correlation-Id: l" +
            std::to_string(asked_) + "\r\n\r\n",
        [this](const fakes::Client::Answer& a) {
          if (a.status == 200) ++served_;
          else ++failed_;
          again_.in(a.status == 200 ? Span() : Span::ms(100));  // not up yet
        });
  }
  unsigned hits_, asked_ = 0, served_ = 0, failed_ = 0;
  std::string path_;
  EventLoop loop_;
  Limits limits_;
  fakes::Discovery discovery_;
  fakes::ReleasePlatform desk_;
  std::vector<std::unique_ptr<fakes::Endpoint>> hosts_;
  fakes::Client client_;
  Timer again_;
  pid_t router_ = 0;
};

}  // namespace
}  // namespace ashbeam

int main(int argc, char** argv) {
  if (argc < 3) {
    std::fprintf(stderr, "usage: ashbeam_load HITS COMMAND [ARGS...]\n");
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  return ashbeam::Load(static_cast<unsigned>(std::atoi(argv[1])), argv + 2).run();
}
