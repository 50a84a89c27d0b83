// The fakes of the soak test, on one loop: discovery that serves calls in turn and can be away, stall or fall
// silent; servers that drain, end and start again; both remember what they saw. A router is known by its
// number: it has its own address of discovery, and clients name it in their request ids.
#pragma once
#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/pcg.hpp"
#include "protocol/http.hpp"
#include "transport/connection.hpp"
#include "transport/listener.hpp"

namespace ashbeam::soak {

enum class Listed { kUp, kDraining, kRemoved };
struct Change {
  Instant at;
  Listed state = Listed::kUp;
};

// One server: what discovery lists of it, as a history, and the requests that came.
class Server {
 public:
  // `came` is told each whole request with its id, and whether it may repeat.
  using Came = std::function<void(Server& server, const std::string& id, bool unsafe, bool ran)>;
  Server(EventLoop& loop, const Limits& limits, std::string uid, Came came)
      : loop_(loop), limits_(limits), uid_(std::move(uid)), came_(std::move(came)) {
    start();
    history_.push_back({loop_.now(), Listed::kUp});
  }
  const std::string& uid() const { return uid_; }
  const std::vector<Change>& history() const { return history_; }
  Listed listed() const { return history_.back().state; }
  void list_as(Listed state) { history_.push_back({loop_.now(), state}); }
  void drain() { draining_ = true; }
  void end() {  // resets its connections and refuses new ones
    for (auto& link : links_) loop_.destroy_later(std::move(link));
    links_.clear();
    listener_->close();
    loop_.destroy_later(std::move(listener_));
  }
  void start() {
    draining_ = false;
    const std::string address = "127.0.0.1:" + std::to_string(port_);
    listener_ = std::make_unique<Listener>(loop_, address, 256, [this](int fd) {
      if (fd >= 0) links_.push_back(std::make_unique<Link>(*this, fd));
    });
    port_ = listener_->port();
    boot_ms_ = static_cast<double>(loop_.now().us()) / 1e3;
  }
  std::string entry() const {
    const char* const state = listed() == Listed::kUp         ? "up"
                              : listed() == Listed::kDraining ? "draining"
                                                              : "removed";
    return R"({"uid":")" + uid_ + R"(","endpoint":"127.0.0.1:)" + std::to_string(port_) +
           R"(","az":"one","model":"usual","pod_group":1,"state":")" + state +
           R"(","capacity_hint":1.0,"boot_ms":)" + std::to_string(static_cast<std::int64_t>(boot_ms_)) +
           R"(,"release":1})";
  }

 private:
  class Link : private Connection::Owner {
   public:
    Link(Server& server, int fd)
        : server_(server), connection_(server.loop_, server.limits_, *this, fd),
          requests_(http::Side::kRequests, server.limits_.max_head_bytes, server.limits_.max_body_bytes) {}

   private:
    void on_data() override {
      std::string_view bytes = connection_.unread();
      const std::size_t had = bytes.size();
      const auto got = requests_.feed(bytes);
      connection_.consume(had - bytes.size());
      if (got != http::ParseResult::kComplete) return;
      const http::Head& head = requests_.head();
      const std::string id(head.find("X-Correlation-Id").value_or(""));
      const bool unsafe = head.method() == "POST" && !head.find("Idempotency-Key");
      const bool runs = !server_.draining_;
      server_.came_(server_, id, unsafe, runs);
      connection_.write(runs ? "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(id.size()) +
                                   "\r\n\r\n" + id
                             : "HTTP/1.1 503 X\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");
      requests_.start_next();
    }
    void on_closed() override { server_.remove(this); }
    Server& server_;
    Connection connection_;
    http::MessageParser requests_;
  };
  void remove(Link* link) {
    const auto at =
        std::find_if(links_.begin(), links_.end(), [&](const auto& l) { return l.get() == link; });
    if (at == links_.end()) return;
    loop_.destroy_later(std::move(*at));
    links_.erase(at);
  }
  EventLoop& loop_;
  const Limits& limits_;
  std::string uid_;
  Came came_;
  std::uint16_t port_ = 0;
  double boot_ms_ = 0;
  bool draining_ = false;
  std::vector<Change> history_;
  std::vector<std::unique_ptr<Link>> links_;
  std::unique_ptr<Listener> listener_;
};

