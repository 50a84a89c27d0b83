#include "fakes/discovery.hpp"

#include <algorithm>
#include <cstdio>
#include <string_view>
#include <utility>

#include "fakes/loopback_host.hpp"

namespace ashbeam::fakes {

namespace {

constexpr int kBacklog = 256;
constexpr Duration kKeepAliveInterval = Duration::s(2);
constexpr Duration kQueueInterval = Duration::ms(10);
constexpr Duration kCallTimeout = Duration::s(2);

std::string encode_chunk(const std::string& line) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", line.size() + 1);
  return size + line + "\n\r\n";
}

}  // namespace

// A connection of a router, from its call on.
class Discovery::Watch : private Connection::Owner {
 public:
  Watch(Discovery& discovery, int fd, std::size_t router)
      : discovery_(discovery), router_(router), connection_(discovery.loop_, discovery.limits_, *this, fd) {}

  bool is_open() const { return state_ == State::kOpen; }
  bool is_waiting() const { return state_ == State::kWaiting; }
  Instant called_at() const { return called_at_; }

  void open() {
    state_ = State::kOpen;
    connection_.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    write_line(discovery_.list());
  }
  void reject() {
    connection_.write("HTTP/1.1 503 X\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    connection_.shutdown_write();
    state_ = State::kSilent;
  }
  void write_line(const std::string& line) {
    const bool stalls = discovery_.draw_stall();
    const std::string chunk = encode_chunk(line);
    connection_.write(stalls ? chunk.substr(0, chunk.size() / 2) : chunk);
    discovery_.written_at_[router_].push_back(discovery_.loop_.now());
    if (stalls) state_ = State::kSilent;
  }
  void keep_alive() { connection_.write(encode_chunk("")); }
  void end() {
    connection_.shutdown_write();
    state_ = State::kSilent;
  }
  void silence() { state_ = State::kSilent; }

 private:
  enum class State { kReading, kWaiting, kOpen, kSilent };

  void on_data() override {
    const bool complete = connection_.unread().find("\r\n\r\n") != std::string_view::npos;
    if (!complete || state_ != State::kReading) return;
    connection_.consume(connection_.unread().size());
    state_ = State::kWaiting;
    called_at_ = discovery_.loop_.now();
    discovery_.on_call(*this);
  }
  void on_closed() override { discovery_.remove(this); }

  Discovery& discovery_;
  std::size_t router_;
  Connection connection_;
  State state_ = State::kReading;
  Instant called_at_;
};

Discovery::Discovery(EventLoop& loop, const Limits& limits, const DiscoveryOptions& options)
    : loop_(loop), limits_(limits), service_time_(options.service_time), random_(options.seed),
      written_at_(options.router_count), keep_alive_(loop,
                                                     [this] {
                                                       keep_alive_.schedule_after(kKeepAliveInterval);
                                                       for (const auto& watch : watches_) {
                                                         if (watch->is_open()) watch->keep_alive();
                                                       }
                                                     }),
      queue_timer_(loop, [this] { serve_waiting_calls(); }) {
  for (std::size_t router = 0; router < options.router_count; ++router) {
    listeners_.push_back(
        std::make_unique<Listener>(loop, loopback_host() + ":0", kBacklog, [this, router](int fd) {
          if (fd >= 0) watches_.push_back(std::make_unique<Watch>(*this, fd, router));
        }));
  }
  keep_alive_.schedule_after(kKeepAliveInterval);
  if (service_time_ > Duration()) queue_timer_.schedule_after(kQueueInterval);
}

Discovery::~Discovery() = default;

std::string Discovery::address(std::size_t router) const {
  return loopback_host() + ":" + std::to_string(listeners_[router]->port());
}

void Discovery::put(const std::vector<ListedEndpoint>& endpoints) {
  for (const ListedEndpoint& endpoint : endpoints) endpoints_[endpoint.uid] = endpoint;
  ++revision_;
  if (available_) write_to_watches(endpoint_list_json(revision_, false, endpoints));
}

std::string Discovery::list() const {
  std::vector<ListedEndpoint> listed;
  for (const auto& [uid, endpoint] : endpoints_) {
    if (endpoint.state != ListedState::kRemoved) listed.push_back(endpoint);
  }
  return endpoint_list_json(revision_, true, listed);
}

void Discovery::write_to_watches(const std::string& line) {
  for (const auto& watch : watches_) {
    if (watch->is_open()) watch->write_line(line);
  }
}

// ---- Faults ----

void Discovery::set_available(bool available) {
  available_ = available;
  if (available) {
    available_since_ = loop_.now();
    return;
  }
  for (const auto& watch : watches_) {
    if (watch->is_open()) watch->end();
  }
}

void Discovery::silence_watches() {
  for (const auto& watch : watches_) {
    if (watch->is_open()) watch->silence();
  }
}

Instant Discovery::first_write_since(std::size_t router, Instant since) const {
  const std::vector<Instant>& written_at = written_at_[router];
  const auto first = std::lower_bound(written_at.begin(), written_at.end(), since);
  return first == written_at.end() ? Instant::never() : *first;
}

// ---- Calls ----

void Discovery::on_call(Watch& watch) {
  if (service_time_ > Duration()) calls_.push_back({&watch, watch.called_at()});
  else watch.open();
}

void Discovery::serve_waiting_calls() {
  queue_timer_.schedule_after(kQueueInterval);
  const Instant now = loop_.now();
  reject_overdue_calls(now);
  if (!available_) {
    calls_.clear();
    service_free_at_ = now;
  }
  while (!calls_.empty() && service_free_at_ <= now) {
    const Call call = calls_.front();
    calls_.pop_front();
    service_free_at_ = std::max(service_free_at_, call.received_at) + service_time_;
    const auto waiting = std::find_if(watches_.begin(), watches_.end(), [&call](const auto& watch) {
      return watch.get() == call.watch && watch->is_waiting() && watch->called_at() == call.received_at;
    });
    if (waiting != watches_.end()) (*waiting)->open();
  }
}

void Discovery::reject_overdue_calls(Instant now) {
  for (const auto& watch : watches_) {
    if (watch->is_waiting() && now - watch->called_at() >= kCallTimeout) watch->reject();
  }
}

void Discovery::remove(Watch* watch) {
  const auto found = std::find_if(watches_.begin(), watches_.end(),
                                  [watch](const auto& other) { return other.get() == watch; });
  if (found == watches_.end()) return;
  loop_.destroy_later(std::move(*found));
  watches_.erase(found);
}

}  // namespace ashbeam::fakes
