// Hosts send a second copy of an answer some milliseconds late. A client must still be served only with the
// answer made for its request.
#include "../standins/standins.hpp"

using namespace standins;

namespace {

constexpr double kOneWay =
    0.001;  // of the network, within the site's 0.7 to 1.3 ms between its two data centres
constexpr double kCopyLate = 0.005,
                 kCopyLateRange = 0.005;   // a second copy comes 5 to 10 ms after its answer
constexpr unsigned kAnswersForACopy = 20;  // one answer in 20 has a second copy
constexpr double kFirstCopies = 8, kSecondCopies = 74, kCopiesLast = 3, kRunSeconds = 82;
constexpr int kHosts = 8;
constexpr int kRouters = 2;
constexpr int kClients = 56 * kRouters;  // about 700 requests a second at each router

// Carries bytes from one socket to the other, each `kOneWay` late.
void carry(int from, int to) {
  char bytes[16384];
  while (true) {
    const ssize_t count = ::recv(from, bytes, sizeof bytes, 0);
    if (count <= 0) break;
    sleep_for(kOneWay);
    if (!send_all(to, std::string(bytes, static_cast<std::size_t>(count)))) break;
  }
  ::shutdown(to, SHUT_WR);
  ::shutdown(from, SHUT_RD);
}

std::atomic<int> answers = 0, foreign = 0, failed = 0, copies = 0, withheld = 0;
std::atomic<bool> copying = false, stopping = false;

}  // namespace

int main(int, char** argv) {
  record.open(argv[1]);
  HostList list;
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<std::unique_ptr<Server>> links;
  for (int i = 0; i < kHosts; ++i) {
    hosts.push_back(std::make_unique<Host>("s-" + std::to_string(i), "milano-ovest", 0.054, 0.093));
    Host& host = *hosts.back();
    const int port = host.port();
    host.on_request = [i](const Host&, const Message& request) {
      record.line("host %d: ran %s", i, request.field("X-Correlation-Id").c_str());
    };
    host.after_answer = [i](int fd, const std::string& answer) {
      static std::atomic<unsigned> count = 0;
      const unsigned number = ++count;
      if (!copying || number % kAnswersForACopy != 0) return;
      sleep_for(kCopyLate + kCopyLateRange * (number / kAnswersForACopy % 6) / 5);
      if (readable(fd, 0)) {  // another request is waiting on this connection
        ++withheld;
        return;
      }
      ++copies;
      record.line("host %d: second copy of the answer to %s", i,
                  answer.substr(answer.find("\r\n\r\n") + 4).c_str());
      send_all(fd, answer);
    };
    links.push_back(std::make_unique<Server>([port](int fd) {
      const int to = connect_to(port);
      if (to < 0) return;
      std::thread back([to, fd] { carry(to, fd); });
      carry(fd, to);
      back.join();
      ::close(to);
    }));
    host.set_address(links.back()->address());
    list.put(host.entry());
  }
  Discovery discovery(list, "discovery");
  Platform platform(kReleasedState);
  RouterOptions options{discovery.address(), platform.address(), milano_settings()};
  std::vector<std::unique_ptr<Router>> routers;
  for (int i = 0; i < kRouters; ++i) {
    options.name = "n" + std::to_string(i);
    options.settings = milano_settings();
    options.settings.replace(options.settings.find("\"myNumber\":0"), 12,
                             "\"myNumber\":" + std::to_string(i));
    options.settings.replace(options.settings.find("\"replicasOfMe\":2"), 16,
                             "\"replicasOfMe\":" + std::to_string(kRouters));
    routers.push_back(std::make_unique<Router>(options));
  }
  for (const auto& router : routers) {
    if (!router->wait_until_ready(30)) cannot_run("a router is not ready");
  }
  record.line("the routers are ready");
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([port = routers[static_cast<std::size_t>(i % kRouters)]->port(), i] {
      Client client(port);
      for (int n = i / kRouters; !stopping; ++n) {
        Request request;
        request.id = new_id();
        request.account = "mercato-nord";
        const int kind = n % 4;
        request.path = kind < 2 ? "/track/7" : kind == 2 ? "/book-pickup" : "/notify";
        if (kind >= 2) request.method = "POST", request.body = "parcel=" + request.id;
        if (kind == 2) request.key = "key-" + request.id;
        request.time_left_ms = kind == 3 ? 2000 : 2500;
        record.line("client %d: sent %s, %s", i, request.id.c_str(), request.path.c_str());
        const Answered answer = client.send(request);
        record.line("client %d: %s answered with %d %s", i, request.id.c_str(), answer.status,
                    answer.status == 200 ? answer.body.c_str() : "");
        if (answer.status == 200 && answer.body != request.id) {
          ++foreign;
          record.line("FOREIGN: client %d: %s (%s) was served with the answer made for %s", i,
                      request.id.c_str(), request.path.c_str(), answer.body.c_str());
        }
        if (answer.status != 200) {
          ++failed;
          sleep_for(0.1);
        }
        ++answers;
      }
    });
  }
  for (const double begin : {kFirstCopies, kSecondCopies}) {
    sleep_until(begin);
    copying = trouble();
    record.line("second copies: %s", copying ? "on" : "off");
    sleep_until(begin + kCopiesLast);
    copying = false;
    record.line("second copies: off");
  }
  sleep_until(kRunSeconds);
  stopping = true;
  for (std::thread& client : clients) client.join();
  char summary[200];
  std::snprintf(summary, sizeof summary,
                "%d answers, %d not 200, %d second copies sent, %d withheld, %d clients got the answer to "
                "another request",
                answers.load(), failed.load(), copies.load(), withheld.load(), foreign.load());
  for (const auto& router : routers) {
    if (!router->is_running() && foreign == 0) cannot_run("a router ended by itself");
  }
  finish(*routers[0], foreign > 0, summary);
}
