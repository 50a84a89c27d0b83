// A fault injection library, loaded into the program under test with LD_PRELOAD. It makes system calls fail
// or transfer fewer bytes than requested, at random with a seed, and steps the wall clock. ASHBEAM_FAULTS
// lists the faults as `call=ERROR:rate` or `short=rate`, separated by spaces:
//   ASHBEAM_FAULTS="seed=1 socket=ENFILE:0.01 connect=EADDRNOTAVAIL:0.01 recv=EINTR:0.01 send=EINTR:0.01
//                   accept=ECONNABORTED:0.01 poll=EINTR:0.01 short=0.1"
// ASHBEAM_WALL_STEP names a file with the number of seconds to add to the wall clock. The file is read again
// each second.
#include <dlfcn.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/time.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <iterator>

namespace {

struct NamedError {
  const char* name;
  int error;
};
constexpr NamedError kErrors[] = {{"ENFILE", ENFILE},         {"EMFILE", EMFILE},
                                  {"ENOBUFS", ENOBUFS},       {"ENOMEM", ENOMEM},
                                  {"EINTR", EINTR},           {"EADDRNOTAVAIL", EADDRNOTAVAIL},
                                  {"EAGAIN", EAGAIN},         {"ENETUNREACH", ENETUNREACH},
                                  {"ECONNRESET", ECONNRESET}, {"ECONNABORTED", ECONNABORTED},
                                  {"ETIMEDOUT", ETIMEDOUT},   {"EHOSTUNREACH", EHOSTUNREACH}};
enum Call { kSocket, kConnect, kAccept, kSend, kRecv, kPoll, kCalls };
constexpr const char* kCallNames[kCalls] = {"socket", "connect", "accept", "send", "recv", "poll"};

// The faults that ASHBEAM_FAULTS lists, and the state of the random numbers.
struct FaultPlan {
  int error[kCalls] = {};
  double rate[kCalls] = {};
  double short_rate = 0;
  std::atomic<std::uint64_t> state{1};

  FaultPlan() {
    const char* const text = std::getenv("ASHBEAM_FAULTS");
    if (!text) return;
    char copy[1024];
    std::snprintf(copy, sizeof copy, "%s", text);
    for (char* word = std::strtok(copy, " "); word; word = std::strtok(nullptr, " ")) read(word);
  }
  void read(char* word) {
    char* const value = std::strchr(word, '=');
    if (!value) return;
    *value = 0;
    if (std::strcmp(word, "seed") == 0) state = std::strtoull(value + 1, nullptr, 10) * 2 + 1;
    if (std::strcmp(word, "short") == 0) short_rate = std::atof(value + 1);
    char* const rate_text = std::strchr(value + 1, ':');
    if (!rate_text) return;
    *rate_text = 0;
    for (int call = 0; call < kCalls; ++call) {
      if (std::strcmp(word, kCallNames[call]) != 0) continue;
      for (const NamedError& e : kErrors) {
        if (std::strcmp(value + 1, e.name) == 0) error[call] = e.error;
      }
      rate[call] = std::atof(rate_text + 1);
    }
  }
  // Returns a random number in [0, 1), from splitmix64.
  double next_double() {
    std::uint64_t z = state += 0x9e3779b97f4a7c15ULL;
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebULL;
    return static_cast<double>((z ^ (z >> 31U)) >> 11U) / 9007199254740992.0;
  }
  // Whether the call fails now; sets errno if it does.
  bool fails(Call call) {
    if (rate[call] <= 0 || next_double() >= rate[call]) return false;
    errno = error[call];
    return true;
  }
  // Returns the number of bytes to transfer, between 1 and the requested number.
  std::size_t shorten(std::size_t requested) {
    if (short_rate <= 0 || requested < 2 || next_double() >= short_rate) return requested;
    return 1 + static_cast<std::size_t>(next_double() * static_cast<double>(requested - 1));
  }
};

FaultPlan& plan() {
  static FaultPlan one;
  return one;
}

// Returns the libc function that this library replaces.
template <class Function>
Function next_symbol(const char* name) {
  return reinterpret_cast<Function>(::dlsym(RTLD_NEXT, name));
}

// Returns the seconds to add to the wall clock.
std::int64_t wall_step_s(std::int64_t now_s) {
  static const char* const path = std::getenv("ASHBEAM_WALL_STEP");
  static std::int64_t read_at = 0, step = 0;
  if (!path || now_s == read_at) return step;
  read_at = now_s;
  if (std::FILE* const file = std::fopen(path, "r")) {
    long long text = 0;
    if (std::fscanf(file, "%lld", &text) == 1) step = text;
    std::fclose(file);
  }
  return step;
}

}  // namespace

extern "C" {

int socket(int domain, int type, int protocol) {
  static const auto real = next_symbol<int (*)(int, int, int)>("socket");
  return plan().fails(kSocket) ? -1 : real(domain, type, protocol);
}

int connect(int fd, const sockaddr* address, socklen_t length) {
  static const auto real = next_symbol<int (*)(int, const sockaddr*, socklen_t)>("connect");
  return plan().fails(kConnect) ? -1 : real(fd, address, length);
}

int accept4(int fd, sockaddr* address, socklen_t* length, int flags) {
  static const auto real = next_symbol<int (*)(int, sockaddr*, socklen_t*, int)>("accept4");
  return plan().fails(kAccept) ? -1 : real(fd, address, length, flags);
}

ssize_t send(int fd, const void* bytes, size_t length, int flags) {
  static const auto real = next_symbol<ssize_t (*)(int, const void*, size_t, int)>("send");
  return plan().fails(kSend) ? -1 : real(fd, bytes, plan().shorten(length), flags);
}

ssize_t recv(int fd, void* bytes, size_t length, int flags) {
  static const auto real = next_symbol<ssize_t (*)(int, void*, size_t, int)>("recv");
  return plan().fails(kRecv) ? -1 : real(fd, bytes, bytes ? plan().shorten(length) : length, flags);
}

int epoll_wait(int fd, epoll_event* events, int most, int timeout) {
  static const auto real = next_symbol<int (*)(int, epoll_event*, int, int)>("epoll_wait");
  return plan().fails(kPoll) ? -1 : real(fd, events, most, timeout);
}

int poll(pollfd* fds, nfds_t count, int timeout) {
  static const auto real = next_symbol<int (*)(pollfd*, nfds_t, int)>("poll");
  return plan().fails(kPoll) ? -1 : real(fds, count, timeout);
}

int clock_gettime(clockid_t clock, timespec* at) {
  static const auto real = next_symbol<int (*)(clockid_t, timespec*)>("clock_gettime");
  const int result = real(clock, at);
  if (result == 0 && clock == CLOCK_REALTIME) at->tv_sec += wall_step_s(at->tv_sec);
  return result;
}
}
