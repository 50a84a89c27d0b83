// Soak test: real router processes between fakes on loopback, with faults drawn from a seed. Discovery fails
// and is overloaded when it returns; lines of a watch stop half-way; watches receive nothing further; several
// endpoints drain at the same time; routers are killed, stopped and reloaded one after another; system calls
// fail; the wall clock steps.
//
// The test judges by what clients and endpoints observe. Each request gets one final answer in time. No
// unsafe request runs twice, or is rejected after it ran. No request reaches an endpoint after the drain
// grace that starts when the router counts as notified of the drain.
//   proof_soak --seconds N --seed N
// The environment variable ASHBEAM_PROGRAM names the router program; the default is `ashbeam` in the folder
// of this program.
#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <set>

#include "fakes/client.hpp"
#include "fakes/discovery.hpp"
#include "fakes/endpoint.hpp"
#include "fakes/loopback_host.hpp"
#include "fakes/release_platform.hpp"
#include "figures.hpp"

namespace ashbeam {
namespace {

using fakes::ListedState;

constexpr int kServerCount = 6;
constexpr int kSmallRouterCount = 3;
constexpr int kLargeRouterCount = 12;
constexpr Duration kDrainGrace = Duration::s(1);        // as `drainGraceMs` of the settings
constexpr Duration kDrainTolerance = Duration::ms(50);  // of the check of the drain grace
// A router counts as notified of a change after this time at the latest.
constexpr Duration kMaxNotificationDelay = Duration::s(6);
constexpr Duration kRequestTimeout = Duration::ms(1500);
// An answer counts as late if it comes later than the request's timeout and this.
constexpr Duration kAnswerTolerance = Duration::ms(500);
// A router is killed this long after SIGTERM: the longest deadline and 0.7 s.
constexpr Duration kStopTimeout = Duration::ms(2200);
// Of discovery, per call. The calls of kLargeRouterCount routers take about 5 s.
constexpr Duration kServiceTime = Duration::ms(400);
// The close of an idle connection may cross a request until this long after kStopTimeout.
constexpr Duration kCloseRaceWindow = Duration::ms(300);
constexpr Duration kFirstFaultDelay = Duration::s(7);  // by then each router has its first list

const char* const kSettings = R"(,"settings":{
  "allowed":{"cancel":true,"connectTimeoutMs":250,"connIdleMs":20000,"maxAttempts":3},"discovery":"subscribe",
  "familyInfo":{"mostShares":[1.0],"rings":[1.0],"spanMs":1000,"ballotTtlMs":8000,"spareTries":2,"callsPerS":10},
  "grades":[{"name":"look","effect":"idempotent","goalTimeMs":500,"deadlineMs":1500,"worth":1},
            {"name":"pay","effect":"at_most_once","goalTimeMs":500,"deadlineMs":1500,"worth":1}],
  "kinds":["usual"],"parties":[{"name":"shop","allowancePerS":100000}],
  "rules":{"drainGraceMs":1000,"fallMs":400,"fallMultiple":20,"startCapacity":1.0,"warmAfterMs":100,"askWithinMs":10000},
  "stats":{"how":"off"},"tickMs":5,"zone":0,"zones":["one"])";

struct SoakCounts {
  double sent = 0;
  double served = 0;
  double rejected = 0;
  double failed = 0;
  double crossed_close = 0;
  double router_starts = 0;
  double lost = 0;
  double answered_late = 0;
  double wrong_answers = 0;
  double run_twice = 0;
  double rejected_after_run = 0;
  double sent_past_grace = 0;
  double from_other_tests = 0;  // requests of another test that runs on this machine
};

// An endpoint, with the history of the states in which discovery listed it.
class Server {
 public:
  struct Change {
    Instant at;
    ListedState state = ListedState::kUp;
  };
  // Called for each complete request with its id. `runs` is false if the server drains and rejects it.
  using OnRequest = std::function<void(Server& server, const std::string& id, bool unsafe, bool runs)>;

