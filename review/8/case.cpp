// Case 8: a host sends spoilt answers whose length does not fit. See claim.txt.
#include "lab.hpp"

using namespace lab;

namespace {

constexpr int kClients = 8;
constexpr double kPauseMs = 100;
constexpr double kRunMs = 6000;
constexpr int kSpoilEvery = 10;  // one answer of so many

std::atomic<bool> stop_clients{false};
std::atomic<long> answered{0}, served{0}, wrong{0}, spoilt{0}, requests{0};

void run_client(int port) {
  Client client(port);
  while (!stop_clients) {
    Request request;
    request.id = new_id();
    request.path = "/look/" + request.id;
    Message answer;
    const int status = client.send(request, answer);
    if (stop_clients) return;
    ++answered;
    if (status == 200) ++served;
    const bool whole = answer.body.find(" ran " + request.id + "\n") != std::string::npos;
    RECORD("client: id %s answered with %d, %zu bytes: %s", request.id.c_str(), status, answer.body.size(), answer.body.substr(0, answer.body.find('\n')).c_str());
    if (status == 200 && !whole) ++wrong;
    sleep_ms(kPauseMs);
  }
}

std::string answer_with_short_length(Host& host, int, MessageReader&, const Message& request) {
  sleep_ms(host.work_ms());
  const std::string body = host.ran_body(request);
  if (++requests % kSpoilEvery != 0) return http_answer(200, body);
  ++spoilt;
  RECORD("%s spoils the answer to %s: a body of %zu bytes, said to have %zu", host.name().c_str(),
         request.field("x-correlation-id").c_str(), body.size(), body.size() / 2);
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size() / 2) + "\r\n\r\n" + body;
}

}  // namespace

int main() {
  const Case run = Case::begin();
  Host hosts[] = {Host("h0", 60), Host("h1", 60), Host("h2", 60)};
  Discovery discovery;
  Platform platform;
  std::vector<Target> targets;
  for (Host& host : hosts) {
    if (run.trouble) host.set_handler(answer_with_short_length);
    targets.push_back({host.name(), host.address(), "one"});
  }
  discovery.set(targets);
  Router router(run.temp, "n0", Settings(), discovery.address(), platform.address(), discovery.whole_list(), platform.state());
  router.start();
  router.wait_until_ready();
  for (int i = 0; i < kClients; ++i) std::thread([&] { run_client(router.port()); }).detach();
  sleep_ms(kRunMs);
  stop_clients = true;
  char figures[200];
  std::snprintf(figures, sizeof figures, "%ld requests served with 200 and a part of the answer; %ld answered, %ld served, %ld spoilt answers sent",
                wrong.load(), answered.load(), served.load(), spoilt.load());
  if (!router.is_running()) cannot_run("the router has ended");
  if (served < 100) cannot_run(figures);
  finish(wrong > 0 ? kBroken : kHeld, figures);
}
