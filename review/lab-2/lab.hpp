// Stand-ins and helpers for the cases of the second review: endpoints, discovery, release platform, clients, and
// the router as a process of its own. Everything is on loopback addresses and on the real clock. Only the C++
// standard library and POSIX are used. Each connection has a thread; calls block.
#pragma once
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace lab {

constexpr int kHeld = 0;       // exit code: the rule held
constexpr int kBroken = 1;     // exit code: the rule was broken
constexpr int kCannotRun = 2;  // exit code: the case could not run

// ---- Time and record ----

inline std::chrono::steady_clock::time_point start_time() {
  static const auto start = std::chrono::steady_clock::now();
  return start;
}
// Returns the milliseconds since the start of the case.
inline double now_ms() {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start_time()).count();
}
inline void sleep_ms(double ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}
inline void sleep_until_ms(double when) { sleep_ms(when - now_ms()); }

// The file record.txt of the case.
class Record {
 public:
  static Record& get() {
    static Record record;
    return record;
  }
  void open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
  __attribute__((format(printf, 2, 3))) void line(const char* format, ...) {
    const double now = now_ms();
    char text[1024];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    const std::lock_guard lock(mutex_);
    if (file_) std::fprintf(file_, "%10.1f ms  %s\n", now, text);
  }
  void flush() {
    const std::lock_guard lock(mutex_);
    if (file_) std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
};
#define RECORD(...) ::lab::Record::get().line(__VA_ARGS__)

// ---- Sockets ----

// Returns the loopback address of this case, 127.A.B.1 by its process id, so that cases that run side by side do
// not take each other's ports.
inline const std::string& own_ip() {
  static const std::string ip = "127." + std::to_string(10 + ::getpid() / 250 % 200) + "." +
                                std::to_string(1 + ::getpid() % 250) + ".1";
  return ip;
}

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  ::inet_pton(AF_INET, own_ip().c_str(), &address.sin_addr);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

// Ends the case with the code for "could not run".
[[noreturn]] void cannot_run(const std::string& why);

inline int port_of(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

// Listens at `port`, or at a free port if it is 0.
inline int listen_at(int port, int backlog = 1024) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = loopback(port);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || ::listen(fd, backlog) != 0)
    cannot_run("cannot listen on a loopback port");
  return fd;
}

// Returns a port that was free a moment ago.
inline int free_port() {
  const int fd = listen_at(0);
  const int port = port_of(fd);
  ::close(fd);
  return port;
}

