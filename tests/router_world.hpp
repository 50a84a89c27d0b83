// Shared by the tests of the router on sockets: stand-ins for clients, hosts, discovery and the desk, and a
// Service on a thread of its own.
#pragma once
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <atomic>
#include <ctime>
#include <thread>

#include "helpers.hpp"
#include "program/router_limits.hpp"
#include "program/startup_configuration.hpp"
#include "routing/service.hpp"

namespace ashbeam {

// One stream; what does not come within the wait counts as nothing.
struct Stream {
  int fd = -1;
  std::string held;
  explicit Stream(int descriptor) : fd(descriptor) {}
  Stream(Stream&& other) noexcept : fd(std::exchange(other.fd, -1)), held(std::move(other.held)) {}
  Stream& operator=(Stream&& other) noexcept {
    shut();
    fd = std::exchange(other.fd, -1), held = std::move(other.held);
    return *this;
  }
  ~Stream() { shut(); }
  void shut() {
    if (fd >= 0) ::close(std::exchange(fd, -1));
  }
  void reset() {  // breaks the connection instead of ending it
    const linger now{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    shut();
  }
  void say(const std::string& text) { ::send(fd, text.data(), text.size(), MSG_NOSIGNAL); }
  bool fill(int wait_ms) {  // false at the end or when nothing comes
    pollfd in{fd, POLLIN, 0};
    char some[4096];
    const auto n = ::poll(&in, 1, wait_ms) == 1 ? ::recv(fd, some, sizeof some, 0) : -1;
    if (n > 0) held.append(some, static_cast<std::size_t>(n));
    return n > 0;
  }
  bool ended(int wait_ms = 1500) {  // by the other side
    pollfd in{fd, POLLIN, 0};
    char one;
    return ::poll(&in, 1, wait_ms) == 1 && ::recv(fd, &one, 1, MSG_PEEK) <= 0;
  }
  std::string line(int wait_ms = 1500) {
    std::size_t end;
    while ((end = held.find('\n')) == std::string::npos) {
      if (!fill(wait_ms)) return "";
    }
    const std::string one = held.substr(0, end);
    held.erase(0, end + 1);
    return one;
  }
  // A head, and a body by length; empty where none comes whole.
  std::string message(int wait_ms = 1500) {
    std::size_t end;
    while ((end = held.find("\r\n\r\n")) == std::string::npos) {
      if (!fill(wait_ms)) return "";
    }
    const std::size_t at = held.find("Content-Length: ");
    const std::size_t whole = end + 4 + (at < end ? std::stoul(held.substr(at + 16)) : 0);
    while (held.size() < whole) {
      if (!fill(wait_ms)) return "";
    }
    const std::string one = held.substr(0, whole);
    held.erase(0, whole);
    return one;
  }
};

struct Door {  // a stand-in's address
  int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  Door() {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at), 0);
    EXPECT_EQ(::listen(fd, 64), 0);
  }
  ~Door() { ::close(fd); }
  std::uint16_t port() const {
    sockaddr_in at{};
    socklen_t size = sizeof at;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    return ntohs(at.sin_port);
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(port()); }
  bool asked(int wait_ms) const {
    pollfd in{fd, POLLIN, 0};
    return ::poll(&in, 1, wait_ms) == 1;
  }
  Stream take(int wait_ms = 1500) const {
    return Stream(asked(wait_ms) ? ::accept(fd, nullptr, nullptr) : -1);
  }
};

struct FullDoor : Door {  // further connections never come up
  std::vector<Stream> filling;
  FullDoor() {
    ::listen(fd, 0);
    sockaddr_in at{};
    socklen_t size = sizeof at;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    for (int i = 0; i < 4; ++i) {
      filling.emplace_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
      ::connect(filling.back().fd, reinterpret_cast<sockaddr*>(&at), size);
    }
  }
};

inline const char* const kOk = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Kept: 1\r\n\r\nbody";
inline std::string status_line(const std::string& status, const std::string& fields = "") {
  return "HTTP/1.1 " + status + " X\r\n" + fields + "Content-Length: 0\r\n\r\n";
}
inline std::string new_id() {
  static int ids = 0;
  return std::string("a").append(std::to_string(++ids));
}
inline std::string get(unsigned left_ms = 1500, const std::string& fields = "",
                       const std::string& id = new_id()) {
  return "GET /look/1?q HTTP/1.1\r\nHost: o\r\nX-Correlation-Id: " + id +
         "\r\nX-Time-Left-Ms: " + std::to_string(left_ms) + "\r\n" + fields + "\r\n";
}
inline std::string post(const std::string& group, unsigned left_ms = 1500, const std::string& id = new_id()) {
  return "POST /" + group + " HTTP/1.1\r\nX-Correlation-Id: " + id +
         "\r\nIdempotency-Key: k\r\nX-Time-Left-Ms: " + std::to_string(left_ms) +
         "\r\nContent-Length: 3\r\n\r\nabc";
}
inline unsigned status_of(const std::string& answer) {
  return answer.size() > 12 ? static_cast<unsigned>(std::stoul(answer.substr(9, 3))) : 0;
}

