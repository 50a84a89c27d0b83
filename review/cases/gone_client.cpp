// Bad clients open hundreds of connections and say nothing. Meanwhile a client gives up early: it closes its
// connection. No attempt for its request may begin more than 0.1 s after that.
#include "../standins/standins.hpp"

using namespace standins;

namespace {
constexpr int kHosts = 4;
constexpr int kRounds = 7;                                // about 33 s, of 15 to 35 s
constexpr int kUsualClients = 5, kImpatient = 4;          // 0.8 of the clients leave early, of 0.4 to 0.85
constexpr int kBadClients = 3, kSilentConnections = 350;  // of each bad client
constexpr double kPatience = 0.25;                        // a third of the class's target latency of 750 ms
constexpr double kMostAfterClose = 0.1;                   // the rule
}  // namespace

int main(int, char** argv) {
  record.open(argv[1]);
  HostList list;
  std::vector<std::unique_ptr<Host>> hosts;
  std::mutex mutex;
  std::map<std::string, double> closed;  // by id: when its client closed the connection
  std::map<std::string, int> runs;       // by the parcel of a notice
  int twice = 0;
  std::atomic<int> late = 0;
  std::atomic<double> latest = 0;
  for (int i = 0; i < kHosts; ++i) {
    hosts.push_back(std::make_unique<Host>("s-" + std::to_string(i), "milano-est", 0.054, 0.093));
    hosts.back()->on_request = [&, i](const Host&, const Message& request) {
      const std::lock_guard lock(mutex);
      const std::string id = request.field("X-Correlation-Id");
      const int times = ++runs[request.body];
      if (times > 1) {
        ++twice;
        record.line("the notice of %s runs the second time", request.body.c_str());
      }
      const auto found = closed.find(id);
      record.line("host %d: runs %s %s", i, request.start_line.c_str(), id.c_str());
      if (found == closed.end()) return;
      const double after = now() - found->second;
      record.line("%s: the attempt for %s at host %d came %.3f s after its client had closed",
                  after > kMostAfterClose ? "BROKEN" : "allowed", id.c_str(), i, after);
      if (after <= kMostAfterClose) return;
      ++late;
      latest = std::max(latest.load(), after);
    };
    list.put(hosts.back()->entry());
  }
  Discovery discovery(list, "discovery");
  Platform platform(kReleasedState);
  RouterOptions options{discovery.address(), platform.address(), milano_settings()};
  options.sockets = 256;
  Router router(options);
  if (!router.wait_until_ready(30)) cannot_run("the router is not ready");
  sleep_for(6);
  std::atomic<int> left = 0;
  // Sends a `notify` on a new connection and closes it after the answer, or without one after `patience`.
  // Returns whether it was answered.
  const auto send_and_leave = [&](int port, int parcel, double patience) {
    Request request;
    request.method = "POST";
    request.path = "/notify";
    request.id = new_id();
    request.account = "mercato-nord";
    request.body = "parcel=" + std::to_string(parcel);
    request.time_left_ms = 2000;
    const int fd = connect_to(port);
    if (fd < 0) return false;
    Reader reader(fd);
    send_all(fd, request.text());
    record.line("sent %s for parcel %d", request.id.c_str(), parcel);
    const Message answer = reader.read(now() + patience);
    const std::lock_guard lock(mutex);
    ::close(fd);
    if (answer.complete) {
      record.line("%s answered with %d", request.id.c_str(), answer.status());
      return true;
    }
    closed[request.id] = now();
    record.line("closed %s, no answer", request.id.c_str());
    return false;
  };
  for (int round = 0; round < kRounds; ++round) {
    std::vector<int> silent;
    if (trouble()) {
      for (int i = 0; i < kBadClients * kSilentConnections; ++i) {
        const int fd = connect_to(router.port());
        if (fd >= 0) silent.push_back(fd);
      }
    }
    record.line("%zu silent connections open", silent.size());
    std::vector<std::thread> clients;
    for (int i = 0; i < kUsualClients; ++i) {
      clients.emplace_back([&, parcel = round * kUsualClients + i] {
        const bool impatient = parcel % kUsualClients < kImpatient;
        if (send_and_leave(router.port(), parcel, impatient ? kPatience : 2.5) || !impatient) return;
        ++left;
        send_and_leave(router.port(), parcel, 2.5);  // its retry, with a new id, for which it waits
      });
    }
    for (std::thread& client : clients) client.join();
    sleep_for(3);
    for (const int fd : silent) ::close(fd);
    sleep_for(1);
  }
  char summary[200];
  std::snprintf(summary, sizeof summary,
                "%d clients left early, %d attempts began more than 0.1 s after that, the latest %.2f s; %d "
                "notices ran twice",
                left.load(), late.load(), latest.load(), twice);
  finish(router, late > 0, summary);
}
