#include "calling/handshake_limiter.hpp"

#include <algorithm>

namespace ashbeam::calling {

HandshakeLimiter::HandshakeLimiter(std::size_t max_in_progress, double cpu_s_per_s, Duration timeout,
                                   Duration min_silence_before_eviction)
    : max_in_progress_(max_in_progress), cpu_(cpu_budget(cpu_s_per_s)), max_wait_(timeout * kMaxWaitFraction),
      min_silence_before_eviction_(min_silence_before_eviction) {}

void HandshakeLimiter::set_limits(std::size_t max_in_progress, double cpu_s_per_s, Duration timeout) {
  max_in_progress_ = max_in_progress;
  cpu_ = cpu_budget(cpu_s_per_s);
  max_wait_ = timeout * kMaxWaitFraction;
}

void HandshakeLimiter::record_cpu_time(Duration cpu, Instant now) {
  cpu_.spend(now, cpu.s());
  cpu_.limit_wait(now, max_wait_);
}

HandshakeLimiter::StartResult HandshakeLimiter::start(Instant now) {
  StartResult started;
  if (in_progress_.size() >= max_in_progress_) {
    const auto silent = std::find_if(in_progress_.begin(), in_progress_.end(), [&](const Handshake& h) {
      return !h.is_waiting_for_cpu && now - h.last_step > min_silence_before_eviction_;
    });
    if (silent == in_progress_.end()) return started;
    started.evicted = silent->id;
    in_progress_.erase(silent);
  }
  started.id = ++last_id_;
  in_progress_.push_back({started.id, now, false});
  return started;
}

void HandshakeLimiter::finish(Id id) {
  std::erase_if(in_progress_, [id](const Handshake& h) { return h.id == id; });
  std::erase(waiting_, id);
}

bool HandshakeLimiter::may_continue(Id id, Instant now) {
  const bool may = cpu_.wait_time(now) <= Duration();
  if (may) {
    std::erase(waiting_, id);
  } else if (std::find(waiting_.begin(), waiting_.end(), id) == waiting_.end()) {
    waiting_.push_back(id);
  }
  for (Handshake& handshake : in_progress_) {
    if (handshake.id != id) continue;
    handshake.is_waiting_for_cpu = !may;
    handshake.last_step = now;
  }
  return may;
}

HandshakeLimiter::Id HandshakeLimiter::take_next_waiting(Instant now) {
  if (waiting_.empty() || cpu_.wait_time(now) > Duration()) return kNone;
  const Id id = waiting_.back();
  waiting_.pop_back();
  return id;
}

}  // namespace ashbeam::calling
