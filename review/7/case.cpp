// Case 7: endpoints under load send a second copy of an answer some milliseconds after it, with nothing else
// waiting on the connection. See claim.txt.
#include "lab.hpp"

using namespace lab;

namespace {

constexpr int kHosts = 3;
constexpr double kWorkMs = 60;
constexpr double kOneWayMs = 1.3;        // between two zones: 0.7 to 1.3 ms
constexpr double kCopyAfterMs = 6.5;     // "some milliseconds late"
constexpr double kQuietMs = 5000;        // load without the disruption
constexpr double kSpellMs = 3000;        // load with it
constexpr double kBetweenSpellsMs = 62'000;
constexpr int kClients = 90;
constexpr double kPauseMs = 55;          // of a client between two requests, on average

constexpr long kTurnedAwayOneOf = 20;    // requests: a full queue, with and without the disruption

std::mutex runs_mutex;
std::map<std::string, int> runs;         // by id, of requests that were not turned away
std::atomic<bool> stop_clients{false};
std::atomic<bool> spoils{false};
std::atomic<bool> idle_clients{false};
std::atomic<long> answered{0}, served{0}, foreign{0}, unserved{0}, copies{0}, requests{0};

void run_client(int port, unsigned seed) {
  Client client(port);
  while (!stop_clients) {
    seed = seed * 1664525U + 1013904223U;
    if (idle_clients && (seed >> 8) % 20 != 0) {  // little traffic between the spells
      sleep_ms(50);
      continue;
    }
    sleep_ms(kPauseMs * 2 * ((seed >> 8) % 1000) / 1000.0);
    Request request;
    request.id = new_id();
    request.path = "/look/" + request.id;
    if ((seed >> 16) % 4 == 0) {  // of the unsafe class
      request.method = "POST";
      request.path = "/send/" + request.id;
      request.body = "notice";
    }
    request.left_ms = 2000;
    Message answer;
    const int status = client.send(request, answer);
    ++answered;
    if (status != 200) {
      ++unserved;
      RECORD("client: id %s answered with %d", request.id.c_str(), status);
      continue;
    }
    ++served;
    if (answer.body.find(request.id) != std::string::npos) continue;
    ++foreign;
    RECORD("client: id %s was served with the answer of another request: %s", request.id.c_str(),
           answer.body.substr(0, answer.body.find('\n')).c_str());
  }
}

// Answers, and sends the answer a second time a little later if no byte of another request has come meanwhile.
std::string answer_and_copy(Host& host, int fd, MessageReader& reader, const Message& request) {
  const bool queue_full = ++requests % kTurnedAwayOneOf == 0;
  if (!queue_full) {
    const std::lock_guard lock(runs_mutex);
    ++runs[request.field("x-correlation-id")];
  }
  sleep_ms(queue_full ? 1 : host.work_ms());
  const std::string answer = queue_full ? http_answer(503, "queue full\n", "X-Unprocessed: 1\r\n")
                                        : http_answer(200, host.ran_body(request));
  if (queue_full) RECORD("%s turned id %s away", host.name().c_str(), request.field("x-correlation-id").c_str());
  if (!spoils) return answer;
  const double sent = now_ms();
  if (!send_all(fd, answer)) return "";
  if (reader.has_buffered_bytes() || is_readable(fd, 0)) return "";
  sleep_until_ms(sent + kCopyAfterMs);
  if (reader.has_buffered_bytes() || is_readable(fd, 0)) return "";  // something else waits on the connection
  ++copies;
  RECORD("%s sends a second copy of %s, %.1f ms after the first", host.name().c_str(),
         request.field("x-correlation-id").c_str(), now_ms() - sent);
  return answer;
}

}  // namespace

int main() {
  const Case run = Case::begin();
  std::list<Host> hosts;
  std::list<DelayProxy> network;
  Discovery discovery;
  Platform platform;
  std::vector<Target> targets;
  for (int i = 0; i < kHosts; ++i) {
    hosts.emplace_back("h" + std::to_string(i), kWorkMs);
    hosts.back().set_handler(answer_and_copy);
    network.emplace_back(hosts.back().port(), kOneWayMs);
    targets.push_back({hosts.back().name(), network.back().address(), "two"});
  }
  discovery.set(targets);
  Router router(run.temp, "n0", Settings(), discovery.address(), platform.address(), discovery.whole_list(), platform.state());
  router.start();
  router.wait_until_ready();
  for (int i = 0; i < kClients; ++i) std::thread([&, i] { run_client(router.port(), 7919U * static_cast<unsigned>(i + 1)); }).detach();

  for (int spell = 0; spell < 2 && foreign == 0; ++spell) {
    if (spell > 0) {
      RECORD("a quiet time");
      idle_clients = true;
      sleep_ms(kBetweenSpellsMs);
      idle_clients = false;
    }
    sleep_ms(kQuietMs);
    RECORD("spell %d of spoilt answers begins: %ld served so far", spell, served.load());
    spoils = run.trouble;
    sleep_ms(kSpellMs);
    spoils = false;
    sleep_ms(200);
  }
  stop_clients = true;
  sleep_ms(300);
  long unsafe_ran_twice = 0;
  for (const Host& host : hosts) {
    for (const Host::Run& one : host.runs()) {
      const std::lock_guard lock(runs_mutex);
      int& count = runs[one.id];
      if (one.path.starts_with("/send/") && count > 1) {
        ++unsafe_ran_twice;
        RECORD("id %s of the unsafe class ran %d times", one.id.c_str(), count);
        count = 1;
      }
    }
  }
  char figures[240];
  std::snprintf(figures, sizeof figures,
                "%ld requests served with the answer of another request, %ld of an unsafe class ran twice; %ld answered, "
                "%ld served, %ld second copies sent",
                foreign.load(), unsafe_ran_twice, answered.load(), served.load(), copies.load());
  if (!router.is_running()) cannot_run("the router has ended");
  if (served < 1000) cannot_run(figures);
  finish(foreign > 0 || unsafe_ran_twice > 0 ? kBroken : kHeld, figures);
}