// One service for all routers. Calls are worked off in turn; one that waits too long is turned away, and
// costs as much.
class Discovery {
 public:
  using Servers = std::vector<std::unique_ptr<Server>>;
  Discovery(EventLoop& loop, const Limits& limits, Pcg& chance, const Servers& servers, int routers,
            Span service)
      : loop_(loop), limits_(limits), chance_(chance), servers_(servers), service_(service),
        written_(static_cast<std::size_t>(routers)), tick_(loop, [this] { tick(); }) {
    for (int r = 0; r < routers; ++r) {
      doors_.push_back(std::make_unique<Listener>(loop, "127.0.0.1:0", 256, [this, r](int fd) {
        if (fd >= 0) watches_.push_back(std::make_unique<Watch>(*this, fd, r));
      }));
    }
    tick_.in(kTick);
  }
  std::string address(int router) const { return "127.0.0.1:" + std::to_string(doors_[at(router)]->port()); }
  std::string list() const {
    std::string all;
    for (const auto& server : servers_) {
      if (server->listed() != Listed::kRemoved) all += (all.empty() ? "" : ",") + server->entry();
    }
    return R"({"rev":)" + std::to_string(version_) + R"(,"all":true,"targets":[)" + all + "]}";
  }
  // What a server is listed as has changed: all standing watches are told.
  void changed(const std::vector<Server*>& servers) {
    ++version_;
    if (away_) return;
    std::string entries;
    for (const Server* server : servers) entries += (entries.empty() ? "" : ",") + server->entry();
    const std::string line =
        R"({"rev":)" + std::to_string(version_) + R"(,"all":false,"targets":[)" + entries + "]}";
    for (const auto& watch : watches_) {
      if (watch->standing()) watch->tell(line, stall_share_ > chance_.unit());
    }
  }
  void set_away(bool away) {
    away_ = away;
    if (!away) back_at_ = loop_.now();
    if (!away) return;
    for (auto& watch : watches_) watch->end();
  }
  void set_stall_share(double share) { stall_share_ = share; }
  void silence_all() {
    for (auto& watch : watches_) watch->silence();
  }
  bool away() const { return away_; }
  Instant back_at() const { return back_at_; }
  // When a line was last written to a router, whole or not, at or after a time; never where none was.
  Instant written_since(int router, Instant since) const {
    const std::vector<Instant>& all = written_[at(router)];
    const auto first = std::lower_bound(all.begin(), all.end(), since);
    return first == all.end() ? Instant::never() : *first;
  }

 private:
  static constexpr Span kTick = Span::ms(10), kPatience = Span::s(2), kAlive = Span::s(2);
  static std::size_t at(int router) { return static_cast<std::size_t>(router); }

  class Watch : private Connection::Owner {
   public:
    Watch(Discovery& discovery, int fd, int router)
        : discovery_(discovery), router_(router), connection_(discovery.loop_, discovery.limits_, *this, fd) {
    }
    bool standing() const { return state_ == State::kStanding; }
    bool waiting() const { return state_ == State::kWaiting; }
    bool over() const { return state_ == State::kOver; }
    Instant asked_at() const { return asked_at_; }
    void serve() {
      state_ = State::kStanding;
      connection_.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      tell(discovery_.list(), discovery_.stall_share_ > discovery_.chance_.unit());
    }
    void turn_away() {
      connection_.write("HTTP/1.1 503 X\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
      connection_.shutdown_write();
      state_ = State::kSilent;
    }
    void end() {
      if (state_ != State::kStanding) return;
      connection_.shutdown_write();
      state_ = State::kSilent;
    }
    void silence() {
      if (state_ == State::kStanding) state_ = State::kSilent;
    }
    void tell(const std::string& line, bool stalls) {
      char size[16];
      std::snprintf(size, sizeof size, "%zx\r\n", line.size() + 1);
      const std::string chunk = size + line + "\n\r\n";
      connection_.write(stalls ? chunk.substr(0, chunk.size() / 2) : chunk);
      told_at_ = discovery_.loop_.now();
      if (!line.empty()) discovery_.written_[at(router_)].push_back(told_at_);
      if (stalls) state_ = State::kSilent;
    }
    void keep_alive() {
      if (standing() && discovery_.loop_.now() - told_at_ >= kAlive) tell("", false);
    }

   private:
    enum class State { kReading, kWaiting, kStanding, kSilent, kOver };
    void on_data() override {
      const bool whole = connection_.unread().find("\r\n\r\n") != std::string_view::npos;
      if (!whole || state_ != State::kReading) return;
      state_ = State::kWaiting;
      asked_at_ = discovery_.loop_.now();
      discovery_.calls_.push_back(asked_at_);
    }
    void on_closed() override { state_ = State::kOver; }
    Discovery& discovery_;
    int router_;
    Connection connection_;
    State state_ = State::kReading;
    Instant asked_at_, told_at_;
  };

  // Works off what its time allows, first come, first served; a call that has timed out is worked off as
  // well.
  void tick() {
    tick_.in(kTick);
    const Instant now = loop_.now();
    std::vector<Watch*> waiting;
    for (auto& watch : watches_) {
      watch->keep_alive();
      if (!watch->waiting()) continue;
      if (now - watch->asked_at() >= kPatience) watch->turn_away();
      else waiting.push_back(watch.get());
    }
    std::sort(waiting.begin(), waiting.end(),
              [](const Watch* a, const Watch* b) { return a->asked_at() < b->asked_at(); });
    if (away_) calls_.clear(), free_at_ = now;
    while (!calls_.empty() && free_at_ <= now) {
      const Instant asked = calls_.front();
      calls_.pop_front();
      free_at_ = std::max(free_at_, asked) + service_;
      const auto watch = std::find_if(waiting.begin(), waiting.end(),
                                      [&](Watch* w) { return w->waiting() && w->asked_at() == asked; });
      if (watch != waiting.end()) (*watch)->serve();
    }
    std::erase_if(watches_, [&](auto& watch) {
      if (!watch->over()) return false;
      loop_.destroy_later(std::move(watch));
      return true;
    });
  }
  EventLoop& loop_;
  const Limits& limits_;
  Pcg& chance_;
  const Servers& servers_;
  Span service_;
  unsigned version_ = 1;
  bool away_ = false;
  double stall_share_ = 0;
  Instant back_at_, free_at_;
  std::deque<Instant> calls_;  // in turn, those that were turned away as well
  std::vector<std::vector<Instant>> written_;
  std::vector<std::unique_ptr<Listener>> doors_;
  std::vector<std::unique_ptr<Watch>> watches_;
  Timer tick_;
};

}  // namespace ashbeam::soak
