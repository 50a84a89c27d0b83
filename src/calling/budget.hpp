// Budgets of work over time, in two forms: one for a resource, and a table of small ones by name. The time is
// an argument and never goes back.
#pragma once
#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/time.hpp"

namespace ashbeam::calling {

// So many units of something a second, with a burst. The unit is the owner's: a verification, a second of
// CPU.
class Budget {
 public:
  Budget(double units_per_s, double burst_units)
      : ns_per_unit_(kNanosecondsPerSecond / units_per_s),
        burst_ns_(burst_units * kNanosecondsPerSecond / units_per_s) {}

  bool try_spend(Instant now, double units = 1) {
    if (wait_time(now) > Duration()) return false;
    spend(now, units);
    return true;
  }
  // Spends what has been used already, whether it was there or not.
  void spend(Instant now, double units) {
    const double now_ns = nanoseconds(now);
    due_ns_ = (due_ns_ > now_ns ? due_ns_ : now_ns) + units * ns_per_unit_;
  }
  // How long until something may be spent; none: now.
  Duration wait_time(Instant now) const {
    const double over_ns = due_ns_ - burst_ns_ - nanoseconds(now);
    return over_ns > 0 ? Duration::us(static_cast<std::int64_t>(over_ns / 1e3) + 1) : Duration();
  }

 private:
  static constexpr double kNanosecondsPerSecond = 1e9;
  static double nanoseconds(Instant at) { return static_cast<double>(at.us()) * 1e3; }

  double ns_per_unit_;
  double burst_ns_;
  double due_ns_ = 0;
};

// A few uses a second for each of many names, in a fixed table: names that fall on one slot share it.
class HashedBudgets {
 public:
  HashedBudgets(std::size_t slots, double uses_per_s, double burst_uses)
      : interval_(Duration::us(static_cast<std::int64_t>(1e6 / uses_per_s))),
        tolerance_(interval_ * (burst_uses - 1)), due_(slots) {}

  bool try_use(std::uint64_t hash, Instant now) {
    Instant& due = due_[hash % due_.size()];
    if (due > now + tolerance_) return false;
    due = (due > now ? due : now) + interval_;
    return true;
  }

 private:
  Duration interval_;
  Duration tolerance_;
  std::vector<Instant> due_;
};

}  // namespace ashbeam::calling