inline void set_no_delay(int fd) {
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

// Returns a connected socket, or -1.
inline int connect_to(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = loopback(port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    ::close(fd);
    return -1;
  }
  set_no_delay(fd);
  return fd;
}

inline bool send_all(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

// Closes the socket with a reset.
inline void reset(int fd) {
  const linger now{1, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  ::shutdown(fd, SHUT_RDWR);
}

// Returns whether there are bytes or an end of stream to read.
inline bool is_readable(int fd, double timeout_ms) {
  pollfd one{fd, POLLIN, 0};
  return ::poll(&one, 1, static_cast<int>(timeout_ms)) > 0;
}

// ---- HTTP messages ----

struct Message {
  std::string start_line;
  std::map<std::string, std::string> fields;  // by lower-case name
  std::string body;

  std::string field(const std::string& name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? "" : found->second;
  }
  int status() const { return start_line.size() > 12 ? std::atoi(start_line.c_str() + 9) : 0; }
  std::string path() const {
    const std::size_t begin = start_line.find(' ');
    return begin == std::string::npos ? "" : start_line.substr(begin + 1, start_line.find(' ', begin + 1) - begin - 1);
  }
};

// Reads messages whose bodies have a Content-Length from one connection.
class MessageReader {
 public:
  explicit MessageReader(int fd) : fd_(fd) {}
  // Returns false if the connection has ended or the time is up.
  bool read(Message& message, double timeout_ms) {
    const double until = now_ms() + timeout_ms;
    std::size_t head_end = 0;
    while ((head_end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!receive(until)) return false;
    }
    message = {};
    std::istringstream head(buffer_.substr(0, head_end));
    std::getline(head, message.start_line);
    if (!message.start_line.empty()) message.start_line.pop_back();
    for (std::string line; std::getline(head, line);) add_field(message, line);
    const std::size_t length = static_cast<std::size_t>(std::atol(message.field("content-length").c_str()));
    while (buffer_.size() < head_end + 4 + length) {
      if (!receive(until)) return false;
    }
    message.body = buffer_.substr(head_end + 4, length);
    buffer_.erase(0, head_end + 4 + length);
    return true;
  }
  bool has_buffered_bytes() const { return !buffer_.empty(); }
  bool has_ended() const { return ended_; }

 private:
  static void add_field(Message& message, std::string line) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) return;
    std::string name = line.substr(0, colon);
    for (char& c : name) c = static_cast<char>(std::tolower(c));
    std::size_t begin = colon + 1;
    while (begin < line.size() && line[begin] == ' ') ++begin;
    message.fields[name] = line.substr(begin);
  }
  bool receive(double until) {
    const double left = until - now_ms();
    if (left <= 0 || !is_readable(fd_, left + 1)) return false;
    char bytes[16384];
    const ssize_t count = ::recv(fd_, bytes, sizeof bytes, 0);
    if (count <= 0) {
      ended_ = true;
      return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(count));
    return true;
  }

  int fd_;
  bool ended_ = false;
  std::string buffer_;
};

inline std::string http_answer(int status, const std::string& body, const std::string& fields = "") {
  return "HTTP/1.1 " + std::to_string(status) + " Status\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n" + fields + "\r\n" + body;
}

// ---- Servers ----

// Accepts connections and runs `serve` for each on a thread of its own. Threads are not joined: the process of
// the case ends with _exit().
class Server {
 public:
  using Serve = std::function<void(int fd)>;
  explicit Server(Serve serve, int backlog = 1024) : serve_(std::move(serve)), backlog_(backlog) { open(); }
  int port() const { return port_; }
  std::string address() const { return own_ip() + ":" + std::to_string(port_); }

  // Listens again at the same port.
  void open() {
    const int fd = listen_at(port_, backlog_);
    port_ = port_of(fd);
    listener_ = fd;
    std::thread([this, fd] { accept_all(fd); }).detach();
  }
  // Refuses new connections and resets the open ones, as a process that dies does.
  void go_down() {
    const int fd = listener_.exchange(-1);
    if (fd >= 0) {
      ::shutdown(fd, SHUT_RDWR);
      ::close(fd);
    }
    const std::lock_guard lock(mutex_);
    for (const int open : open_) reset(open);
  }
  // From now on new connections do not come up: nothing is accepted, and the accept queue, which has to be
  // short, is kept full. Open connections go on.
  void hold_connections() {
    held_ = true;
    sleep_ms(5);
    for (int i = 0; i < backlog_ + 3; ++i) {
      const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
      const sockaddr_in address = loopback(port_);
      static_cast<void>(::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address));
      fillers_.push_back(fd);
    }
  }
  void release_connections() {
    for (const int fd : fillers_) ::close(fd);
    fillers_.clear();
    held_ = false;
  }
  std::size_t open_count() {
    const std::lock_guard lock(mutex_);
    return open_.size();
  }

 private:
  void accept_all(int listener) {
    for (;;) {
      if (backlog_ < 1024 && (held_ || !is_readable(listener, 2) || held_)) {
        if (held_) sleep_ms(1);
        continue;
      }
      const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (listener_ != listener) return;
        sleep_ms(1);
        continue;
      }
      set_no_delay(fd);
      {
        const std::lock_guard lock(mutex_);
        open_.insert(fd);
      }
      std::thread([this, fd] {
        serve_(fd);
        const std::lock_guard lock(mutex_);
        open_.erase(fd);
        ::close(fd);
      }).detach();
    }
  }
  Serve serve_;
  int backlog_;
  std::atomic<bool> held_{false};
  std::vector<int> fillers_;
  std::atomic<int> port_{0};
  std::atomic<int> listener_{-1};
  std::mutex mutex_;
  std::set<int> open_;
};

// An endpoint. It answers each request with 200 and the body "<name> ran <id>" after its work.
class Host {
 public:
  struct Run {
    double at_ms = 0;  // when the request's last byte had come
    std::string id, path, key, left;
    bool turned_away = false;
  };
  // Called for each request. Returns the bytes of the answer, or an empty string for none.
  using Handler = std::function<std::string(Host&, int fd, MessageReader&, const Message&)>;

