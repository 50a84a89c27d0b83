// What blocks (files, key loading) runs on one thread of its own, job by job, and answers on the loop.
#pragma once
#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

#include "transport/event_loop.hpp"

namespace ashbeam {

class Worker {
 public:
  static constexpr std::size_t kMostWaiting = 64;
  // A job may run on after its worker is gone: it owns all that it reads.
  using Answer = std::function<void()>;
  using Job = std::function<Answer()>;

  explicit Worker(EventLoop& loop) : shared_(std::make_shared<Shared>(loop)) {
    loop.enable_posts_from_threads();
    thread_ = std::thread([shared = shared_] { work(*shared); });
  }
  // What waits is dropped. Guards against a file system that hangs: a job that does not end soon is left
  // behind, and its answer goes nowhere.
  ~Worker() {
    std::unique_lock lock(shared_->mutex);
    shared_->stopping = true;
    shared_->wake.notify_all();
    const bool ended =
        shared_->wake.wait_for(lock, std::chrono::seconds(1), [this] { return shared_->ended; });
    lock.unlock();
    if (ended) thread_.join();
    else thread_.detach();
  }
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  // Runs `job` there, then what it returns on the loop. False where too much waits already. A job must not
  // throw.
  bool run(Job job) {
    {
      const std::lock_guard lock(shared_->mutex);
      if (shared_->waiting.size() >= kMostWaiting) return false;
      shared_->waiting.push_back(std::move(job));
    }
    shared_->wake.notify_all();
    return true;
  }

 private:
  struct Shared {
    explicit Shared(EventLoop& l) : loop(l) {}
    EventLoop& loop;  // used under the mutex, and not once stopping
    std::mutex mutex;
    std::condition_variable wake;
    std::deque<Job> waiting;
    bool stopping = false, ended = false;
  };
  static void work(Shared& s) {
    std::unique_lock lock(s.mutex);
    for (;;) {
      s.wake.wait(lock, [&] { return s.stopping || !s.waiting.empty(); });
      if (s.stopping) break;
      const Job job = std::move(s.waiting.front());
      s.waiting.pop_front();
      lock.unlock();
      Answer answer = job();
      lock.lock();
      if (!s.stopping) s.loop.post_from_thread(std::move(answer));
    }
    s.ended = true;
    s.wake.notify_all();
  }
  std::shared_ptr<Shared> shared_;
  std::thread thread_;
};

}  // namespace ashbeam