  Server(EventLoop& loop, const Limits& limits, std::string uid, OnRequest on_request)
      : loop_(loop), uid_(std::move(uid)), on_request_(std::move(on_request)), started_at_(loop.now()),
        endpoint_(loop, limits, [this](const http::Head& head, const std::string&) { return answer(head); }) {
    list_as(ListedState::kUp);
  }
  const std::string& uid() const { return uid_; }
  const std::vector<Change>& history() const { return history_; }
  ListedState listed_state() const { return history_.back().state; }
  fakes::ListedEndpoint listed() const { return {uid_, endpoint_.address(), listed_state(), 1, started_at_}; }
  void list_as(ListedState state) { history_.push_back({loop_.now(), state}); }
  void drain() { draining_ = true; }
  void stop() { endpoint_.stop(); }
  void start() {
    draining_ = false;
    started_at_ = loop_.now();
    endpoint_.start();
  }

 private:
  fakes::EndpointAnswer answer(const http::Head& head) {
    const std::string id(head.find("X-Correlation-Id").value_or(""));
    const bool unsafe = head.method() == "POST" && !head.find("Idempotency-Key");
    const bool runs = !draining_;
    on_request_(*this, id, unsafe, runs);
    if (runs) return {200, Duration(), false, id};
    return {503, Duration(), false, "", "X-Unprocessed: 1\r\n"};
  }

  EventLoop& loop_;
  std::string uid_;
  OnRequest on_request_;
  Instant started_at_;
  bool draining_ = false;
  std::vector<Change> history_;
  fakes::Endpoint endpoint_;
};

// A router's process, the address that it listens at, the path of its configuration file, and its clients,
// which keep their connections.
struct Router {
  int number = 0;
  pid_t pid = -1;
  std::string address, path;
  bool stopping = false;
  Instant signalled_at;
  std::vector<std::unique_ptr<fakes::Client>> clients;
};

class Soak {
 public:
  Soak(const Proof& proof, SoakCounts& counts)
      : random_(proof.seed), counts_(counts), seed_(proof.seed), many_routers_(proof.seed % 3 == 0),
        folder_(std::filesystem::temp_directory_path() / ("ashbeam-soak-" + std::to_string(::getpid()))),
        release_(loop_, limits_, {1}, [](const fakes::ReleasePlatform::State&) {}),
        end_(loop_, [this] { loop_.stop(); }), fault_timer_(loop_, [this] { inject_next_fault(); }) {
    std::filesystem::create_directories(folder_);
    for (int s = 0; s < kServerCount; ++s) {
      servers_.push_back(
          std::make_unique<Server>(loop_, limits_, "s" + std::to_string(s),
                                   [this](Server& server, const std::string& id, bool unsafe, bool runs) {
                                     on_request(server, id, unsafe, runs);
                                   }));
    }
    const int routers = many_routers_ ? kLargeRouterCount : kSmallRouterCount;
    const fakes::DiscoveryOptions options{static_cast<std::size_t>(routers), kServiceTime, random_.next()};
    discovery_ = std::make_unique<fakes::Discovery>(loop_, limits_, options);
    list_all_servers(ListedState::kUp);
    step_file_ = (folder_ / "wall-step").string();
    step_clock(0);
    for (int r = 0; r < routers; ++r) add_router(r);
    for (auto& router : routers_) start(*router);
    end_.schedule_after(Duration::s(proof.seconds));
    fault_timer_.schedule_after(kFirstFaultDelay);
    loop_.run();
  }
  ~Soak() {
    for (auto& router : routers_) kill(*router);
    std::filesystem::remove_all(folder_);
  }

 private:
  // ---- Processes ----

