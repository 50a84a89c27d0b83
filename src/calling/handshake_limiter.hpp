// How much of the machine TLS handshakes may take: so many in progress, and so much CPU a second. A handshake
// costs the server more than the client, so that a flood of them would otherwise take all of it.
//
// Order of calls, for a handshake: start(), may_continue() before each step, record_cpu_time() after it,
// finish() at its end, however it ends. Where may_continue() says no, take_next_waiting() names it some time
// later. No I/O; the time is an argument.
#pragma once
#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/time.hpp"
#include "calling/budget.hpp"

namespace ashbeam::calling {

class HandshakeLimiter {
 public:
  using Id = std::uint64_t;
  static constexpr Id kNone = 0;

  // `cpu_s_per_s`: seconds of CPU a second, of which a tenth may be used at once. A handshake whose client
  // has been silent for longer than `min_silence_before_eviction` may be evicted.
  HandshakeLimiter(std::size_t max_in_progress, double cpu_s_per_s, Duration min_silence_before_eviction);
  void set_limits(std::size_t max_in_progress, double cpu_s_per_s);

  struct StartResult {
    Id id = kNone;       // kNone: no capacity for this one
    Id evicted = kNone;  // this one is to be ended
  };
  // At the bound the handshake that has waited longest for its client's bytes is evicted, if it may be: an
  // honest client answers within a round trip or two.
  StartResult start(Instant now);
  void finish(Id id);
  // Whether the next step may be computed now.
  bool may_continue(Id id, Instant now);
  void record_cpu_time(Duration cpu, Instant now) { cpu_.spend(now, cpu.s()); }

  // How long until a waiting handshake may continue; none: now.
  Duration wait_time(Instant now) const { return cpu_.wait_time(now); }
  // The one that began to wait last goes first: where more wait than can be served, those that are served are
  // still in time, instead of all of them being too late. kNone: none waits, or there is no CPU for it.
  Id take_next_waiting(Instant now);
  bool has_waiting() const { return !waiting_.empty(); }
  std::size_t in_progress_count() const { return in_progress_.size(); }

 private:
  struct Handshake {
    Id id;
    Instant last_step;
    bool is_waiting_for_cpu;
  };
  static Budget cpu_budget(double cpu_s_per_s) { return {cpu_s_per_s, cpu_s_per_s / 10}; }

  std::size_t max_in_progress_;
  Budget cpu_;  // seconds of CPU
  Duration min_silence_before_eviction_;
  std::vector<Handshake> in_progress_;  // in the order of their start
  std::vector<Id> waiting_;             // for CPU, in the order that they began to
  Id last_id_ = kNone;
};

}  // namespace ashbeam::calling
