// Rate limiters for the router's own work, such as signature verifications and the CPU time of TLS
// handshakes: Budget limits one resource, and HashedBudgets limits each of many names. Callers pass the
// current time, which must not decrease.
#pragma once
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/time.hpp"

namespace ashbeam::calling {

// Allows a number of units per second, with a burst. The owner chooses the unit: for example one
// verification, or one second of CPU time.
class Budget {
 public:
  Budget(double units_per_s, double burst_units)
      : ns_per_unit_(kNanosecondsPerSecond / units_per_s),
        burst_ns_(burst_units * kNanosecondsPerSecond / units_per_s) {}

  // Spends `units` and returns true if the budget is not exhausted; otherwise spends nothing.
  bool try_spend(Instant now, double units = 1) {
    if (wait_time(now) > Duration()) return false;
    spend(now, units);
    return true;
  }
  // Records units that have been used already, even if they exceed the budget.
  void spend(Instant now, double units) {
    const double now_ns = nanoseconds(now);
    due_ns_ = (due_ns_ > now_ns ? due_ns_ : now_ns) + units * ns_per_unit_;
  }
  // Forgives the units that would make wait_time() longer than `max_wait`.
  void limit_wait(Instant now, Duration max_wait) {
    const double max_due_ns = nanoseconds(now) + burst_ns_ + static_cast<double>(max_wait.us()) * 1e3;
    due_ns_ = std::min(due_ns_, max_due_ns);
  }
  // Returns the time until units may be spent again; zero if they may be spent now.
  Duration wait_time(Instant now) const {
    const double over_ns = due_ns_ - burst_ns_ - nanoseconds(now);
    return over_ns > 0 ? Duration::us(static_cast<std::int64_t>(over_ns / 1e3) + 1) : Duration();
  }

 private:
  static constexpr double kNanosecondsPerSecond = 1e9;
  static double nanoseconds(Instant at) { return static_cast<double>(at.us()) * 1e3; }

  double ns_per_unit_;
  double burst_ns_;
  double due_ns_ = 0;  // when all units spent so far have been earned back
};

// Allows a few uses per second for each of many names. The table has a fixed size; names that map to the same
// slot share its budget.
class HashedBudgets {
 public:
  HashedBudgets(std::size_t slots, double uses_per_s, double burst_uses)
      : interval_(Duration::us(static_cast<std::int64_t>(1e6 / uses_per_s))),
        tolerance_(interval_ * (burst_uses - 1)), due_(slots) {}

  // Records one use of the name with this hash and returns true if its budget allows the use; otherwise
  // records nothing.
  bool try_use(std::uint64_t hash, Instant now) {
    Instant& due = due_[hash % due_.size()];
    if (due > now + tolerance_) return false;
    due = (due > now ? due : now) + interval_;
    return true;
  }

 private:
  Duration interval_;   // between uses at the sustained rate
  Duration tolerance_;  // by which a use of a burst may come early
  std::vector<Instant> due_;
};

}  // namespace ashbeam::calling
