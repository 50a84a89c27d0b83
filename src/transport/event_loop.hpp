// The one event loop: POCO's reactor, with timers, and with functions that are posted to run once the
// callback at hand has returned. All calls come from the loop's thread but `post_from_thread`.
#pragma once
#include <Poco/Net/SocketReactor.h>

#include <atomic>
#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "base/time.hpp"

namespace ashbeam {

class Timer;

class EventLoop : private Poco::Net::SocketReactor {
 public:
  EventLoop();
  ~EventLoop() override;
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // The machine's clock in Unix time, read once at start and carried on by the steady clock: never goes back.
  Instant now() const;
  // How far the machine's clock is ahead of now(): it was set since the start, or the machine was suspended.
  Duration wall_clock_offset() const;

  void run() override { Poco::Net::SocketReactor::run(); }
  void stop() { Poco::Net::SocketReactor::stop(); }

  // Runs `function` after the callback at hand, before the next wait for events.
  void post(std::function<void()> function);
  // The same from any other thread, once enabled: on the loop's thread, or before it runs. Throws
  // Poco::IOException where the machine has no descriptors left.
  void enable_posts_from_threads();
  void post_from_thread(std::function<void()> function);
  // Destroys `object` then, so that a callback may end its own object.
  template <class T>
  void destroy_later(std::unique_ptr<T> object) {
    post([kept = std::shared_ptr<T>(std::move(object))] {});
  }

  Poco::Net::SocketReactor& reactor() { return *this; }

 private:
  friend class Timer;
  class WakeupEvent;
  // Timers run by their time, and in the order of their setting where it is the same.
  struct TimerOrder {
    Instant due;
    std::uint64_t number = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): a false positive of clang-tidy 14 on defaulted comparisons
    auto operator<=>(const TimerOrder&) const = default;
  };

  void onBusy() override { run_due(); }  // before this turn's events are handed out
  void onTimeout() override { run_due(); }
  void onIdle() override { run_due(); }
  void run_due();
  void run_posted();
  void run_timers();
  void collect_posts_from_threads();
  void update_poll_timeout();

  std::int64_t unix_minus_steady_us_;
  std::map<TimerOrder, Timer*> timers_;
  std::uint64_t next_timer_number_ = 0;
  std::vector<std::function<void()>> posted_;
  std::vector<std::function<void()>> running_;  // empty between turns; kept for its capacity
  std::mutex posts_from_threads_mutex_;
  std::vector<std::function<void()>> posts_from_threads_;  // under the mutex
  std::atomic<bool> has_posts_from_threads_ = false;
  std::unique_ptr<WakeupEvent> wakeup_event_;
};

// Calls back once, at a time that may be changed or cancelled; destroying the timer cancels it.
class Timer {
 public:
  Timer(EventLoop& loop, std::function<void()> callback) : loop_(loop), callback_(std::move(callback)) {}
  ~Timer() { cancel(); }
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  // Each of these replaces the time that was set before.
  void schedule_at(Instant due);
  void schedule_after(Duration delay) { schedule_at(loop_.now() + delay); }
  void cancel();
  bool is_scheduled() const { return scheduled_; }

 private:
  friend class EventLoop;

  EventLoop& loop_;
  std::function<void()> callback_;
  EventLoop::TimerOrder order_;  // where armed
  bool scheduled_ = false;
};

}  // namespace ashbeam