  Host(std::string name, double work_ms, int backlog = 1024)
      : name_(std::move(name)), work_ms_(work_ms), server_([this](int fd) { serve(fd); }, backlog) {}

  const std::string& name() const { return name_; }
  int port() const { return server_.port(); }
  std::string address() const { return server_.address(); }
  Server& server() { return server_; }
  void set_handler(Handler handler) { handler_ = std::move(handler); }
  // From now on the host turns new requests away, as a draining one does.
  void drain() { draining_ = true; }
  bool is_draining() const { return draining_; }
  double work_ms() const { return work_ms_; }
  std::string ran_body(const Message& request) const {
    return name_ + " ran " + request.field("x-correlation-id") + "\n";
  }
  std::vector<Run> runs() const {
    const std::lock_guard lock(mutex_);
    return runs_;
  }

 private:
  void serve(int fd) {
    MessageReader reader(fd);
    Message request;
    while (reader.read(request, 60'000)) {
      const bool turned_away = draining_;
      {
        const std::lock_guard lock(mutex_);
        runs_.push_back({now_ms(), request.field("x-correlation-id"), request.path(),
                         request.field("idempotency-key"), request.field("x-time-left-ms"), turned_away});
      }
      RECORD("%s %s %s id %s, time left %s", name_.c_str(), turned_away ? "turned away" : "began",
             request.path().c_str(), request.field("x-correlation-id").c_str(),
             request.field("x-time-left-ms").c_str());
      std::string answer;
      if (turned_away) {
        answer = http_answer(503, "draining\n", "X-Unprocessed: 1\r\n");
      } else if (handler_) {
        answer = handler_(*this, fd, reader, request);
      } else {
        sleep_ms(work_ms_);
        answer = http_answer(200, ran_body(request));
      }
      if (!answer.empty() && !send_all(fd, answer)) return;
    }
  }

  std::string name_;
  double work_ms_;
  std::atomic<bool> draining_{false};
  Handler handler_;
  mutable std::mutex mutex_;
  std::vector<Run> runs_;
  Server server_;
};

// ---- Discovery ----

struct Target {
  std::string uid, address, az, state = "up";
  int release = 1;
  double boot_ms = 0;

  std::string json() const {
    std::ostringstream text;
    text << "{\"uid\":\"" << uid << "\",\"endpoint\":\"" << address << "\",\"az\":\"" << az
         << "\",\"model\":\"usual\",\"pod_group\":1,\"state\":\"" << state
         << "\",\"capacity_hint\":1.0,\"boot_ms\":" << static_cast<long long>(boot_ms)
         << ",\"release\":" << release << "}";
    return text.str();
  }
};

inline double unix_ms() {
  return std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch()).count();
}

// Discovery: the whole list at first, then a line for each change, and an empty line every 2 s.
class Discovery {
 public:
  Discovery() : server_([this](int fd) { serve(fd); }) {}
  std::string address() const { return server_.address(); }
  Server& server() { return server_; }

  // Replaces or adds an entry, and tells it on the open watches.
  void set(const Target& target) { set(std::vector<Target>{target}); }
  void set(const std::vector<Target>& targets) {
    const std::lock_guard lock(mutex_);
    ++revision_;
    for (const Target& target : targets) {
      if (target.state == "removed") targets_.erase(target.uid);
      else targets_[target.uid] = target;
      changed_at_[target.uid] = {revision_, target};
    }
    changed_.notify_all();
  }
  // The watches that are open now fall silent: they stay open, and nothing more is written to them.
  void let_watches_fall_silent() {
    RECORD("discovery: the open watches fall silent");
    silent_up_to_call_ = calls_.load();
  }
  // Each call that comes from now on waits this long before it is answered.
  void set_call_wait(double ms) { call_wait_ms_ = ms; }
  std::string whole_list() {
    const std::lock_guard lock(mutex_);
    return list_since(0, true);
  }
  int calls() const { return calls_; }
  // Returns when a line with entries was last written, or 0.
  double last_list_written_ms() const { return last_list_written_ms_; }

