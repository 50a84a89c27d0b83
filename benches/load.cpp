// Starts a router on loopback with fake peers, sends it REQUESTS requests one after another, and stops it:
//   ashbeam_load REQUESTS COMMAND [ARGS...]
// If COMMAND runs the router under callgrind, the difference of the instruction counts of two runs gives the
// instructions per request. This figure is repeatable.
#include <cstdio>
#include <cstdlib>
#include <string>

#include "fakes/client.hpp"
#include "router_process.hpp"

namespace ashbeam {
namespace {

constexpr const char* kListen = "127.0.0.1:9187";
constexpr int kEndpoints = 4;
constexpr unsigned kMaxFailures = 200;
constexpr unsigned kTimeLeftMs = 15'000;
constexpr Duration kStartTime = Duration::ms(500);

constexpr const char* kSettings = R"({
    "allowed":{"cancel":true,"connectTimeoutMs":250,"connIdleMs":20000,"maxAttempts":1},"discovery":"subscribe",
    "familyInfo":{"mostShares":[1.0],"rings":[1.0],"spanMs":1000,"ballotTtlMs":8000,"spareTries":2,"callsPerS":10},
    "grades":[{"name":"look","effect":"idempotent","goalTimeMs":5000,"deadlineMs":20000,"worth":1}],
    "kinds":["usual"],"myNumber":0,"parties":[{"name":"shop","allowancePerS":1000000}],"replicasOfMe":1,
    "rules":{"drainGraceMs":500,"fallMs":400,"fallMultiple":2,"startCapacity":0.5,"warmAfterMs":800},
    "stats":{"how":"off"},"tickMs":5,"zone":0,"zones":["one"]})";

class Load {
 public:
  Load(unsigned requests, char** command)
      : requests_(requests), deployment_(loop_, limits_, kEndpoints),
        router_(command, kListen, deployment_, kSettings), client_(loop_, limits_, kListen),
        next_request_(loop_, [this] { send_request(); }) {}

  // Returns the exit status of the program: 0 if all requests were served and the router exited with 0.
  int run() {
    next_request_.schedule_after(kStartTime);
    loop_.run();
    const RouterProcess::End end = router_.end(SIGTERM);
    std::printf("requests_served %u\n", served_);
    return served_ == requests_ && end.status == 0 ? 0 : 1;
  }

 private:
  void send_request() {
    if (sent_ - failed_ >= requests_ || failed_ > kMaxFailures) return loop_.stop();
    ++sent_;
    client_.send(look_request(sent_, kTimeLeftMs), [this](const fakes::Client::Answer& answer) {
      const bool served = answer.status == 200;
      ++(served ? served_ : failed_);
      next_request_.schedule_after(served ? Duration() : Duration::ms(100));  // the router may not listen yet
    });
  }

  unsigned requests_;
  unsigned sent_ = 0;
  unsigned served_ = 0;
  unsigned failed_ = 0;
  EventLoop loop_;
  Limits limits_;
  FakeDeployment deployment_;
  RouterProcess router_;
  fakes::Client client_;
  Timer next_request_;
};

}  // namespace
}  // namespace ashbeam

int main(int argc, char** argv) {
  if (argc < 3) {
    std::fprintf(stderr, "usage: ashbeam_load REQUESTS COMMAND [ARGS...]\n");
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  return ashbeam::Load(static_cast<unsigned>(std::atoi(argv[1])), argv + 2).run();
}
