// The event loop of the router: POCO's socket reactor, extended by timers and by posted functions, which run
// after the current callback has returned. All functions must be called on the loop's thread, except
// post_from_thread().
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

  // Returns the Unix time. The wall clock is read once, at construction, and the steady clock measures the
  // time since. The result therefore never decreases, even if the wall clock is set back.
  Instant now() const;
  // Returns the difference of the wall clock and now(). It is not 0 if the wall clock was set after the
  // construction or the machine was suspended. Positive if the wall clock is ahead.
  Duration wall_clock_offset() const;

  void run() override { Poco::Net::SocketReactor::run(); }
  void stop() { Poco::Net::SocketReactor::stop(); }

  // Returns the number of the current iteration: events that arrive after its beginning are reported in a
  // later one.
  std::uint64_t iteration() const { return iteration_; }

  // Runs `function` after the current callback and before the next wait for events.
  void post(std::function<void()> function);
  // Creates the wakeup event that post_from_thread() needs. Must be called on the loop's thread, or before
  // the loop runs. Throws Poco::IOException if no descriptors are available.
  void enable_posts_from_threads();
  // Runs `function` on the loop's thread. May be called from any thread, after enable_posts_from_threads().
  void post_from_thread(std::function<void()> function);
  // Destroys `object` after the current callback, so that a callback may destroy the object that it belongs
  // to.
  template <class T>
  void destroy_later(std::unique_ptr<T> object) {
    post([owned = std::shared_ptr<T>(std::move(object))] {});
  }

  // Returns memory of at least `bytes` bytes for one read, which all connections share. It is valid until the
  // current callback has returned.
  char* read_buffer(std::size_t bytes) {
    if (read_buffer_.size() < bytes) read_buffer_.resize(bytes);
    return read_buffer_.data();
  }

  Poco::Net::SocketReactor& reactor() { return *this; }

 private:
  friend class Timer;
  class WakeupEvent;
  // Orders the timers by the time at which they are due. Timers that are due at the same time run in the
  // order in which they were scheduled.
  struct TimerOrder {
    Instant due;
    std::uint64_t sequence_number = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): a false positive of clang-tidy 14 on defaulted comparisons
    auto operator<=>(const TimerOrder&) const = default;
  };

  // The reactor calls at least one of these three in each iteration. It calls onBusy() before it dispatches
  // the events of the iteration.
  void onBusy() override { run_due(); }
  void onTimeout() override { run_due(); }
  void onIdle() override { run_due(); }
  // Runs the posted functions, then the timers that are due. Functions that are posted and timers that are
  // scheduled meanwhile run in the next iteration.
  void run_due();
  void run_posted();
  void run_timers();
  // Moves the functions that other threads have posted to `posted_`.
  void collect_posts_from_threads();
  // Sets the reactor's timeout to the time until the next timer is due, or to 0 if there are posted
  // functions.
  void update_poll_timeout();

  std::vector<char> read_buffer_;
  std::uint64_t iteration_ = 0;
  std::int64_t unix_minus_steady_us_;  // the wall clock minus the steady clock, at construction
  std::map<TimerOrder, Timer*> timers_;
  std::uint64_t next_timer_sequence_number_ = 0;
  std::vector<std::function<void()>> posted_;
  // The posted functions that run now. Empty between iterations; a member so that its memory is reused.
  std::vector<std::function<void()>> running_;
  std::mutex posts_from_threads_mutex_;
  std::vector<std::function<void()>> posts_from_threads_;  // guarded by the mutex
  std::atomic<bool> has_posts_from_threads_ = false;
  std::unique_ptr<WakeupEvent> wakeup_event_;  // null until enable_posts_from_threads()
};

// Calls a function once at a given time, which may be changed or cancelled. The destructor cancels the timer.
// Must be used on the thread of `loop`, which must outlive the timer.
class Timer {
 public:
  Timer(EventLoop& loop, std::function<void()> callback) : loop_(loop), callback_(std::move(callback)) {}
  ~Timer() { cancel(); }
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  // Each of these two replaces the time that was scheduled before.
  void schedule_at(Instant due);
  void schedule_after(Duration delay) { schedule_at(loop_.now() + delay); }
  void cancel();
  bool is_scheduled() const { return scheduled_; }

 private:
  friend class EventLoop;

  EventLoop& loop_;
  std::function<void()> callback_;
  EventLoop::TimerOrder order_;  // the key in EventLoop::timers_, if scheduled
  bool scheduled_ = false;
};

}  // namespace ashbeam
