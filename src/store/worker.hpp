// A thread for blocking work, such as reading files and loading keys. It runs tasks in the order in which
// they were submitted, and posts the completion function that each task returns to the event loop.
//
// The worker must be constructed and destroyed on the thread of the event loop, which must outlive it. A task
// must not throw.
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

  // Called on the event loop's thread after its task has run.
  using Completion = std::function<void()>;
  // Called on the worker's thread. A task may still run after the worker's destruction, so it must own all
  // data that it accesses.
  using Task = std::function<Completion()>;

  explicit Worker(EventLoop& loop);
  // Drops the queued tasks and waits for the running one, but at most for kStopTimeout, because a file system
  // may hang. If the task has not ended by then, its thread is detached and its completion function is
  // dropped.
  ~Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  // Queues a task. Returns false, and drops the task, if kMaxQueuedTasks tasks are queued.
  bool submit(Task task);

 private:
  struct State;  // shared with the thread, which may outlive the worker
  // The thread's function: runs the queued tasks until the worker stops.
  static void run_tasks(State& state);

  std::shared_ptr<State> state_;
  std::thread thread_;
};

}  // namespace ashbeam
