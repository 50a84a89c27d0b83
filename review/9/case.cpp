// Case 9: lists are pushed. Discovery is down for some seconds; at its return its agent has a drain, and calls
// wait in its line. See claim.txt.
#include "lab.hpp"

using namespace lab;

namespace {

constexpr double kOutageMs = 3000;     // the pages: 8 s
constexpr double kCallWaitMs = 1900;   // the pages: calls are worked through in turn; a call waits up to 2 s
constexpr double kGraceMs = 1000;      // rules.drainGraceMs
constexpr double kSlackMs = 50;        // the protocol page: each time limit grows by 50 ms
constexpr int kClients = 10;
constexpr double kPauseMs = 150;       // of a client between two requests

std::atomic<bool> stop_clients{false};
std::atomic<int> answered{0};
std::atomic<int> served{0};

void run_client(int port) {
  Client client(port);
  while (!stop_clients) {
    Request request;
    request.id = new_id();
    request.path = "/look/" + request.id.substr(12);
    request.left_ms = 4000;
    Message answer;
    const int status = client.send(request, answer);
    ++answered;
    if (status == 200) ++served;
    RECORD("client: id %s answered with %d", request.id.c_str(), status);
    sleep_ms(kPauseMs);
  }
}

Settings site() {
  Settings settings;
  settings.discovery = "automatic";  // the list is pushed
  settings.second_copies = true;
  settings.routers = 3;
  settings.classes =
      "{\"name\":\"look\",\"effect\":\"idempotent\",\"goalTimeMs\":1200.0,\"deadlineMs\":4000.0,\"worth\":2.0,\"lateWorth\":0.2},"
      "{\"name\":\"book\",\"effect\":\"at_most_once\",\"goalTimeMs\":2000.0,\"deadlineMs\":6000.0,\"worth\":3.0,\"lateWorth\":0.2}";
  return settings;
}

}  // namespace

int main() {
  const Case run = Case::begin();
  Host hosts[] = {Host("h0", 60), Host("h1", 60), Host("h2", 60), Host("h3", 60)};
  Discovery discovery;
  Platform platform;
  std::vector<Target> targets;
  for (const Host& host : hosts) targets.push_back({host.name(), host.address(), "one"});
  discovery.set(targets);
  Router router(run.temp, "n0", site(), discovery.address(), platform.address(), discovery.whole_list(), platform.state());
  router.start();
  router.wait_until_ready();
  for (int i = 0; i < kClients; ++i) std::thread([&] { run_client(router.port()); }).detach();
  sleep_ms(4000);

  const char* const wait = std::getenv("CALL_WAIT_MS");  // for trials: another wait of the calls
  if (run.trouble) {
    RECORD("discovery goes down");
    discovery.server().go_down();
    sleep_ms(kOutageMs);
    discovery.set_call_wait(wait ? std::atof(wait) : kCallWaitMs);
  }
  // The host drains, and the agent of discovery learns it at its return.
  hosts[0].drain();
  Target drained = targets[0];
  drained.state = "draining";
  const double told = now_ms();
  RECORD("h0 drains: told from now on (discovery %s)", run.trouble ? "is back and has it" : "writes it");
  discovery.set(drained);
  if (run.trouble) discovery.server().open();
  sleep_ms(7000);
  stop_clients = true;
  sleep_ms(300);

  int late = 0;
  double latest = 0;
  for (const Host::Run& one : hosts[0].runs()) {
    if (one.at_ms <= told + kGraceMs + kSlackMs) continue;
    ++late;
    latest = std::max(latest, one.at_ms - told);
  }
  char figures[200];
  std::snprintf(figures, sizeof figures, "%d requests sent to the draining host after the grace, the last %.0f ms after it counted as told; %d requests answered, %d served",
                late, latest, answered.load(), served.load());
  if (!router.is_running()) cannot_run("the router has ended");
  if (served < 100) cannot_run(figures);
  finish(late > 0 ? kBroken : kHeld, figures);
}
