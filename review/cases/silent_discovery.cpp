// Discovery is cut off for some seconds: its watch stays open and silent. A host begins to drain while the
// watch is silent. What a silent watch misses counts as told at the latest 6 s after it fell silent.
#include "../standins/standins.hpp"

using namespace standins;

namespace {
constexpr double kCutOff = 10;                                 // of 9.4 to 22 s
constexpr double kDrainAfter = 2.1;                            // the watch is still open then
constexpr double kToldAfter = 6, kGrace = 1.0, kSlack = 0.05;  // the rule
constexpr int kRounds = 1, kHosts = 12, kClients = 30;
std::atomic<bool> stopping = false;
struct Drain {
  std::atomic<double> told{1e9}, last{0};
  std::atomic<int> late{0};
};
}  // namespace

int main(int, char** argv) {
  record.open(argv[1]);
  HostList list;
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<Drain> drains(kHosts);
  for (int i = 0; i < kHosts; ++i) {
    hosts.push_back(std::make_unique<Host>("s-" + std::to_string(i), "milano-est", 0.054, 0.093));
    hosts.back()->on_request = [&drain = drains[static_cast<std::size_t>(i)], i](const Host&,
                                                                                 const Message& request) {
      const double after = now() - drain.told;
      const std::string id = request.field("X-Correlation-Id");
      record.line("host %d: %s %s", i, request.start_line.c_str(), id.c_str());
      if (after <= kGrace + kSlack) return;
      ++drain.late;
      drain.last = after;
      record.line("BROKEN: the attempt for %s came to host %d %.3f s after its drain counted as told",
                  id.c_str(), i, after);
    };
    list.put(hosts.back()->entry());
  }
  Discovery discovery(list, "discovery");
  Platform platform(kReleasedState);
  Router router({discovery.address(), platform.address(), milano_settings()});
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
        request.account = "mercato-nord";
        const int kind = n % 4;
        request.path = kind < 2 ? "/track/7" : kind == 2 ? "/book-pickup" : "/notify";
        if (kind >= 2) request.method = "POST", request.body = "parcel=" + request.id;
        if (kind == 2) request.key = "key-" + request.id;
        request.time_left_ms = kind == 3 ? 2000 : 2500;
        record.line("client %d: sent %s", i, request.id.c_str());
        const int status = client.send(request).status;
        record.line("client %d: %s answered with %d", i, request.id.c_str(), status);
        served += status == 200;
        ++answers;
        sleep_for(0.1);
      }
    });
  }
  sleep_for(5);
  for (int round = 0; round < kRounds; ++round) {
    sleep_for(3);
    const double line_at = discovery.last_line_at();
    while (discovery.last_line_at() == line_at) sleep_for(0.005);
    sleep_for(0.02);
    const double silent_at = now();
    if (trouble()) {
      discovery.be_cut_off();
      record.line("discovery: cut off, its watch is silent from now on");
    }
    sleep_until(silent_at + kDrainAfter);
    Host& host = *hosts[static_cast<std::size_t>(round)];
    host.drain();
    list.put(host.listed_as("draining"));
    record.line("discovery: host %d drains", round);
    drains[static_cast<std::size_t>(round)].told = trouble() ? silent_at + kToldAfter : now();
    sleep_until(silent_at + kCutOff);
    if (trouble()) {
      discovery.be_reachable();
      record.line("discovery: in reach again");
    }
    sleep_for(8);
  }
  stopping = true;
  for (std::thread& client : clients) client.join();
  int late = 0, rounds = 0;
  double last = 0;
  for (const Drain& drain : drains) {
    late += drain.late;
    rounds += drain.late > 0;
    last = std::max(last, drain.last.load());
  }
  char summary[240];
  std::snprintf(summary, sizeof summary,
                "%d of %d requests served; %d attempts at a draining host after the grace, in %d of %d "
                "rounds, up to %.2f s "
                "after its drain counted as told",
                served.load(), answers.load(), late, rounds, kRounds, last);
  finish(router, late > 0, summary);
}
