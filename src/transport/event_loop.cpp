#include "transport/event_loop.hpp"

#include <Poco/ErrorHandler.h>
#include <Poco/Exception.h>
#include <Poco/NObserver.h>
#include <Poco/Net/SocketNotification.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>

namespace ashbeam {

namespace {

template <class Clock>
std::int64_t reading_us() {
  return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now().time_since_epoch()).count();
}

constexpr std::int64_t kLongestWaitUs = 1'000'000;

// One callback's exception must not take the others with it; the program's error handler logs it.
void guarded(const std::function<void()>& what) {
  try {
    what();
  } catch (const std::exception& e) {
    Poco::ErrorHandler::handle(e);
  }
}

}  // namespace

// POCO 1.11's wakeUp() does not end its poll: a byte on a socket of our own does.
struct EventLoop::Bell {
  class End : public Poco::Net::StreamSocket {
   public:
    explicit End(int fd) : StreamSocket(new Poco::Net::StreamSocketImpl(fd)) {}
  };
  Bell(EventLoop& l, const int (&pair)[2]) : loop(l), in(pair[0]), out(pair[1]) {}
  void rung(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) {
    char some[64];
    while (::recv(in.impl()->sockfd(), some, sizeof some, MSG_DONTWAIT) == sizeof some) {
    }
    // What was handed over since this turn began has had its byte taken just now: it is not left to the next
    // event.
    loop.post([] {});
  }
  void ring() {
    ::send(out.impl()->sockfd(), "!", 1, MSG_DONTWAIT | MSG_NOSIGNAL);
  }  // full: it rings already
  EventLoop& loop;
  End in, out;
};

EventLoop::~EventLoop() = default;

void EventLoop::enable_posts_from_threads() {
  if (bell_) return;
  int pair[2];
  if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, pair) != 0)
    throw Poco::IOException("no socket pair can be had");
  bell_ = std::make_unique<Bell>(*this, pair);
  reactor().addEventHandler(bell_->in,
                            Poco::NObserver<Bell, Poco::Net::ReadableNotification>(*bell_, &Bell::rung));
}

EventLoop::EventLoop()
    : unix_minus_steady_us_(reading_us<std::chrono::system_clock>() -
                            reading_us<std::chrono::steady_clock>()) {
  set_wait();
}

Instant EventLoop::now() const {
  return Instant::at_us(reading_us<std::chrono::steady_clock>() + unix_minus_steady_us_);
}

Span EventLoop::wall_ahead() const {
  return Span::us(reading_us<std::chrono::system_clock>() - reading_us<std::chrono::steady_clock>() -
                  unix_minus_steady_us_);
}

void EventLoop::post(std::function<void()> what) {
  put_off_.push_back(std::move(what));
  if (put_off_.size() == 1) set_wait();
}

void EventLoop::post_from_thread(std::function<void()> what) {
  {
    const std::lock_guard lock(handing_);
    handed_.push_back(std::move(what));
    any_handed_ = true;
  }
  if (bell_) bell_->ring();
}

// POCO waits in whole milliseconds and cuts fractions off: rounded up here, or the last one would be spun
// away.
void EventLoop::set_wait() {
  std::int64_t us = kLongestWaitUs;
  if (!put_off_.empty()) us = 0;
  else if (!timers_.empty())
    us = std::clamp<std::int64_t>((timers_.begin()->first.first - now()).us(), 0, us);
  setTimeout(Poco::Timespan((us + 999) / 1000 * 1000));
}

// What was put off comes first, then the timers that are due; a timer set meanwhile waits for the next turn.
void EventLoop::run_due() {
  if (any_handed_) {
    const std::lock_guard lock(handing_);
    any_handed_ = false;
    for (auto& what : handed_) put_off_.push_back(std::move(what));
    handed_.clear();
  }
  running_.swap(put_off_);
  for (auto& what : running_) guarded(what);
  running_.clear();
  const Due until{now(), next_number_};
  while (!timers_.empty() && timers_.begin()->first <= until) {
    Timer* const timer = timers_.begin()->second;
    timer->off();
    guarded(timer->then_);
  }
  set_wait();
}

void Timer::at(Instant when) {
  off();
  due_ = {when, loop_.next_number_++};
  armed_ = true;
  const auto place = loop_.timers_.emplace(due_, this).first;
  if (place == loop_.timers_.begin()) loop_.set_wait();
}

void Timer::off() {
  if (armed_) loop_.timers_.erase(due_);
  armed_ = false;
}

}  // namespace ashbeam
