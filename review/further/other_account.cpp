// A bad client sends the id of another client's open request, under its own account. It is owed an error.
#include "../standins/standins.hpp"

using namespace standins;

int main(int, char** argv) {
  record.open(argv[1]);
  HostList list;
  std::vector<std::unique_ptr<Host>> hosts;
  std::mutex mutex;
  std::map<std::string, int> runs;
  for (int i = 0; i < 4; ++i) {
    hosts.push_back(std::make_unique<Host>("s-" + std::to_string(i), "milano-est", 0.4, 0.4));
    hosts.back()->on_request = [&, i](const Host&, const Message& request) {
      const std::lock_guard lock(mutex);
      const std::string id = request.field("X-Correlation-Id");
      ++runs[id];
      record.line("host %d: %s id %s account %s: run %d of this id", i, request.start_line.c_str(),
                  id.c_str(), request.field("X-Account").c_str(), runs[id]);
    };
    list.put(hosts.back()->entry());
  }
  Discovery discovery(list, "discovery");
  Platform platform(kReleasedState);
  Router router({discovery.address(), platform.address(), milano_settings()});
  if (!router.wait_until_ready(30)) cannot_run("the router is not ready");
  sleep_for(6);
  int served = 0, usual_served = 0, twice = 0;
  constexpr int kRounds = 15;
  for (int i = 0; i < kRounds; ++i) {
    Request usual;
    usual.method = "POST";
    usual.path = "/notify";
    usual.id = new_id();
    usual.account = "mercato-nord";
    usual.body = "parcel=1";
    usual.time_left_ms = 2000;
    Answered answer;
    std::thread usual_client([&] {
      Client client(router.port());
      answer = client.send(usual);
    });
    sleep_for(0.1);
    Request bad = usual;
    bad.account = "libreria-po";
    if (!trouble()) bad.id = new_id();
    Client client(router.port());
    const double begin = now();
    const Answered bad_answer = client.send(bad);
    usual_client.join();
    record.line(
        "round %d: id %s: the usual client got %d, the client of libreria-po with id %s got %d after %.2f s",
        i, usual.id.c_str(), answer.status, bad.id.c_str(), bad_answer.status, now() - begin);
    usual_served += answer.status == 200;
    served += trouble() && bad_answer.status == 200;
    const std::lock_guard lock(mutex);
    twice += runs[usual.id] > 1;
    sleep_for(0.2);
  }
  char summary[200];
  std::snprintf(summary, sizeof summary,
                "%d usual requests served, %d bad ones served, %d ids of notify ran twice", usual_served,
                served, twice);
  finish(router, served > 0 || twice > 0, summary);
}
