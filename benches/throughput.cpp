// Measures the throughput of a router on loopback with eight fake endpoints. Each client has one connection
// and sends its next request as soon as it has an answer:
//   ashbeam_throughput SECONDS CLIENTS COMMAND [ARGS...]
// Prints requests per second, the fraction of requests not served, the 99th percentile of the latency, the
// router's CPU time per request, and its peak memory. Figures of different machines or runs are not
// comparable.
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

#include "fakes/client.hpp"
#include "router_process.hpp"

namespace ashbeam {
namespace {

constexpr const char* kListen = "127.0.0.1:9188";
constexpr int kEndpoints = 8;
constexpr Duration kStartTime = Duration::s(1);  // for the router to start and to connect to its peers
constexpr unsigned kTimeLeftMs = 2000;
constexpr Duration kRetryDelay = Duration::ms(20);

constexpr const char* kSettings = R"({
    "allowed":{"cancel":true,"connectTimeoutMs":250,"connIdleMs":20000,"maxAttempts":4},"discovery":"subscribe",
    "familyInfo":{"mostShares":[1.0],"rings":[1.0],"spanMs":1000,"ballotTtlMs":8000,"spareTries":2,"callsPerS":10},
    "grades":[{"name":"look","effect":"idempotent","goalTimeMs":500,"deadlineMs":2000,"worth":1}],
    "kinds":["usual"],"myNumber":0,"parties":[{"name":"shop","allowancePerS":1000000}],"replicasOfMe":1,
    "rules":{"drainGraceMs":1000,"fallMs":400,"fallMultiple":2,"startCapacity":0.5,"warmAfterMs":800},
    "stats":{"how":"off"},"tickMs":5,"zone":0,"zones":["one"]})";

double cpu_us(const rusage& used) {
  return static_cast<double>(used.ru_utime.tv_sec + used.ru_stime.tv_sec) * 1e6 +
         static_cast<double>(used.ru_utime.tv_usec + used.ru_stime.tv_usec);
}

class Throughput {
 public:
  Throughput(double seconds, int client_count, char** command)
      : seconds_(seconds), deployment_(loop_, limits_, kEndpoints),
        router_(command, kListen, deployment_, kSettings), begin_timer_(loop_, [this] { begin(); }),
        end_timer_(loop_, [this] { loop_.stop(); }) {
    for (std::size_t i = 0; i < static_cast<std::size_t>(client_count); ++i) {
      clients_.push_back(std::make_unique<fakes::Client>(loop_, limits_, kListen));
      next_request_.push_back(std::make_unique<Timer>(loop_, [this, i] { send_request(i); }));
    }
  }

  // Returns the exit status of the program: 0 if any request was served.
  int run() {
    begin_timer_.schedule_after(kStartTime);
    loop_.run();
    print(router_.end(SIGKILL).used);
    return latencies_ms_.empty() ? 1 : 0;
  }

 private:
  void begin() {
    for (std::size_t i = 0; i < clients_.size(); ++i) send_request(i);
    end_timer_.schedule_after(Duration::s(seconds_));
  }

  void send_request(std::size_t client) {
    const Instant sent = loop_.now();
    clients_[client]->send(look_request(++last_request_id_, kTimeLeftMs),
                           [this, client, sent](const fakes::Client::Answer& answer) {
                             const bool served = answer.status == 200;
                             if (served) latencies_ms_.push_back((loop_.now() - sent).ms());
                             else ++not_served_;
                             next_request_[client]->schedule_after(served ? Duration() : kRetryDelay);
                           });
  }

  void print(const rusage& used) {
    std::sort(latencies_ms_.begin(), latencies_ms_.end());
    const auto served = static_cast<double>(latencies_ms_.size());
    const double answered = served + static_cast<double>(not_served_);
    std::printf("requests_per_s %.0f\n", served / seconds_);
    std::printf("not_served %.4f\n", answered > 0 ? static_cast<double>(not_served_) / answered : 1);
    std::printf("p99_ms %.2f\n", latencies_ms_.empty() ? 0 : latencies_ms_[latencies_ms_.size() * 99 / 100]);
    std::printf("router_cpu_us_per_request %.1f\n", answered > 0 ? cpu_us(used) / answered : 0);
    std::printf("router_peak_memory_kb %ld\n", used.ru_maxrss);
  }

  double seconds_;
  std::uint64_t last_request_id_ = 0;
  std::uint64_t not_served_ = 0;
  std::vector<double> latencies_ms_;
  EventLoop loop_;
  Limits limits_;
  FakeDeployment deployment_;
  RouterProcess router_;
  std::vector<std::unique_ptr<fakes::Client>> clients_;
  std::vector<std::unique_ptr<Timer>> next_request_;  // by client
  Timer begin_timer_;
  Timer end_timer_;
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
