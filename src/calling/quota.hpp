// How many hits a tenant or a subject may bring: GCRA (ITU-T I.371) with a bank, in bounded memory.
//
// A router's part. Routers do not talk. Of a limit of R hits a second each router holds r = R / n, n being
// the routers that the limit's traffic is spread over: all of them for a tenant, `reach` of them for a
// subject, whose few connections meet few routers. Two rates bind together:
//   sustained  r, with the room of the last `bank` kept: what stands idle here is not lost, it is there when
//   the
//              front sends the traffic back, for as long as the bank is long;
//   peak       lend x r, with the burst: how fast banked room may be used.
// Worst case: over any span T a router admits at most r (T + bank) + burst, so all together R (T + bank) +
// n burst, and never more than lend R a second but for the bursts. A subject on m > reach routers at once
// gets m / reach of its limit, but all subjects together no more than their tenant. A front that for good
// sends a tenant to a part s of the routers gives it s R.
//
// Waiting. A refused hit is told when there is room for it behind those who were told before it. Promises
// reach no further than `bank` past the first room; from there on they are given out anew, and the later
// one's chance is shared. Nothing is kept free: who was not told to wait may use the room first.
#pragma once
#include <cstdint>
#include <vector>

#include "base/time.hpp"
#include "base/wide_pages.hpp"
#include "calling/settings.hpp"

namespace ashbeam::calling {

// A limit's derived figures for one router; nanoseconds.
struct Rate {
  std::int64_t step = 0, peak_step = 0;            // between hits; 0: not limited
  std::int64_t tolerance = 0, peak_tolerance = 0;  // burst
  std::int64_t bank = 0;
  std::uint32_t in_hand = 0;

  static Rate part(const Limit& limit, double routers, double lend, Span bank);
};

// One bucket's state: theoretical arrival times, nanoseconds of Unix time.
struct Bucket {
  std::int64_t due = INT64_MIN, peak_due = INT64_MIN, promised = INT64_MIN;

  void start(std::int64_t now, std::int64_t floor, std::int64_t peak_floor);
  std::int64_t wait(const Rate& rate, std::int64_t now) const;  // 0: there is room for one
  void take(const Rate& rate, std::int64_t now);
  std::int64_t promise(const Rate& rate, std::int64_t now);  // the wait that is told
};

// The subjects' buckets: a table of fixed size, 34 bytes for each of 1.25 x `subjects` places, in sets of
// eight. In a full set one without hits in hand makes room; what it still owed binds whoever comes into the
// set next, so that being forgotten never gains a hit. A set whose places all hold hits refuses.
class Subjects {
 public:
  static constexpr std::uint32_t kNone = UINT32_MAX;
  explicit Subjects(std::size_t subjects);

  std::uint32_t find(std::uint64_t hash) const;                 // kNone: it is not there
  std::uint32_t find_or_make(std::uint64_t hash, Instant now);  // kNone: no room
  Bucket& bucket(std::uint32_t place) { return sets_[place / kWays].buckets[place % kWays]; }
  std::uint32_t& in_hand(std::uint32_t place) { return sets_[place / kWays].in_hand[place % kWays]; }
  // A decision that is near: its cache lines are asked for, all four of the set.
  void prefetch(std::uint64_t hash) const {
    const auto* const set = reinterpret_cast<const char*>(&sets_[set_of(hash)]);
    for (std::size_t line = 0; line < sizeof(Set); line += 64) __builtin_prefetch(set + line);
  }
  std::uint64_t evicted() const { return evicted_; }
  std::size_t bytes() const { return sets_.size() * (sizeof(Set) + sizeof(Floor)); }

 private:
  static constexpr std::uint32_t kWays = 8;
  struct alignas(64) Set {
    std::uint32_t tags[kWays] = {};  // 0: free
    std::uint32_t in_hand[kWays] = {};
    Bucket buckets[kWays];
  };
  struct Floor {
    std::int64_t due = INT64_MIN, peak_due = INT64_MIN;
  };
  std::size_t set_of(std::uint64_t hash) const {
    return static_cast<std::size_t>(((hash >> 32U) * sets_.size()) >> 32U);
  }
  std::vector<Set, WidePages<Set>> sets_;
  std::vector<Floor> floors_;  // touched where a set is full only
  std::uint64_t evicted_ = 0;
};

// So much of something a second, with a burst; cost by cost.
class Budget {
 public:
  Budget(double per_s, double burst) : step_(1e9 / per_s), burst_(burst * 1e9 / per_s) {}
  bool take(Instant now, double cost = 1) {
    if (wait(now) > Span()) return false;
    spend(now, cost);
    return true;
  }
  void spend(Instant now, double cost) {  // whether there is room or not
    const double at = static_cast<double>(now.us()) * 1e3;
    due_ = (due_ > at ? due_ : at) + cost * step_;
  }
  Span wait(Instant now) const {
    const double over = due_ - burst_ - static_cast<double>(now.us()) * 1e3;
    return over > 0 ? Span::us(static_cast<std::int64_t>(over / 1e3) + 1) : Span();
  }

 private:
  double step_, burst_, due_ = 0;
};

// A few things a second for each of many names, in a fixed table: names that fall on one place share it.
class NamedBudgets {
 public:
  NamedBudgets(std::size_t names, double per_s, double burst)
      : step_(Span::us(static_cast<std::int64_t>(1e6 / per_s))), burst_(step_ * (burst - 1)), due_(names) {}
  bool take(std::uint64_t hash, Instant now) {
    Instant& due = due_[hash % due_.size()];
    if (due > now + burst_) return false;
    due = (due > now ? due : now) + step_;
    return true;
  }

 private:
  Span step_, burst_;
  std::vector<Instant> due_;
};

}  // namespace ashbeam::calling
