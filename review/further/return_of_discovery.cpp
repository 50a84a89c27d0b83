// Discovery is down for 9 s; during that time a host starts to drain. Where lists are pushed, what the agent
// gets at the return counts as told at once.
#include "../standins/standins.hpp"

using namespace standins;

namespace {
constexpr double kOutage = 9.5, kGrace = 1.0, kSlack = 0.05;
constexpr int kRounds = 4, kHosts = 12, kClients = 12;
std::atomic<bool> stopping = false;
}  // namespace

int main(int, char** argv) {
  record.open(argv[1]);
  HostList list;
  std::vector<std::unique_ptr<Host>> hosts;
  struct Drain {
    std::atomic<double> told{1e9};
    std::atomic<int> late{0};
    std::atomic<double> last{0};
  };
  std::vector<Drain> drains(kHosts);
  for (int i = 0; i < kHosts; ++i) {
    hosts.push_back(std::make_unique<Host>("s-" + std::to_string(i), "torino-nord", 0.11, 0.19));
    hosts.back()->on_request = [&drains, i](const Host&, const Message& request) {
      const double after = now() - drains[i].told;
      if (after <= kGrace + kSlack) return;
      ++drains[i].late;
      drains[i].last = after;
      record.line("host %d: %s came %.3f s after its drain counted as told", i,
                  request.field("X-Correlation-Id").c_str(), after);
    };
    list.put(hosts.back()->entry());
  }
  Discovery discovery(list, "discovery");
  Platform platform(kReleasedState);
  Router router({discovery.address(), platform.address(), torino_settings()});
  if (!router.wait_until_ready(30)) cannot_run("the router is not ready");
  record.line("the router is ready");
  std::atomic<int> answers = 0, served = 0;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      Client client(router.port());
      for (int n = i; !stopping; ++n) {
        Request request;
        request.id = new_id();
        request.account = "casa-ferri";
        request.path = n % 5 < 3 ? "/slot-lookup" : "/slot-booking";
        if (n % 5 >= 3) request.method = "POST", request.body = "box=1";
        request.time_left_ms = n % 5 < 3 ? 4000 : 6000;
        served += client.send(request).status == 200;
        ++answers;
        sleep_for(0.1);
      }
    });
  }
  for (int round = 0; round < kRounds; ++round) {
    sleep_for(5);
    if (trouble()) {
      discovery.go_down();
      record.line("discovery: down");
    }
    sleep_for(kOutage - 0.5);
    Host& host = *hosts[round];
    host.drain();
    list.put(host.listed_as("draining"));
    record.line("host %d drains", round);
    if (!trouble()) drains[round].told = now();
    sleep_for(0.5);
    if (trouble()) {
      discovery.come_up();
      drains[round].told = now();
      record.line("discovery: up again; the drain of host %d counts as told", round);
    }
    sleep_for(10);
  }
  stopping = true;
  for (std::thread& client : clients) client.join();
  int late = 0, broken_rounds = 0;
  double last = 0;
  for (Drain& drain : drains) {
    late += drain.late;
    broken_rounds += drain.late > 0;
    last = std::max(last, drain.last.load());
  }
  char summary[240];
  std::snprintf(summary, sizeof summary,
                "%d of %d requests served; %d attempts at a draining host after the grace, in %d of %d "
                "outages, up to %.2f s "
                "after it counted as told",
                served.load(), answers.load(), late, broken_rounds, kRounds, last);
  finish(router, late > 0, summary);
}
