// The one reactor: POCO's, with timers and with work put off until the callback at hand has returned.
#pragma once
#include <Poco/Net/SocketReactor.h>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "base/time.hpp"

namespace ashbeam {

class EventLoop : private Poco::Net::SocketReactor {
 public:
  EventLoop();
  ~EventLoop();

  // The machine's clock in Unix time, read once at start and carried on by the steady clock: never goes back.
  Instant now() const;
  // How far the machine's clock is ahead of that by now: it was set since, or stood still with the machine.
  Span wall_ahead() const;
  void run() { Poco::Net::SocketReactor::run(); }
  void stop() { Poco::Net::SocketReactor::stop(); }
  // Runs `what` after the callback at hand, before the next wait.
  void post(std::function<void()> what);
  // The same from any other thread: the one way in which a worker answers. Only once the loop was told to
  // expect it, on its own thread or before it runs.
  void enable_posts_from_threads();
  void post_from_thread(std::function<void()> what);
  // Destroys `what` then: a callback may so end its own object.
  template <class T>
  void destroy_later(std::unique_ptr<T> what) {
    post([kept = std::shared_ptr<T>(std::move(what))] {});
  }
  Poco::Net::SocketReactor& reactor() { return *this; }

 private:
  friend class Timer;
  using Due = std::pair<Instant, std::uint64_t>;

  void onBusy() override { run_due(); }  // before the events of this turn are handed out
  void onTimeout() override { run_due(); }
  void onIdle() override { run_due(); }
  void run_due();
  void set_wait();

  std::int64_t unix_minus_steady_us_;
  std::map<Due, class Timer*> timers_;
  std::uint64_t next_number_ = 0;
  std::vector<std::function<void()>> put_off_, running_;
  std::mutex handing_;
  std::vector<std::function<void()>> handed_;  // under the mutex
  struct Bell;
  std::unique_ptr<Bell> bell_;
  std::atomic<bool> any_handed_ = false;
};

// Calls back once at a time that may be moved or taken back; destroying it takes it back.
class Timer {
 public:
  Timer(EventLoop& loop, std::function<void()> then) : loop_(loop), then_(std::move(then)) {}
  ~Timer() { off(); }
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  void at(Instant when);
  void in(Span wait) { at(loop_.now() + wait); }
  void off();
  bool armed() const { return armed_; }

 private:
  friend class EventLoop;
  EventLoop& loop_;
  std::function<void()> then_;
  EventLoop::Due due_;
  bool armed_ = false;
};

}  // namespace ashbeam
