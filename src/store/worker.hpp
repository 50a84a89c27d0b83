// One thread for what blocks (files, loading of keys): runs tasks in the order of their submission, and hands
// their results to the event loop.
//
// Made and destroyed on the loop's thread, which must outlive it. Errors: none; a task must not throw.
#pragma once
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

#include "transport/event_loop.hpp"

namespace ashbeam {

class Worker {
 public:
  static constexpr std::size_t kMaxQueuedTasks = 64;

  // Runs on the event loop, once its task has run.
  using Completion = std::function<void()>;
  // Runs on the worker's thread. It may outlive the worker, so it has to own all that it reads.
  using Task = std::function<Completion()>;

  explicit Worker(EventLoop& loop);
  // Drops the queued tasks and waits for the one that runs, but no longer than kStopTimeout: a file system
  // may hang, and a task that does not end by then is left behind, its completion dropped.
  ~Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  // False where too many tasks are queued.
  bool submit(Task task);

 private:
  struct State;  // shared with the thread, which may outlive the worker
  static void run(State& state);

  std::shared_ptr<State> state_;
  std::thread thread_;
};

}  // namespace ashbeam
