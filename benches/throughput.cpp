// A router on loopback between eight servers and clients that ask again at once, each on one kept connection:
//   ashbeam_throughput SECONDS CLIENTS COMMAND [ARGS...]
// Requests a second, the share not served, the 99th percentile, the router's CPU for each request, and
// connections made to servers. Compare figures of one machine and one run only.
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
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

constexpr int kServers = 8;
constexpr Span kStart = Span::s(1);  // the router comes up, and connections are made

class Throughput {
 public:
  Throughput(double seconds, int clients, char** command)
      : seconds_(seconds), discovery_(loop_, limits_),
        release_(loop_, limits_, {1}, [](const fakes::ReleasePlatform::State&) {}),
        begin_(loop_, [this] { begin(); }), end_(loop_, [this] { loop_.stop(); }) {
    for (int i = 0; i < kServers; ++i) {
      servers_.push_back(
          std::make_unique<fakes::Endpoint>(loop_, limits_, [](const http::Head&, const std::string&) {
            return fakes::Served{200, Span(), false, "ok\n"};
          }));
      discovery_.put({"h" + std::to_string(i), servers_.back()->address(), "up", 1, Instant()});
    }
    for (int i = 0; i < clients; ++i) {
      clients_.push_back(std::make_unique<fakes::Client>(loop_, limits_, kAt));
      pauses_.push_back(std::make_unique<Timer>(loop_, [this, i] { ask(i); }));
    }
    start(command);
  }

  int run() {
    begin_.in(kStart);
    loop_.run();
    rusage used{};
    ::kill(router_, SIGKILL);
    ::wait4(router_, nullptr, 0, &used);
    ::unlink(path_.c_str());
    const double cpu_us = static_cast<double>(used.ru_utime.tv_sec + used.ru_stime.tv_sec) * 1e6 +
                          static_cast<double>(used.ru_utime.tv_usec + used.ru_stime.tv_usec);
    const double asked = static_cast<double>(waits_ms_.size() + not_served_);
    std::sort(waits_ms_.begin(), waits_ms_.end());
    std::printf("requests_per_s %.0f\n", static_cast<double>(waits_ms_.size()) / seconds_);
    std::printf("not_served %.4f\n", asked > 0 ? static_cast<double>(not_served_) / asked : 1);
    std::printf("p99_ms %.2f\n", waits_ms_.empty() ? 0 : waits_ms_[waits_ms_.size() * 99 / 100]);
    std::printf("router_cpu_us_per_request %.1f\n", asked > 0 ? cpu_us / asked : 0);
    std::printf("router_peak_memory_kb %ld\n", used.ru_maxrss);
    return waits_ms_.empty() ? 1 : 0;
  }

 private:
  static constexpr const char* kAt = "127.0.0.1:9188";
  static constexpr const char* kSettings = R"(,"settings":{
    "allowed":{"cancel":true,"connectTimeoutMs":250,"connIdleMs":20000,"maxAttempts":4},"discovery":"subscribe",
    "familyInfo":{"mostShares":[1.0],"rings":[1.0],"spanMs":1000,"ballotTtlMs":8000,"spareTries":2,"callsPerS":10},
    "grades":[{"name":"look","effect":"idempotent","goalTimeMs":500,"deadlineMs":2000,"worth":1}],
    "kinds":["usual"],"myNumber":0,"parties":[{"name":"shop","allowancePerS":1000000}],"replicasOfMe":1,
    "rules":{"drainGraceMs":1000,"fallMs":400,"fallMultiple":2,"startCapacity":0.5,"warmAfterMs":800},
    "stats":{"how":"off"},"tickMs":5,"zone":0,"zones":["one"]}})";

  void start(char** command) {
    char path[] = "/tmp/ashbeam-throughput-XXXXXX";
    ::close(::mkstemp(path));
    path_ = path;
    std::ofstream(path) << R"({"seed":"7","release_api":{"address":")" << release_.address() << R"(","news":)"
                        << release_.news() << R"(},"known":)" << discovery_.list() << kSettings;
    router_ = ::fork();
    if (router_ != 0) return;
    ::setenv("PROXY_NAME", "load", 1);
    ::setenv("PROXY_LISTEN", kAt, 1);
    ::setenv("PROXY_DISCOVERY", discovery_.address().c_str(), 1);
    ::setenv("PROXY_CONFIG", path, 1);
    ::execvp(command[0], command);
    ::_exit(127);
  }
  void begin() {
    for (std::size_t i = 0; i < clients_.size(); ++i) ask(static_cast<int>(i));
    end_.in(Span::s(seconds_));
  }
  void ask(int i) {
    const Instant from = loop_.now();
    clients_[static_cast<std::size_t>(i)]->ask(
        "GET /look/1 HTTP/1.1\r\nHost: l\r\nX-Account: shop\r\nX-Time-Left-Ms: 2000\r\nX-Correlation-Id: t" +
            std::to_string(++asked_) + "\r\n\r\n",
        [this, i, from](const fakes::Client::Answer& answer) {
          const bool served = answer.status == 200;
          if (served) waits_ms_.push_back((loop_.now() - from).ms());
          else ++not_served_;
          pauses_[static_cast<std::size_t>(i)]->in(served ? Span() : Span::ms(20));
        });
  }
  double seconds_;
  std::uint64_t asked_ = 0, not_served_ = 0;
  std::vector<double> waits_ms_;
  std::string path_;
  EventLoop loop_;
  Limits limits_;
  fakes::Discovery discovery_;
  fakes::ReleasePlatform release_;
  std::vector<std::unique_ptr<fakes::Endpoint>> servers_;
  std::vector<std::unique_ptr<fakes::Client>> clients_;
  std::vector<std::unique_ptr<Timer>> pauses_;
  Timer begin_, end_;
  pid_t router_ = 0;
};

}  // namespace
}  // namespace ashbeam

int main(int argc, char** argv) {
  if (argc < 4) {
    std::fprintf(stderr, "usage: ashbeam_throughput SECONDS CLIENTS COMMAND [ARGS...]\n");
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  return ashbeam::Throughput(std::atof(argv[1]), std::atoi(argv[2]), argv + 3).run();
}