class RouterTest : public testing::Test {
 protected:
  static constexpr int kHosts = 3;
  Door hosts_[kHosts], discovery_, desk_;
  Limits limits_;
  RouterSettings terms_ = default_settings();
  WireSettings door_{{"look", "book", "pay"}, {"shop"},   {"a", "b"}, {"m"}, {"active"},
                     Span::ms(250),           Span::s(20)};
  EventLoop loop_;
  std::unique_ptr<Service> service_;
  std::thread thread_;
  std::atomic<bool> stopping_ = false, wound_down_ = false;
  std::atomic<const char*> new_desk_ = nullptr;  // once set, with new_discovery_: the router is to move
  std::string new_discovery_;
  std::function<void()> before_start_;  // the service is made, and not started yet
  std::atomic<bool> on_loop_asked_ = false;
  std::function<void()> on_loop_;   // run there once, see run_on_loop
  std::vector<std::string> notes_;  // read once the thread has ended

  std::string entry(int host, const std::string& state = "up", int build = 1,
                    const std::string& at = "") const {
    return R"({"uid":"h)" + std::to_string(host) + R"(","endpoint":")" +
           (at.empty() ? hosts_[host].address() : at) + R"(","az":"a","model":"m","pod_group":1,"state":")" +
           state + R"(","capacity_hint":1.0,"boot_ms":0,"release":)" + std::to_string(build) + "}";
  }
  static std::string list(const std::string& entries, int rev, bool all = false) {
    return R"({"rev":)" + std::to_string(rev) + R"(,"all":)" + (all ? "true" : "false") + R"(,"targets":[)" +
           entries + "]}";
  }
  std::string all_hosts() const { return list(entry(0) + "," + entry(1) + "," + entry(2), 41, true); }
  void SetUp() override {
    terms_.must_watch_endpoints = true;
    terms_.may_hedge = false;
    terms_.router_count = 1;
    // Ready, and serving, without discovery, but for the tests of that.
    limits_.ready_without_list_after = Span();
    limits_.configured_list_validity = Span::s(600);
  }
  void begin(const std::string& known) {
    const std::string news = R"({"image":1,"ring":0,"progress":"released","ceiling":1,"lag_ms":99000})";
    service_ = std::make_unique<Service>(
        loop_, limits_, terms_, door_,
        Site{"n", "127.0.0.1:0", discovery_.address(), desk_.address(), 7, known, news},
        [this](std::string_view line) { notes_.emplace_back(line); });
    if (before_start_) before_start_();
    service_->start();
    thread_ = std::thread([this] {
      Timer look(loop_, [&] {
        if (const char* const to = new_desk_.exchange(nullptr)) service_->move_to(new_discovery_, to);
        if (on_loop_asked_) on_loop_(), on_loop_asked_ = false;
        if (stopping_) service_->wind_down([this] { wound_down_ = true, loop_.stop(); });
        look.in(Span::ms(5));
      });
      look.in(Span());
      loop_.run();
    });
  }
  void TearDown() override {
    stopping_ = true;
    if (thread_.joinable()) thread_.join();
  }
  // Runs `what` on the router's own thread, and returns once it has run.
  void run_on_loop(std::function<void()> what) {
    on_loop_ = std::move(what);
    on_loop_asked_ = true;
    for (int i = 0; on_loop_asked_ && i < 25000; ++i) usleep(200);
    ASSERT_FALSE(on_loop_asked_);
  }
  Stream client() const {
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(service_->port());
    ::connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at);
    return Stream(fd);
  }
  std::string ask(const std::string& request) const {
    Stream c = client();
    c.say(request);
    return c.message(3000);
  }
  // The next forward, at whichever host; the fd is -1 where none comes.
  Stream forward(int wait_ms = 1000) const {
    pollfd in[kHosts];
    for (int i = 0; i < kHosts; ++i) in[i] = {hosts_[i].fd, POLLIN, 0};
    ::poll(in, kHosts, wait_ms);
    for (int i = 0; i < kHosts; ++i) {
      if (in[i].revents != 0) return hosts_[i].take();
    }
    return Stream(-1);
  }
};

}  // namespace ashbeam