 private:
  struct Change {
    int revision = 0;
    Target target;
  };
  std::string list_since(int revision, bool all) const {
    std::string entries;
    if (all) {
      for (const auto& [uid, target] : targets_) entries += (entries.empty() ? "" : ",") + target.json();
    } else {
      for (const auto& [uid, change] : changed_at_) {
        if (change.revision > revision) entries += (entries.empty() ? "" : ",") + change.target.json();
      }
    }
    return "{\"rev\":" + std::to_string(revision_) + ",\"all\":" + (all ? "true" : "false") + ",\"targets\":[" +
           entries + "]}";
  }
  static std::string chunk(const std::string& bytes) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
  }
  void serve(int fd) {
    MessageReader reader(fd);
    Message call;
    if (!reader.read(call, 60'000)) return;
    const int number = ++calls_;
    const double wait = call_wait_ms_;
    RECORD("discovery: call %d: %s, waits %.0f ms", number, call.start_line.c_str(), wait);
    sleep_ms(wait);
    const std::size_t since = call.path().find("since=");
    int known = 0;
    std::string line;
    {
      const std::lock_guard lock(mutex_);
      const int from = since == std::string::npos ? 0 : std::atoi(call.path().c_str() + since + 6);
      line = list_since(from, from == 0);
      known = revision_;
    }
    if (!send_all(fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n" +
                          chunk(line + "\n")))
      return;
    last_list_written_ms_ = now_ms();
    RECORD("discovery: call %d answered: %s", number, line.c_str());
    for (;;) {
      {
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, std::chrono::seconds(2), [&] { return revision_ != known; });
        line = revision_ == known ? "" : list_since(known, false);
        known = revision_;
      }
      if (number <= silent_up_to_call_) {
        if (is_readable(fd, 0)) return;
        continue;
      }
      if (!send_all(fd, chunk(line + "\n"))) return;
      if (is_readable(fd, 0)) return;  // the router has closed the watch
      if (line.empty()) continue;
      last_list_written_ms_ = now_ms();
      RECORD("discovery: call %d told: %s", number, line.c_str());
    }
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  int revision_ = 1;
  std::map<std::string, Target> targets_;
  std::map<std::string, Change> changed_at_;
  std::atomic<double> call_wait_ms_{0};
  std::atomic<int> calls_{0};
  std::atomic<int> silent_up_to_call_{0};
  std::atomic<double> last_list_written_ms_{0};
  Server server_;
};

// ---- The release platform ----

// The platform: it tells the state of the newest build, counts votes, and sends a ping every second.
class Platform {
 public:
  Platform() : server_([this](int fd) { serve(fd); }) {}
  std::string address() const { return server_.address(); }
  Server& server() { return server_; }
  void set_state(int image, int ring, const std::string& progress, double ceiling) {
    const std::lock_guard lock(mutex_);
    image_ = image, ring_ = ring, progress_ = progress, ceiling_ = ceiling;
    since_ms_ = now_ms();
    ++version_;
    RECORD("platform: build %d stage %d %s, cap %.3f", image, ring, progress.c_str(), ceiling);
  }
  std::string state() {
    const std::lock_guard lock(mutex_);
    std::ostringstream text;
    text << "{\"image\":" << image_ << ",\"ring\":" << ring_ << ",\"progress\":\"" << progress_
         << "\",\"ceiling\":" << ceiling_ << ",\"lag_ms\":" << static_cast<long>(now_ms() - since_ms_) << "}";
    return text.str();
  }

 private:
  void serve(int fd) {
    auto write_mutex = std::make_shared<std::mutex>();
    auto open = std::make_shared<std::atomic<bool>>(true);
    bool subscribed = false;
    std::string buffer;
    char bytes[4096];
    for (;;) {
      const ssize_t count = ::recv(fd, bytes, sizeof bytes, 0);
      if (count <= 0) break;
      buffer.append(bytes, static_cast<std::size_t>(count));
      for (std::size_t end; (end = buffer.find('\n')) != std::string::npos; buffer.erase(0, end + 1)) {
        const std::string line = buffer.substr(0, end);
        const std::size_t id_at = line.find("\"id\":");
        const std::string id = std::to_string(std::atol(line.c_str() + (id_at == std::string::npos ? 0 : id_at + 5)));
        const bool is_subscription = line.find("\"subscribe\"") != std::string::npos;
        if (!is_subscription) RECORD("platform: call %s", line.c_str());
        const std::lock_guard lock(*write_mutex);
        send_all(fd, "{\"jsonrpc\":\"2.0\",\"id\":" + id + ",\"result\":" + (is_subscription ? "true" : state()) + "}\n");
        if (!is_subscription || subscribed) continue;
        subscribed = true;
        std::thread([this, fd, write_mutex, open] { notify(fd, *write_mutex, *open); }).detach();
      }
    }
    const std::lock_guard lock(*write_mutex);
    *open = false;
  }
  void notify(int fd, std::mutex& write_mutex, std::atomic<bool>& open) {
    int told = -1;
    double next_ping = now_ms();
    for (;; sleep_ms(5)) {
      std::string line;
      if (const int version = version_; version != told) {
        told = version;
        line = "{\"jsonrpc\":\"2.0\",\"method\":\"ROLLOUT\",\"params\":" + state() + "}\n";
      } else if (now_ms() >= next_ping) {
        next_ping += 1000;
        line = "{\"jsonrpc\":\"2.0\",\"method\":\"ping\"}\n";
      }
      const std::lock_guard lock(write_mutex);
      if (!open) return;
      if (!line.empty()) send_all(fd, line);
    }
  }

  std::mutex mutex_;
  int image_ = 1, ring_ = 0;
  std::string progress_ = "released";
  double ceiling_ = 1, since_ms_ = 0;
  std::atomic<int> version_{0};
  Server server_;
};

// ---- Clients ----

struct Request {
  std::string path = "/look/1";
  std::string method = "GET";
  std::string id;
  std::string account = "shop";
  long left_ms = 2000;
  std::string fields;  // further header lines
  std::string body;

  std::string bytes() const {
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: " + id + "\r\n";
    if (!account.empty()) text += "X-Account: " + account + "\r\n";
    text += "X-Time-Left-Ms: " + std::to_string(left_ms) + "\r\n" + fields;
    if (method == "POST") text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
  }
};

// A client that sends one request after another, on the same connection while it stays open. A request whose
// connection ends without a byte of an answer is sent once more on a new connection if the connection had been
// used before.
class Client {
 public:
  explicit Client(int port) : port_(port) {}
  ~Client() { close(); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;
  // Returns the status, or 0 if no whole answer came in time.
  int send(const Request& request, Message& answer) {
    for (int tries = 0; tries < 2; ++tries) {
      const bool used = fd_ >= 0;
      if (!used) {
        fd_ = connect_to(port_);
        if (fd_ < 0) return 0;
        reader_ = std::make_unique<MessageReader>(fd_);
      }
      const bool sent = send_all(fd_, request.bytes());
      if (sent && reader_->read(answer, static_cast<double>(request.left_ms) + 600)) {
        if (answer.field("connection") == "close") close();
        return answer.status();
      }
      const bool crossed = reader_->has_ended() || !sent;
      close();
      if (!used || !crossed) return 0;
    }
    return 0;
  }
  void close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }

 private:
  int port_;
  int fd_ = -1;
  std::unique_ptr<MessageReader> reader_;
};

inline std::string new_id() {
  static std::atomic<unsigned long> count{0};
  static const unsigned long base =
      static_cast<unsigned long>(std::chrono::system_clock::now().time_since_epoch().count());
  char text[32];
  std::snprintf(text, sizeof text, "%016lx", (base ^ 0x5bd1e995UL) + 0x9e3779b9UL * ++count);
  return text;
}

// ---- The router ----

// The settings of a small deployment. A case changes members before it starts its router.
struct Settings {
  std::string discovery = "subscribe";
  std::string drain_grace_ms = "1000.0";
  std::string ask_within_ms = "10000.0";
  bool second_copies = false;
  int routers = 2;
  int number = 0;  // of this router
  int sockets = 1024;
  std::string zones = "\"one\",\"two\"";
  std::string caps = "0.056,0.14,0.35,0.77,1.0";
  std::string rings = "0.04,0.1,0.25,0.55,1.0";
  std::string family;  // further members of familyInfo, each with a comma before it
  std::string classes =
      "{\"name\":\"look\",\"effect\":\"idempotent\",\"goalTimeMs\":750.0,\"deadlineMs\":2500.0,\"worth\":1.0},"
      "{\"name\":\"book\",\"effect\":\"deduplicated\",\"group\":\"zone\",\"memorySpanMs\":5000.0,"
      "\"goalTimeMs\":600.0,\"deadlineMs\":2500.0,\"worth\":5.0},"
      "{\"name\":\"send\",\"effect\":\"at_most_once\",\"goalTimeMs\":750.0,\"deadlineMs\":2000.0,\"worth\":2.0}";
  std::string parties =
      "{\"name\":\"shop\",\"allowancePerS\":4000.0,\"share\":0.8},{\"name\":\"market\",\"allowancePerS\":1000.0,\"share\":0.2}";

  std::string json() const {
    return "{\"allowed\":{\"cancel\":true,\"connectTimeoutMs\":250.0,\"connIdleMs\":30000.0,\"maxAttempts\":4,"
           "\"probes\":true,\"peers\":false,\"retryAfter\":true,\"maxRetryAfterMs\":2000.0,\"secondCopies\":" +
           std::string(second_copies ? "true" : "false") + "},\"discovery\":\"" + discovery +
           "\",\"family\":\"rollout\",\"familyInfo\":{\"answerWaitMs\":2000.0,\"bakeMs\":2000.0,\"ballotTtlMs\":10000.0,"
           "\"callsPerS\":10.0,\"closedStages\":0,\"counts\":\"per_lane\",\"decidedBy\":\"majority\","
           "\"mostShares\":[" + caps + "],\"noesNeeded\":1,\"onVotes\":1,\"rings\":[" + rings +
           "],\"spanMs\":2000.0,\"spareTries\":2.0,\"style\":\"side_by_side\",\"toldEveryMs\":4000.0" + family +
           "},\"grades\":[" + classes + "],\"kinds\":[\"usual\"],\"myNumber\":" + std::to_string(number) + ",\"overShareWorth\":0.05,\"parties\":[" +
           parties + "],\"prices\":{\"crossZone\":0.08,\"probe\":0.01},\"replicasOfMe\":" + std::to_string(routers) +
           ",\"rules\":{\"answerSlackMs\":20.0,\"askWithinMs\":" + ask_within_ms + ",\"drainGraceMs\":" +
           drain_grace_ms + ",\"fallMs\":1000.0,\"fallMultiple\":2.0,\"startCapacity\":0.33,\"warmAfterMs\":4900.0},"
           "\"stats\":{\"how\":\"off\"},\"tickMs\":5.0,\"weightKind\":\"off\",\"worthBy\":\"request\",\"zone\":0,"
           "\"zones\":[" + zones + "]}";
  }
};

// The processes that were started, so that every way out of the case ends them.
class Processes {
 public:
  static Processes& get() {
    static Processes processes;
    return processes;
  }
  void add(pid_t pid) {
    const std::lock_guard lock(mutex_);
    pids_.insert(pid);
  }
  void remove(pid_t pid) {
    const std::lock_guard lock(mutex_);
    pids_.erase(pid);
  }
  void kill_all() {
    const std::lock_guard lock(mutex_);
    for (const pid_t pid : pids_) {
      ::kill(pid, SIGCONT);
      ::kill(pid, SIGKILL);
      ::waitpid(pid, nullptr, 0);
    }
    pids_.clear();
  }

 private:
  std::mutex mutex_;
  std::set<pid_t> pids_;
};

// Ends the case: ends all processes and writes the result.
[[noreturn]] inline void finish(int code, const std::string& why) {
  Processes::get().kill_all();
  const char* const words[] = {"the rule held", "the rule was broken", "the case could not run"};
  RECORD("result: %s: %s", words[code], why.c_str());
  Record::get().flush();
  std::printf("%s: %s\n", words[code], why.c_str());
  std::fflush(stdout);
  ::_exit(code);
}
[[noreturn]] inline void cannot_run(const std::string& why) { finish(kCannotRun, why); }

// One router process, started with the command `run` of the deploy file.
class Router {
 public:
  Router(std::string folder, std::string name, const Settings& settings, const std::string& discovery,
         const std::string& platform, const std::string& known, const std::string& news)
      : name_(std::move(name)), folder_(std::move(folder)), settings_(settings), known_(known), news_(news),
        port_(free_port()) {
    write_configuration(discovery, platform);
  }
  int port() const { return port_; }
  pid_t pid() const { return pid_; }
  std::string log_path() const { return folder_ + "/" + name_ + ".log"; }

  void write_configuration(const std::string& discovery, const std::string& platform) {
    discovery_ = discovery;
    const std::string path = folder_ + "/" + name_ + ".json";
    {
      std::ofstream file(path + ".new");
      file << "{\"name\":\"" << name_ << "\",\"listen\":\"" << own_ip() << ":" << port_ << "\",\"discovery\":\"" << discovery
           << "\",\"seed\":\"" << std::hex << ::getpid() << port_ << static_cast<long>(now_ms() * 1000) << std::dec
           << "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" << settings_.sockets << "},\"release_api\":{\"address\":\""
           << platform << "\",\"news\":" << news_ << "},\"known\":" << known_
           << ",\"settings\":" << settings_.json() << "}";
    }
    ::rename((path + ".new").c_str(), path.c_str());
  }

  void start(const char* operator_file = nullptr) {
    const char* const command = std::getenv("CASE_RUN");
    if (!command) cannot_run("CASE_RUN is not set");
    const std::string config = folder_ + "/" + name_ + ".json";
    const std::string listen = own_ip() + ":" + std::to_string(port_);
    pid_ = ::fork();
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // if the case is ended from outside, its processes end with it
      const int log = ::open(log_path().c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(log, 1);
      ::dup2(log, 2);
      ::setenv("PROXY_NAME", name_.c_str(), 1);
      ::setenv("PROXY_LISTEN", listen.c_str(), 1);
      ::setenv("PROXY_DISCOVERY", discovery_.c_str(), 1);
      ::setenv("PROXY_CONFIG", config.c_str(), 1);
      if (operator_file) ::setenv("ASHBEAM_FILE", operator_file, 1);
      ::execl("/bin/sh", "sh", "-c", command, static_cast<char*>(nullptr));
      ::_exit(127);
    }
    Processes::get().add(pid_);
    RECORD("router %s: started, process %d, port %d", name_.c_str(), static_cast<int>(pid_), port_);
  }
  void signal(int number) const {
    RECORD("router %s: signal %d", name_.c_str(), number);
    ::kill(pid_, number);
  }
  // Waits until GET /health/ready answers 200.
  void wait_until_ready() const {
    const double until = now_ms() + 15'000;
    while (now_ms() < until) {
      const int fd = connect_to(port_);
      if (fd >= 0) {
        Message answer;
        MessageReader reader(fd);
        const bool answered = send_all(fd, "GET /health/ready HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n") &&
                              reader.read(answer, 1000);
        ::close(fd);
        if (answered && answer.status() == 200) {
          RECORD("router %s: ready", name_.c_str());
          return;
        }
      }
      sleep_ms(20);
    }
    cannot_run("the router did not become ready");
  }
  // Returns whether the process still runs. Once it does not, each call returns false.
  bool is_running() const { return ::waitpid(pid_, nullptr, WNOHANG) == 0; }

 private:
  std::string name_, folder_;
  Settings settings_;
  std::string known_, news_, discovery_;
  int port_;
  pid_t pid_ = -1;
};

// ---- The case ----

struct Case {
  bool trouble = true;
  std::string temp;  // a temporary folder

  // Reads the environment that run.sh sets: CASE_TEMP, CASE_RECORD, CASE_SECONDS and TROUBLE.
  static Case begin() {
    start_time();
    ::signal(SIGPIPE, SIG_IGN);
    Case one;
    const char* const temp = std::getenv("CASE_TEMP");
    const char* const record = std::getenv("CASE_RECORD");
    const char* const trouble = std::getenv("TROUBLE");
    if (!temp || !record) cannot_run("CASE_TEMP or CASE_RECORD is not set");
    one.temp = temp;
    one.trouble = !trouble || std::string(trouble) != "0";
    Record::get().open(record);
    RECORD("case begins, TROUBLE=%d", one.trouble ? 1 : 0);
    if (const char* const seconds = std::getenv("CASE_SECONDS")) {
      std::thread([limit_ms = std::atof(seconds) * 1000] {
        sleep_ms(limit_ms);
        cannot_run("the time of the case is over");
      }).detach();
    }
    return one;
  }
};

}  // namespace lab