  void add_router(int number) {
    auto router = std::make_unique<Router>();
    router->number = number;
    {
      const Listener free_port(loop_, fakes::loopback_host() + ":0", 1, [](int) {});
      router->address = fakes::loopback_host() + ":" + std::to_string(free_port.port());
    }
    router->path = (folder_ / ("n" + std::to_string(number) + ".json")).string();
    const int clients = many_routers_ ? 2 : 4;
    for (int c = 0; c < clients; ++c)
      router->clients.push_back(std::make_unique<fakes::Client>(loop_, limits_, router->address));
    routers_.push_back(std::move(router));
    configure(*routers_.back());
    Router& added = *routers_.back();
    for (int c = 0; c < clients; ++c) schedule_send(added, c, Duration::s(1));
  }
  // Writes the configuration file with the current list, which may be out of date when the router reads it.
  void configure(const Router& router) {
    std::ofstream(router.path) << R"({"seed":")" << std::hex << (seed_ * 97 + random_.next()) << std::dec
                               << R"(","release_api":{"address":")" << release_.address() << R"(","news":)"
                               << release_.state_json() << R"(},"known":)" << discovery_->list() << kSettings
                               << R"(,"myNumber":)" << router.number << R"(,"replicasOfMe":)"
                               << routers_.size() << "}}";
  }
  void start(Router& router) {
    ++counts_.router_starts;
    router.stopping = false;
    const std::string faults = "seed=" + std::to_string(random_.next()) +
                               " socket=ENFILE:0.01 connect=EADDRNOTAVAIL:0.01 accept=ECONNABORTED:0.02"
                               " send=EINTR:0.02 recv=EINTR:0.02 poll=EINTR:0.02 short=0.05";
    const std::string program_folder = std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
    const char* const program_override = std::getenv("ASHBEAM_PROGRAM");
    const std::string program = program_override ? program_override : program_folder + "/ashbeam";
    const std::string discovery = discovery_->address(static_cast<std::size_t>(router.number)),
                      library = program_folder + "/libashbeam_faults.so";
    router.pid = ::fork();
    if (router.pid != 0) return;
    const int log = ::open((folder_ / ("n" + std::to_string(router.number) + ".log")).c_str(),
                           O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(log, STDOUT_FILENO);
    for (int fd = 3; fd < 1024; ++fd) ::close(fd);
    ::setenv("PROXY_NAME", ("n" + std::to_string(router.number)).c_str(), 1);
    ::setenv("PROXY_LISTEN", router.address.c_str(), 1);
    ::setenv("PROXY_DISCOVERY", discovery.c_str(), 1);
    ::setenv("PROXY_CONFIG", router.path.c_str(), 1);
    ::setenv("LD_PRELOAD", library.c_str(), 1);
    ::setenv("ASHBEAM_FAULTS", faults.c_str(), 1);
    ::setenv("ASHBEAM_WALL_STEP", step_file_.c_str(), 1);
    ::execl(program.c_str(), program.c_str(), nullptr);
    ::_exit(127);
  }
  static void kill(Router& router) {
    if (router.pid <= 0) return;
    ::kill(router.pid, SIGKILL);
    ::waitpid(router.pid, nullptr, 0);
    router.pid = -1;
  }
  void kill_and_start(Router& router, Duration downtime) {
    kill(router);
    configure(router);
    router.signalled_at = loop_.now();
    after(downtime, [this, &router] { start(router); });
  }
  void stop(Router& router) {
    if (router.pid <= 0 || router.stopping) return;
    router.stopping = true;
    router.signalled_at = loop_.now();
    ::kill(router.pid, SIGTERM);
    after(kStopTimeout, [this, &router] { kill_and_start(router, Duration::ms(300)); });
  }

  // ---- Faults ----

  void inject_next_fault() {
    fault_timer_.schedule_after(Duration::s(6 + 6 * random_.next_double()));
    switch (random_.next_below(6)) {
      case 0:
      case 1:
        return outage_and_kills();
      case 2:
        return rolling_restart();
      case 3:
        step_clock(random_.next_below(2) == 0 ? 3600 : -3600);
        return drain_half(Duration());
      case 4:
        discovery_->silence_watches();
        return drain_half(Duration::ms(500));
      default:
        discovery_->set_stall_fraction(0.5);
        drain_half(Duration());
        return after(Duration::s(3), [this] { discovery_->set_stall_fraction(0); });
    }
  }
  // Starts an outage of discovery. After it has ended, kills and restarts most routers, and drains half of
  // the servers while those routers restart.
  void outage_and_kills() {
    discovery_->set_available(false);
    const Duration outage = Duration::s(3 + 4 * random_.next_double());
    after(outage, [this] { discovery_->set_available(true); });
    after(outage + Duration::ms(500), [this] {
      for (auto& router : routers_) {
        if (random_.next_double() < 0.7 && !router->stopping)
          kill_and_start(*router, Duration::s(0.5 + random_.next_double()));
      }
    });
    drain_half(outage + Duration::s(random_.next_double()));
  }
  void rolling_restart() {
    Duration wait;
    for (auto& router : routers_) {
      after(wait, [this, &router] {
        for (int i = 0; i < 3 && router->pid > 0; ++i) ::kill(router->pid, SIGHUP);
        stop(*router);
      });
      wait = wait + Duration::ms(700);
    }
    drain_half(Duration::s(1));
  }
  // Drains half of the servers. Each of them drains, stops, is removed from the list, starts again, and is
  // listed as up some time later.
  void drain_half(Duration wait) {
    after(wait, [this] {
      std::vector<Server*> draining;
      for (auto& server : servers_) {
        if (server->listed_state() == ListedState::kUp && draining.size() < kServerCount / 2)
          draining.push_back(server.get());
      }
      std::rotate(servers_.begin(), servers_.begin() + kServerCount / 2, servers_.end());
      for (Server* server : draining) server->drain();
      list(draining, ListedState::kDraining);
      after(Duration::ms(1500), [draining] {
        for (Server* server : draining) server->stop();
      });
      after(Duration::s(2), [this, draining] { list(draining, ListedState::kRemoved); });
      after(Duration::s(4), [draining] {
        for (Server* server : draining) server->start();
      });
      after(Duration::s(10), [this, draining] { list(draining, ListedState::kUp); });
    });
  }
  void list(const std::vector<Server*>& servers, ListedState state) {
    std::vector<fakes::ListedEndpoint> listed;
    for (Server* server : servers) {
      server->list_as(state);
      listed.push_back(server->listed());
    }
    discovery_->put(listed);
  }
  void list_all_servers(ListedState state) {
    std::vector<Server*> all;
    for (const auto& server : servers_) all.push_back(server.get());
    list(all, state);
  }
  void step_clock(int seconds) { std::ofstream(step_file_) << seconds; }
  // Calls `task` after the wait.
  void after(Duration wait, std::function<void()> task) {
    timers_.push_back(std::make_unique<Timer>(loop_, std::move(task)));
    timers_.back()->schedule_after(wait);
  }

  // ---- Clients ----

  void schedule_send(Router& router, int client, Duration wait) {
    after(wait, [this, &router, client] { send(router, client); });
  }
  void send(Router& router, int c) {
    fakes::Client& client = *router.clients[static_cast<std::size_t>(c)];
    const bool unsafe = random_.next_below(3) == 0;
    const std::string id =
        "r" + std::to_string(router.number) + id_suffix_ + std::to_string(++last_request_number_);
    const std::string fields =
        "Host: o\r\nX-Account: shop\r\nX-Correlation-Id: " + id +
        "\r\nX-Time-Left-Ms: " + std::to_string(static_cast<int>(kRequestTimeout.ms())) + "\r\n";
    const std::string request = unsafe ? "POST /pay/1 HTTP/1.1\r\n" + fields + "Content-Length: 2\r\n\r\nok"
                                       : "GET /look/1 HTTP/1.1\r\n" + fields + "\r\n";
    const Instant sent = loop_.now();
    const pid_t pid = router.pid;
    ++counts_.sent;
    client.send(request, [this, &router, c, id, unsafe, sent, pid](const fakes::Client::Answer& answer) {
      on_answer(router, pid, id, unsafe, sent, answer);
      schedule_send(router, c, Duration::ms(answer.status == 200 ? 25 : 100));
    });
  }
  void on_answer(const Router& router, pid_t pid, const std::string& id, bool unsafe, Instant sent,
                 const fakes::Client::Answer& answer) {
    const bool same_process = pid > 0 && pid == router.pid;
    if (answer.status == 0) {
      // A request to a router that was killed, or that does not run, is not counted as lost. An orderly close
      // of an idle connection may cross the client's next request.
      const bool stopping =
          router.stopping && loop_.now() - router.signalled_at < kStopTimeout + kCloseRaceWindow;
      if (!answer.request_written || !same_process) return;
      if (stopping || loop_.now() - sent < Duration::ms(5)) return void(++counts_.crossed_close);
      ++counts_.lost;
      std::printf("request %s lost: connection closed without an answer after %.0f ms\n", id.c_str(),
                  (loop_.now() - sent).ms());
      return;
    }
    if (loop_.now() - sent > kRequestTimeout + kAnswerTolerance) ++counts_.answered_late;
    const bool rejected = answer.status == 429 || answer.status == 503;
    if (answer.status == 200) ++counts_.served;
    else if (rejected) ++counts_.rejected;
    else ++counts_.failed;
    if (answer.status == 200 && answer.message->raw_body() != id) ++counts_.wrong_answers;
    if (rejected && unsafe && unsafe_ids_run_.contains(id)) ++counts_.rejected_after_run;
  }

  // ---- Servers ----

  void on_request(Server& server, const std::string& id, bool unsafe, bool runs) {
    if (id.find(id_suffix_) == std::string::npos) return void(++counts_.from_other_tests);
    if (runs && unsafe && !unsafe_ids_run_.insert(id).second) ++counts_.run_twice;
    const int router = std::atoi(id.c_str() + 1);
    const Instant now = loop_.now();
    // The earliest change to draining or removed, since the server was last listed as up, of which the router
    // counts as notified and whose grace is over.
    const Server::Change* overdue_change = nullptr;
    for (const Server::Change& change : server.history()) {
      if (change.state == ListedState::kUp) overdue_change = nullptr;
      else if (now > notified_at(router, change.at) + kDrainGrace + kDrainTolerance && !overdue_change)
        overdue_change = &change;
    }
    if (!overdue_change) return;
    ++counts_.sent_past_grace;
    std::printf("router r%d sent to draining or removed endpoint %s %.0f ms after its notification\n", router,
                server.uid().c_str(), (now - notified_at(router, overdue_change->at)).ms());
  }
  // Returns when the router counts as notified of a change: when discovery first wrote to it afterwards, but
  // no later than kMaxNotificationDelay after the change.
  Instant notified_at(int router, Instant change) const {
    // Nobody is notified during an outage of discovery; kMaxNotificationDelay then counts from its end.
    const Instant counts_from = std::max(change, discovery_->available_since());
    const Instant at_latest =
        discovery_->is_available() ? counts_from + kMaxNotificationDelay : Instant::never();
    return std::min(discovery_->first_write_since(static_cast<std::size_t>(router), change), at_latest);
  }

  Pcg random_;
  SoakCounts& counts_;
  std::uint64_t seed_;
  bool many_routers_;
  std::filesystem::path folder_;
  std::string step_file_;
  EventLoop loop_;
  Limits limits_;
  fakes::ReleasePlatform release_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::unique_ptr<fakes::Discovery> discovery_;
  std::vector<std::unique_ptr<Router>> routers_;
  std::vector<std::unique_ptr<Timer>> timers_;
  std::set<std::string> unsafe_ids_run_;  // ids of unsafe requests that ran
  std::uint64_t last_request_number_ = 0;
  // Distinguishes the ids of this test's requests from those of other tests on this machine.
  const std::string id_suffix_ = "-" + std::to_string(::getpid()) + "-";
  Timer end_, fault_timer_;
};

int prove(int argc, char** argv) {
  Proof proof("soak", argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  SoakCounts counts;
  { const Soak soak(proof, counts); }
  for (const auto& [name, value] : {std::pair{"requests", counts.sent},
                                    {"served", counts.served},
                                    {"refused", counts.rejected},
                                    {"failed", counts.failed},
                                    {"crossed_a_close", counts.crossed_close},
                                    {"process_starts", counts.router_starts}})
    proof.figure(name, value);
  proof.at_least("served_share", counts.served / std::max(counts.sent, 1.0), 0.2);
  proof.at_most("lost", counts.lost, 0);
  proof.at_most("answered_late", counts.answered_late, 0);
  proof.at_most("wrong_answers", counts.wrong_answers, 0);
  proof.at_most("unsafe_run_twice", counts.run_twice, 0);
  proof.at_most("refused_after_it_ran", counts.rejected_after_run, 0);
  proof.at_most("sent_past_the_grace", counts.sent_past_grace, 0);
  proof.at_most("from_other_tests", counts.from_other_tests, 0);
  return proof.verdict();
}

}  // namespace
}  // namespace ashbeam

int main(int argc, char** argv) { return ashbeam::run_proof("soak", argc, argv, ashbeam::prove); }
