// Limits how much of the machine TLS handshakes may use: the number of handshakes in progress and the CPU
// time per second. A handshake costs the server more than the client, so a flood of handshakes could
// otherwise use all of the CPU.
//
// Order of calls for a handshake: start(), then may_continue() before and record_cpu_time() after each
// computing step, and finish() when the handshake ends, whether it succeeds or not. A handshake for which
// may_continue() returns false waits for CPU time, until take_next_waiting() returns its id. The limiter
// performs no I/O; callers pass the current time.
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

  // `cpu_s_per_s` is the CPU time in seconds that handshakes may use per second; a tenth of it may be used in
  // one burst. `timeout` is the time within which a handshake has to be complete. No step waits longer than a
  // quarter of it for earlier ones, however much CPU time they used: otherwise no handshake would be
  // completed in time if each costs more than the limit allows within the timeout. A handshake may be evicted
  // if its client has sent nothing for longer than `min_silence_before_eviction`.
  HandshakeLimiter(std::size_t max_in_progress, double cpu_s_per_s, Duration timeout,
                   Duration min_silence_before_eviction);
  // Replaces the limits. Handshakes in progress are retained, also those over a lower limit.
  void set_limits(std::size_t max_in_progress, double cpu_s_per_s, Duration timeout);

  struct StartResult {
    Id id = kNone;       // the new handshake; kNone if it may not start
    Id evicted = kNone;  // a handshake that the caller must abort to make room for the new one
  };
  // Registers a new handshake. At the limit, the oldest handshake whose client has been silent for longer
  // than the threshold is evicted: a client that follows the protocol answers within one or two round trips.
  StartResult start(Instant now);
  void finish(Id id);
  // Returns whether the next step of the handshake may be computed now. If not, the handshake is queued for
  // CPU time.
  bool may_continue(Id id, Instant now);
  void record_cpu_time(Duration cpu, Instant now);

  // Returns the time until a waiting handshake may continue; zero if one may continue now.
  Duration wait_time(Instant now) const { return cpu_.wait_time(now); }
  // Removes and returns the handshake that started to wait last, or kNone if none waits or no CPU time is
  // available. The last one goes first because under overload those that are served then still finish before
  // their timeout, whereas in the order of arrival all of them would finish too late.
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

  // The part of the timeout that a step may wait for earlier ones. A full handshake has two steps.
  static constexpr double kMaxWaitFraction = 0.25;

  std::size_t max_in_progress_;
  Budget cpu_;  // in seconds of CPU time
  Duration max_wait_;
  Duration min_silence_before_eviction_;
  std::vector<Handshake> in_progress_;  // in the order in which they started
  std::vector<Id> waiting_;             // for CPU time, in the order in which they started to wait
  Id last_id_ = kNone;
};

}  // namespace ashbeam::calling
