// Fixture for tests of the router over real sockets. The router's Service runs on its own thread; the test
// plays the endpoints, discovery, the release platform and the clients on blocking loopback sockets.
#pragma once
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <atomic>
#include <ctime>
#include <thread>

#include "policy_fixture.hpp"
#include "program/router_limits.hpp"
#include "program/startup_configuration.hpp"
#include "routing/service.hpp"
#include "terms/router_settings_reader.hpp"

namespace ashbeam {

// A TCP connection, used with blocking calls. The waits are time-outs in milliseconds: a call that receives
// nothing within its wait returns false or an empty string.
struct Stream {
  int fd = -1;
  std::string received;  // bytes that no line or message has consumed yet
  explicit Stream(int descriptor) : fd(descriptor) {}
  Stream(Stream&& other) noexcept : fd(std::exchange(other.fd, -1)), received(std::move(other.received)) {}
  Stream& operator=(Stream&& other) noexcept {
    close();
    fd = std::exchange(other.fd, -1);
    received = std::move(other.received);
    return *this;
  }
  ~Stream() { close(); }
  void close() {
    if (fd >= 0) ::close(std::exchange(fd, -1));
  }
  // Closes the connection with a TCP reset instead of a FIN.
  void reset() {
    const linger no_linger{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &no_linger, sizeof no_linger);
    close();
  }
  void send(const std::string& text) { ::send(fd, text.data(), text.size(), MSG_NOSIGNAL); }
  // Appends what arrives to `received`. Returns false at the end of the stream and when the wait is over.
  bool receive(int wait_ms) {
    pollfd readable{fd, POLLIN, 0};
    char buffer[4096];
    const auto size = ::poll(&readable, 1, wait_ms) == 1 ? ::recv(fd, buffer, sizeof buffer, 0) : -1;
    if (size > 0) received.append(buffer, static_cast<std::size_t>(size));
    return size > 0;
  }
  bool is_closed_by_peer(int wait_ms = 1500) {
    pollfd readable{fd, POLLIN, 0};
    char byte;
    return ::poll(&readable, 1, wait_ms) == 1 && ::recv(fd, &byte, 1, MSG_PEEK) <= 0;
  }
  std::string read_line(int wait_ms = 1500) {
    std::size_t end;
    while ((end = received.find('\n')) == std::string::npos) {
      if (!receive(wait_ms)) return "";
    }
    const std::string line = received.substr(0, end);
    received.erase(0, end + 1);
    return line;
  }
  // Returns one HTTP message with its body (by Content-Length), or an empty string if it does not arrive in
  // full.
  std::string read_message(int wait_ms = 1500) {
    std::size_t end;
    while ((end = received.find("\r\n\r\n")) == std::string::npos) {
      if (!receive(wait_ms)) return "";
    }
    const std::size_t at = received.find("Content-Length: ");
    const std::size_t size = end + 4 + (at < end ? std::stoul(received.substr(at + 16)) : 0);
    while (received.size() < size) {
      if (!receive(wait_ms)) return "";
    }
    const std::string message = received.substr(0, size);
    received.erase(0, size);
    return message;
  }
};

// Connects to a port on loopback.
inline Stream connect_to(std::uint16_t port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  ::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
  return Stream(fd);
}

// A listening socket on a free loopback port, as a fake endpoint, discovery service or release platform.
struct FakeListener {
  int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  FakeListener() {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
    EXPECT_EQ(::listen(fd, 64), 0);
  }
  ~FakeListener() { ::close(fd); }
  std::uint16_t port() const {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(port()); }
  // Whether a connection can be accepted, now or within the wait.
  bool has_pending(int wait_ms) const {
    pollfd readable{fd, POLLIN, 0};
    return ::poll(&readable, 1, wait_ms) == 1;
  }
  Stream accept(int wait_ms = 1500) const {
    return Stream(has_pending(wait_ms) ? ::accept(fd, nullptr, nullptr) : -1);
  }
  // Connections are refused from now on until listen_again(). The port stays reserved.
  void refuse_connections() {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    ::close(fd);
    fd = ::socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    EXPECT_EQ(::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
  }
  void listen_again() const { EXPECT_EQ(::listen(fd, 64), 0); }
  // From now on connecting neither succeeds nor is refused.
  void fill_accept_queue() {
    ::listen(fd, 0);
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    for (int i = 0; i < 4; ++i) {
      filling.emplace_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
      ::connect(filling.back().fd, reinterpret_cast<sockaddr*>(&address), size);
    }
  }
  std::vector<Stream> filling;
};

// A listener whose accept queue is full: connecting to it neither succeeds nor is refused.
struct FullListener : FakeListener {
  FullListener() { fill_accept_queue(); }
};

inline const char* const kOkAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Kept: 1\r\n\r\nbody";
inline const std::string kHealthCheck = "GET /health/ready HTTP/1.1\r\n\r\n";
// The head of discovery's answer to a watch. Without a length, the body lasts until the connection closes.
inline const std::string kWatchHead = "HTTP/1.1 200 OK\r\n\r\n";

inline std::string status_line(const std::string& status, const std::string& fields = "") {
  return "HTTP/1.1 " + status + " X\r\n" + fields + "Content-Length: 0\r\n\r\n";
}
inline std::string new_request_id() {
  static int ids = 0;
  return std::string("a").append(std::to_string(++ids));
}
inline std::string get(unsigned left_ms = 1500, const std::string& fields = "",
                       const std::string& id = new_request_id()) {
  return "GET /look/1?q HTTP/1.1\r\nHost: o\r\nX-Correlation-Id: " + id +
         "\r\nX-Time-Left-Ms: " + std::to_string(left_ms) + "\r\n" + fields + "\r\n";
}
inline std::string post(const std::string& request_class, unsigned left_ms = 1500,
                        const std::string& id = new_request_id()) {
  const std::string key = request_class == "book" ? "Idempotency-Key: k\r\n" : "";
  return "POST /" + request_class + " HTTP/1.1\r\nX-Correlation-Id: " + id + "\r\n" + key +
         "X-Time-Left-Ms: " + std::to_string(left_ms) + "\r\nContent-Length: 3\r\n\r\nabc";
}
inline unsigned status_of(const std::string& answer) {
  return answer.size() > 12 ? static_cast<unsigned>(std::stoul(answer.substr(9, 3))) : 0;
}

class RouterTest : public testing::Test {
 protected:
  static constexpr int kEndpoints = 3;
  FakeListener endpoints_[kEndpoints];
  FakeListener discovery_;
  FakeListener release_platform_;
  Limits limits_;
  RouterSettings settings_ = default_settings();
  WireSettings wire_settings_{{"look", "book", "pay"}, {"shop"},       {"a", "b"}, {"m"}, {"active"},
                              Duration::ms(250),       Duration::s(20)};
  EventLoop loop_;
  std::unique_ptr<Service> service_;
  std::thread thread_;
  std::atomic<bool> stopping_ = false;
  std::atomic<bool> shut_down_ = false;
  // Setting it makes the router change to this release platform and to the discovery at new_discovery_, which
  // has to be set before.
  std::atomic<const char*> new_release_platform_ = nullptr;
  std::string new_discovery_;
  std::function<void()> before_start_;  // called after the service was constructed and before it starts
  std::atomic<bool> has_loop_task_ = false;
  std::function<void()> loop_task_;     // the task of run_on_loop()
  std::vector<std::string> log_lines_;  // not to be read before the router's thread has ended

