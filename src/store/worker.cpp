#include "store/worker.hpp"

#include <chrono>
#include <utility>

namespace ashbeam {

namespace {

// How long the destructor waits for the running task.
constexpr std::chrono::seconds kStopTimeout{1};

}  // namespace

struct Worker::State {
  explicit State(EventLoop& event_loop) : loop(event_loop) {}

  EventLoop& loop;  // accessed only while holding the mutex, and only if not `stopping`
  std::mutex mutex;
  std::condition_variable changed;  // notified when a task is queued, or `stopping` or `ended` is set
  std::deque<Task> queue;
  bool stopping = false;
  bool ended = false;
};

Worker::Worker(EventLoop& loop) : state_(std::make_shared<State>(loop)) {
  loop.enable_posts_from_threads();
  thread_ = std::thread([state = state_] { run_tasks(*state); });
}

Worker::~Worker() {
  std::unique_lock lock(state_->mutex);
  state_->stopping = true;
  state_->changed.notify_all();
  const bool ended = state_->changed.wait_for(lock, kStopTimeout, [this] { return state_->ended; });
  lock.unlock();
  if (ended) thread_.join();
  else thread_.detach();
}

bool Worker::submit(Task task) {
  {
    const std::lock_guard lock(state_->mutex);
    if (state_->queue.size() >= kMaxQueuedTasks) return false;
    state_->queue.push_back(std::move(task));
  }
  state_->changed.notify_all();
  return true;
}

void Worker::run_tasks(State& state) {
  std::unique_lock lock(state.mutex);
  for (;;) {
    state.changed.wait(lock, [&] { return state.stopping || !state.queue.empty(); });
    if (state.stopping) break;
    const Task task = std::move(state.queue.front());
    state.queue.pop_front();
    lock.unlock();
    Completion completion = task();
    lock.lock();
    if (!state.stopping) state.loop.post_from_thread(std::move(completion));
  }
  state.ended = true;
  state.changed.notify_all();
}

}  // namespace ashbeam
