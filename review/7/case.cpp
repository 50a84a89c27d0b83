// Case 7: bad clients send a request that cannot be served, and the same again as soon as it is turned away. See
// claim.txt.
#include "lab.hpp"

using namespace lab;

namespace {

constexpr int kBadClients = 130;
constexpr int kGoodClients = 24;
constexpr double kPauseMs = 400;
constexpr double kBeforeMs = 4000;
constexpr double kDuringMs = 15'000;
constexpr long kLeftMs = 2000;

std::atomic<bool> stop_clients{false};
std::atomic<long> answered{0}, served{0}, lost{0}, bad_answers{0};

void run_good_client(int port) {
  Client client(port);
  while (!stop_clients) {
    Request request;
    request.id = new_id();
    request.path = "/look/" + request.id.substr(12);
    request.left_ms = kLeftMs;
    Message answer;
    const double sent = now_ms();
    const int status = client.send(request, answer);
    if (stop_clients) return;
    if (status == 0) {
      ++lost;
      RECORD("usual client: id %s had no answer %.0f ms after it was sent, with %ld ms to answer", request.id.c_str(), now_ms() - sent, kLeftMs);
    } else {
      ++answered;
      if (status == 200) ++served;
      RECORD("usual client: id %s answered with %d after %.0f ms", request.id.c_str(), status, now_ms() - sent);
    }
    sleep_ms(kPauseMs);
  }
}

// Sends a request of a class that does not exist, and the same again as soon as it is turned away.
void run_bad_client(int port) {
  while (!stop_clients) {
    const int fd = connect_to(port);
    if (fd < 0) return;
    Request request;
    request.id = new_id();
    request.path = "/nothing";
    MessageReader reader(fd);
    Message answer;
    while (!stop_clients && send_all(fd, request.bytes()) && reader.read(answer, 60'000)) ++bad_answers;
    ::close(fd);
  }
}

}  // namespace

int main() {
  const Case run = Case::begin();
  Host hosts[] = {Host("h0", 60), Host("h1", 60), Host("h2", 60)};
  Discovery discovery;
  Platform platform;
  std::vector<Target> targets;
  for (const Host& host : hosts) targets.push_back({host.name(), host.address(), "one"});
  discovery.set(targets);
  Settings settings;
  settings.sockets = 256;
  Router router(run.temp, "n0", settings, discovery.address(), platform.address(), discovery.whole_list(), platform.state());
  router.start();
  router.wait_until_ready();
  for (int i = 0; i < kGoodClients; ++i) {
    std::thread([&] { run_good_client(router.port()); }).detach();
    sleep_ms(kPauseMs / kGoodClients);
  }
  sleep_ms(kBeforeMs);
  if (run.trouble) {
    const char* const count = std::getenv("BAD_CLIENTS");  // for trials
    RECORD("the bad clients come");
    for (int i = 0; i < (count ? std::atoi(count) : kBadClients); ++i) std::thread([&] { run_bad_client(router.port()); }).detach();
  }
  sleep_ms(kDuringMs);
  stop_clients = true;
  char figures[200];
  std::snprintf(figures, sizeof figures, "%ld requests of the usual clients had no answer 0.6 s after their time; %ld answered, %ld served; %ld answers to bad requests",
                lost.load(), answered.load(), served.load(), bad_answers.load());
  if (!router.is_running()) cannot_run("the router has ended");
  if (served < 100) cannot_run(figures);
  finish(lost > 0 ? kBroken : kHeld, figures);
}
