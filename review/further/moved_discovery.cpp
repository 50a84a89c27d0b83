// A new configuration with SIGHUP moves discovery, which is crowded. What discovery has to tell counts as
// told 4 s after SIGHUP.
#include "../standins/standins.hpp"

using namespace standins;

namespace {
constexpr double kToldAfter = 4, kGrace = 1.0, kSlack = 0.05;
constexpr int kHosts = 8, kClients = 24;
std::atomic<bool> stopping = false;
}  // namespace

int main(int, char** argv) {
  record.open(argv[1]);
  HostList list;
  std::vector<std::unique_ptr<Host>> hosts;
  std::atomic<double> sighup_at = 1e9, last = 0;
  std::atomic<int> late = 0;
  for (int i = 0; i < kHosts; ++i) {
    hosts.push_back(std::make_unique<Host>("s-" + std::to_string(i), "milano-est", 0.054, 0.093));
    hosts.back()->on_request = [&, i](const Host&, const Message& request) {
      const double after = now() - sighup_at;
      if (i != 0 || after <= kToldAfter + kGrace + kSlack) return;
      ++late;
      last = after;
      record.line("host 0: %s came %.3f s after SIGHUP", request.field("X-Correlation-Id").c_str(), after);
    };
    list.put(hosts.back()->entry());
  }
  Discovery first(list, "first discovery"), second(list, "second discovery");
  Platform platform(kReleasedState);
  Router router({first.address(), platform.address(), milano_settings()});
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
        served += client.send(request).status == 200;
        ++answers;
        sleep_for(0.1);
      }
    });
  }
  sleep_for(8);
  const double line_at = first.last_line_at();
  while (first.last_line_at() == line_at) sleep_for(0.01);
  sleep_for(0.1);
  second.set_crowded(trouble(), 2);
  router.move_discovery(second.address());
  sighup_at = now();
  first.stop_listening();
  record.line("SIGHUP: discovery moves to the second address");
  sleep_for(1);
  hosts[0]->drain();
  list.put(hosts[0]->listed_as("draining"));
  record.line("host 0 drains");
  sleep_for(0.5);
  first.go_down();
  sleep_for(8);
  second.set_crowded(false, 0);
  sleep_for(8);
  stopping = true;
  for (std::thread& client : clients) client.join();
  char summary[240];
  std::snprintf(summary, sizeof summary,
                "%d of %d requests served; %d attempts at the draining host later than %.2f s after SIGHUP, "
                "the last %.2f s "
                "after it",
                served.load(), answers.load(), late.load(), kToldAfter + kGrace + kSlack, last.load());
  finish(router, late > 0, summary);
}