  std::string endpoint_entry(int endpoint, const std::string& state = "up", int version = 1,
                             const std::string& address = "") const {
    return R"({"uid":"h)" + std::to_string(endpoint) + R"(","endpoint":")" +
           (address.empty() ? endpoints_[endpoint].address() : address) +
           R"(","az":"a","model":"m","pod_group":1,"state":")" + state +
           R"(","capacity_hint":1.0,"boot_ms":0,"release":)" + std::to_string(version) + "}";
  }
  static std::string endpoint_list(const std::string& entries, int revision, bool complete = false) {
    return R"({"rev":)" + std::to_string(revision) + R"(,"all":)" + (complete ? "true" : "false") +
           R"(,"targets":[)" + entries + "]}";
  }
  std::string all_endpoints() const {
    return endpoint_list(endpoint_entry(0) + "," + endpoint_entry(1) + "," + endpoint_entry(2), 41, true);
  }
  void SetUp() override {
    settings_.must_watch_endpoints = true;
    settings_.may_hedge = false;
    settings_.router_count = 1;
    // The router is ready and serves without discovery; tests of readiness set other limits.
    limits_.ready_without_list_timeout = Duration();
    limits_.configured_list_validity = Duration::s(600);
  }
  void start_router(const std::string& configured_list) {
    InstanceSettings instance;
    instance.name = "n";
    instance.listen_address = "127.0.0.1:0";
    instance.discovery_address = discovery_.address();
    instance.release_platform_address = release_platform_.address();
    instance.seed = 7;
    instance.configured_endpoint_list = configured_list;
    instance.configured_release_state =
        R"({"image":1,"ring":0,"progress":"released","ceiling":1,"lag_ms":99000})";
    service_ = std::make_unique<Service>(loop_, limits_, settings_, wire_settings_, instance,
                                         [this](std::string_view line) { log_lines_.emplace_back(line); });
    if (before_start_) before_start_();
    service_->start();
    thread_ = std::thread([this] { run_loop(); });
  }
  void TearDown() override {
    stopping_ = true;
    if (thread_.joinable()) thread_.join();
  }
  // Runs `task` on the router's thread and returns once it has run.
  void run_on_loop(std::function<void()> task) {
    loop_task_ = std::move(task);
    has_loop_task_ = true;
    for (int i = 0; has_loop_task_ && i < 25000; ++i) usleep(200);
    ASSERT_FALSE(has_loop_task_);
  }
  // Returns once the router's shutdown has begun.
  void begin_shutdown() {
    stopping_ = true;
    run_on_loop([] {});
  }
  // Whether a logged line contains `part`. To be called only after the router's thread has ended.
  bool has_logged(const std::string& part) const {
    return std::any_of(log_lines_.begin(), log_lines_.end(),
                       [&](const std::string& line) { return line.find(part) != std::string::npos; });
  }
  Stream connect_client() const { return connect_to(service_->port()); }
  // Sends the request on a new connection and returns the answer.
  std::string answer_to(const std::string& request) const {
    Stream client = connect_client();
    client.send(request);
    return client.read_message(3000);
  }
  // Accepts the connection of the next attempt at any endpoint. Its fd is -1 if none comes within the wait.
  Stream take_attempt(int wait_ms = 1000) const {
    pollfd readable[kEndpoints];
    for (int i = 0; i < kEndpoints; ++i) readable[i] = {endpoints_[i].fd, POLLIN, 0};
    ::poll(readable, kEndpoints, wait_ms);
    for (int i = 0; i < kEndpoints; ++i) {
      if (readable[i].revents != 0) return endpoints_[i].accept();
    }
    return Stream(-1);
  }
  // Sends this many requests and returns, by endpoint, whether one reached it. No request is answered, so
  // that each attempt needs a connection of its own.
  std::vector<bool> reached_endpoints(int requests) {
    std::vector<bool> reached(kEndpoints);
    std::vector<Stream> clients;
    for (int i = 0; i < requests; ++i) {
      clients.push_back(connect_client());
      clients.back().send(get(300));
    }
    for (int i = 0; i < kEndpoints; ++i) {
      while (endpoints_[i].has_pending(60)) {
        Stream attempt = endpoints_[i].accept();
        const bool sent = !attempt.read_message(200).empty();
        if (sent) reached[static_cast<std::size_t>(i)] = true;
      }
    }
    return reached;
  }

 private:
  void run_loop() {
    Timer poll_timer(loop_, [&] {
      if (const char* const address = new_release_platform_.exchange(nullptr))
        service_->change_addresses(new_discovery_, address);
      if (has_loop_task_) {
        loop_task_();
        has_loop_task_ = false;
      }
      if (stopping_) {
        service_->shut_down([this] {
          shut_down_ = true;
          loop_.stop();
        });
      }
      poll_timer.schedule_after(Duration::ms(5));
    });
    poll_timer.schedule_after(Duration());
    loop_.run();
  }
};

}  // namespace ashbeam
