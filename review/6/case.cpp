// Case 6: hosts are replaced one after another while some connections to them come up late, clients leave early
// and the router is held up for less than 0.15 s. See claim.txt.
#include "lab.hpp"

#include <algorithm>

using namespace lab;

namespace {

constexpr int kHosts = 6;               // at a time
constexpr int kReplacements = 12;
constexpr double kWorkMs = 80;
constexpr int kBacklog = 2;             // of the hosts' listeners, so that connections can be held back
constexpr double kLateMs = 400;         // new connections to a host come up late by this: up to 1 s
constexpr double kLateBeforeDrainMs = 200;
constexpr double kHeldUpMs = 100;       // the router is held up for this: up to 150 ms
constexpr double kBetweenDrainsMs = 1500;
constexpr int kRouters = 3;
constexpr int kClients = 32;             // of each router
constexpr double kPauseMs = 60;         // of a client between two requests, on average
constexpr long kLeftMs = 2000;          // the client timeout of the class
constexpr double kTargetLatencyMs = 500;
constexpr double kMinPatience = 0.27;   // of the target latency, of clients that leave early
constexpr double kMaxPatience = 0.51;

std::atomic<bool> stop_clients{false};
std::atomic<bool> clients_leave{false};
std::atomic<long> answered{0}, served{0}, left_early{0}, lost{0}, refused{0};

// A client that sends one request after another. Where clients leave early, two of three requests are given up after
// 27 to 51% of the target latency: the client closes its connection then.
void run_client(int port, unsigned seed) {
  std::unique_ptr<MessageReader> reader;
  int fd = -1;
  while (!stop_clients) {
    seed = seed * 1664525U + 1013904223U;
    sleep_ms(kPauseMs * 2 * ((seed >> 8) % 1000) / 1000.0);
    const bool leaves = clients_leave && (seed >> 4) % 3 != 0;
    const double share = kMinPatience + (kMaxPatience - kMinPatience) * ((seed >> 12) % 1000) / 1000.0;
    const double patience_ms = leaves ? share * kTargetLatencyMs : kLeftMs + 550;
    Request request;
    request.id = new_id();
    request.method = "POST";
    request.path = "/scan/" + request.id.substr(12);
    request.fields = "Idempotency-Key: " + request.id + "\r\n";
    request.body = "scan";
    request.left_ms = kLeftMs;
    const bool fresh = fd < 0;
    if (fresh) {
      fd = connect_to(port);
      if (fd < 0) {
        ++refused;
        sleep_ms(20);
        continue;
      }
      reader = std::make_unique<MessageReader>(fd);
    }
    Message answer;
    const bool sent = send_all(fd, request.bytes());
    if (sent && reader->read(answer, patience_ms)) {
      ++answered;
      if (answer.status() == 200) ++served;
      RECORD("client: id %s answered with %d", request.id.c_str(), answer.status());
      if (answer.field("connection") != "close") continue;
    } else if (leaves && sent && !reader->has_ended()) {
      ++left_early;
      RECORD("client: id %s given up, the client closes its connection", request.id.c_str());
    } else if (fresh || !reader->has_ended()) {
      ++lost;
      RECORD("client: id %s had no answer, its connection %s", request.id.c_str(),
             reader->has_ended() ? "has ended" : "is open");
    }
    ::close(fd);
    fd = -1;
  }
}

// The host keeps no connection open between requests.
std::string answer_and_close(Host& host, int fd, MessageReader&, const Message& request) {
  sleep_ms(host.work_ms());
  send_all(fd, http_answer(200, host.ran_body(request), "Connection: close\r\n"));
  ::shutdown(fd, SHUT_RDWR);
  return "";
}

Settings site(int number) {
  Settings settings;
  settings.discovery = "automatic";
  settings.drain_grace_ms = "2000.0";
  settings.second_copies = true;
  settings.routers = kRouters;
  settings.number = number;
  settings.classes =
      "{\"name\":\"status\",\"effect\":\"idempotent\",\"goalTimeMs\":1000.0,\"deadlineMs\":2500.0,\"worth\":1.0},"
      "{\"name\":\"scan\",\"effect\":\"deduplicated\",\"group\":\"zone\",\"memorySpanMs\":1200.0,"
      "\"goalTimeMs\":500.0,\"deadlineMs\":2000.0,\"worth\":2.0}";
  return settings;
}

}  // namespace

int main() {
  const Case run = Case::begin();
  std::list<Host> hosts;
  std::vector<Target> targets;
  const auto add_host = [&] {
    hosts.emplace_back("h" + std::to_string(hosts.size()), kWorkMs, kBacklog);
    hosts.back().set_handler(answer_and_close);
    targets.push_back({hosts.back().name(), hosts.back().address(), "one"});
  };
  for (int i = 0; i < kHosts; ++i) add_host();
  Discovery discovery;
  Platform platform;
  discovery.set(targets);
  std::list<Router> routers;
  for (int i = 0; i < kRouters; ++i) {
    routers.emplace_back(run.temp, "n" + std::to_string(i), site(i), discovery.address(), platform.address(),
                         discovery.whole_list(), platform.state());
    routers.back().start();
  }
  for (const Router& router : routers) router.wait_until_ready();
  clients_leave = run.trouble;
  unsigned seed = 0;
  for (const Router& router : routers) {
    for (int i = 0; i < kClients; ++i)
      std::thread([&, seed = 7919U * ++seed] { run_client(router.port(), seed); }).detach();
  }
  const auto all_run = [&] {
    return std::all_of(routers.begin(), routers.end(), [](const Router& one) { return one.is_running(); });
  };
  const auto signal_all = [&](int number) {
    for (const Router& router : routers) router.signal(number);
  };
  sleep_ms(2000);
  if (run.trouble && !std::getenv("NO_SILENCE")) discovery.let_watches_fall_silent();
  sleep_ms(3500);

  int drained = 0;
  for (auto host = hosts.begin(); drained < kReplacements && all_run(); ++host) {
    add_host();  // the successor runs, and the host is drained after that
    targets.back().boot_ms = unix_ms();
    discovery.set(targets.back());
    sleep_ms(kBetweenDrainsMs);
    if (run.trouble) {
      RECORD("new connections to %s come up late from now on", host->name().c_str());
      host->server().hold_connections();
    }
    sleep_ms(kLateBeforeDrainMs);
    if (run.trouble) signal_all(SIGSTOP);
    sleep_ms(kHeldUpMs / 2);
    RECORD("%s drains", host->name().c_str());
    Target& target = targets[static_cast<std::size_t>(drained++)];
    target.state = "draining";
    discovery.set(target);
    sleep_ms(kHeldUpMs / 2);
    if (run.trouble) signal_all(SIGCONT);
    sleep_ms(kLateMs - kLateBeforeDrainMs - kHeldUpMs);
    if (run.trouble) host->server().release_connections();
    host->drain();
  }
  const bool running = all_run();
  if (!running) RECORD("a router process has ended by itself");
  sleep_ms(kLeftMs + 600);
  stop_clients = true;
  char figures[240];
  std::snprintf(figures, sizeof figures,
                "%s after %d drains; %ld requests had no answer, %ld connections were refused; %ld "
                "answered, %ld served, %ld given up by clients",
                running ? "all routers run" : "a router process has ended", drained, lost.load(), refused.load(), answered.load(), served.load(),
                left_early.load());
  if (served < 100) cannot_run(figures);
  finish(!running || lost > 0 ? kBroken : kHeld, figures);
}
