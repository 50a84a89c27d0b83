#include "transport/event_loop.hpp"

#include <Poco/ErrorHandler.h>
#include <Poco/Exception.h>
#include <Poco/NObserver.h>
#include <Poco/Net/SocketNotification.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <string>

namespace ashbeam {

namespace {

constexpr std::int64_t kMaxPollTimeoutUs = 1'000'000;
constexpr std::int64_t kMicrosecondsPerMillisecond = 1000;

template <class Clock>
std::int64_t read_clock_us() {
  return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now().time_since_epoch()).count();
}

// Passes an exception to the program's error handler, which logs it, so that the other callbacks still run.
void run_and_handle_exceptions(const std::function<void()>& function) {
  try {
    function();
  } catch (const std::exception& exception) {
    Poco::ErrorHandler::handle(exception);
  }
}

}  // namespace

// Ends the loop's wait for events from another thread, by a byte that is sent to a socket of the loop. The
// wakeUp() of POCO 1.11 does not interrupt its poll.
class EventLoop::WakeupEvent {
 public:
  // Throws Poco::IOException if no descriptors are available.
  explicit WakeupEvent(EventLoop& loop) : WakeupEvent(loop, make_socket_pair()) {}

  // May be called from any thread. An error is ignored: if the send buffer is full, the loop has bytes to
  // read and wakes up anyway.
  void signal() { ::send(write_end_.impl()->sockfd(), "!", 1, MSG_DONTWAIT | MSG_NOSIGNAL); }

 private:
  class Socket : public Poco::Net::StreamSocket {
   public:
    explicit Socket(int fd) : StreamSocket(new Poco::Net::StreamSocketImpl(fd)) {}
  };
  static constexpr std::size_t kReadBytes = 64;

  static std::array<int, 2> make_socket_pair() {
    std::array<int, 2> fds{};
    if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, fds.data()) != 0)
      throw Poco::IOException(std::string("cannot create a socket pair to wake the event loop: ") +
                              std::strerror(errno));
    return fds;
  }

  WakeupEvent(EventLoop& loop, const std::array<int, 2>& fds)
      : loop_(loop), read_end_(fds[0]), write_end_(fds[1]) {
    loop.reactor().addEventHandler(read_end_, Poco::NObserver<WakeupEvent, Poco::Net::ReadableNotification>(
                                                  *this, &WakeupEvent::handle_readable));
  }

  void handle_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) {
    char bytes[kReadBytes];
    while (::recv(read_end_.impl()->sockfd(), bytes, sizeof bytes, MSG_DONTWAIT) == sizeof bytes) {
    }
    // A function that another thread posted after this iteration began may have had its byte read here. The
    // empty function makes the next poll return at once, so that the other one does not wait for the next
    // event.
    loop_.post([] {});
  }

  EventLoop& loop_;
  Socket read_end_;
  Socket write_end_;
};

EventLoop::EventLoop()
    : unix_minus_steady_us_(read_clock_us<std::chrono::system_clock>() -
                            read_clock_us<std::chrono::steady_clock>()) {
  update_poll_timeout();
}

EventLoop::~EventLoop() = default;

Instant EventLoop::now() const {
  return Instant::at_us(read_clock_us<std::chrono::steady_clock>() + unix_minus_steady_us_);
}

Duration EventLoop::wall_clock_offset() const {
  return Duration::us(read_clock_us<std::chrono::system_clock>() -
                      read_clock_us<std::chrono::steady_clock>() - unix_minus_steady_us_);
}

// ---- Posted functions ----

void EventLoop::post(std::function<void()> function) {
  posted_.push_back(std::move(function));
  if (posted_.size() == 1) update_poll_timeout();
}

void EventLoop::enable_posts_from_threads() {
  if (!wakeup_event_) wakeup_event_ = std::make_unique<WakeupEvent>(*this);
}

void EventLoop::post_from_thread(std::function<void()> function) {
  {
    const std::lock_guard lock(posts_from_threads_mutex_);
    posts_from_threads_.push_back(std::move(function));
    has_posts_from_threads_ = true;
  }
  if (wakeup_event_) wakeup_event_->signal();
}

void EventLoop::collect_posts_from_threads() {
  if (!has_posts_from_threads_) return;
  const std::lock_guard lock(posts_from_threads_mutex_);
  has_posts_from_threads_ = false;
  for (auto& function : posts_from_threads_) posted_.push_back(std::move(function));
  posts_from_threads_.clear();
}

void EventLoop::run_posted() {
  running_.swap(posted_);
  for (const auto& function : running_) run_and_handle_exceptions(function);
  running_.clear();
}

// ---- Iterations ----

void EventLoop::run_due() {
  ++iteration_;
  collect_posts_from_threads();
  run_posted();
  run_timers();
  update_poll_timeout();
}

void EventLoop::run_timers() {
  const TimerOrder last{now(), next_timer_sequence_number_};
  while (!timers_.empty() && timers_.begin()->first <= last) {
    Timer* const timer = timers_.begin()->second;
    timer->cancel();
    run_and_handle_exceptions(timer->callback_);
  }
}

// POCO truncates the timeout to whole milliseconds. It is rounded up here, because the loop would otherwise
// poll without waiting during the last millisecond before a timer.
void EventLoop::update_poll_timeout() {
  std::int64_t wait_us = kMaxPollTimeoutUs;
  if (!posted_.empty()) {
    wait_us = 0;
  } else if (!timers_.empty()) {
    const Duration until_due = timers_.begin()->first.due - now();
    wait_us = std::clamp<std::int64_t>(until_due.us(), 0, kMaxPollTimeoutUs);
  }
  const std::int64_t milliseconds = (wait_us + kMicrosecondsPerMillisecond - 1) / kMicrosecondsPerMillisecond;
  setTimeout(Poco::Timespan(milliseconds * kMicrosecondsPerMillisecond));
}

// ---- Timers ----

void Timer::schedule_at(Instant due) {
  cancel();
  order_ = {due, loop_.next_timer_sequence_number_++};
  scheduled_ = true;
  const auto position = loop_.timers_.emplace(order_, this).first;
  if (position == loop_.timers_.begin()) loop_.update_poll_timeout();
}

void Timer::cancel() {
  if (scheduled_) loop_.timers_.erase(order_);
  scheduled_ = false;
}

}  // namespace ashbeam
