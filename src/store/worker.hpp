// What blocks (files, key loading) runs on one thread of its own, job by job, and answers on the loop.
#pragma once
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

#include "transport/loop.hpp"

namespace ashbeam {

class Worker {
 public:
  static constexpr std::size_t kMostWaiting = 64;
  explicit Worker(Loop& loop) : loop_(loop) {
    loop.expect_hand_overs();
    thread_ = std::thread([this] { work(); });
  }
  // Ends the job at hand; what waits is dropped.
  ~Worker() {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    wake_.notify_one();
    thread_.join();
  }
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  // Runs `job` there, then what it returns on the loop. False where too much waits already. A job must not
  // throw, nor touch what the loop's thread may touch meanwhile.
  bool run(std::function<std::function<void()>()> job) {
    {
      const std::lock_guard lock(mutex_);
      if (waiting_.size() >= kMostWaiting) return false;
      waiting_.push_back(std::move(job));
    }
    wake_.notify_one();
    return true;
  }

 private:
  void work() {
    std::unique_lock lock(mutex_);
    for (;;) {
      wake_.wait(lock, [this] { return stopping_ || !waiting_.empty(); });
      if (stopping_) return;
      const auto job = std::move(waiting_.front());
      waiting_.pop_front();
      lock.unlock();
      loop_.hand_over(job());
      lock.lock();
    }
  }
  Loop& loop_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<std::function<std::function<void()>()>> waiting_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace ashbeam
