// How many requests a tenant or a subject may send: GCRA (ITU-T I.371), with unused capacity kept for a
// while.
//
// A router's part. Routers do not talk to each other. Of a limit of R requests a second each router holds
// r = R / n, where n is the number of routers that the limit's traffic is spread over: all of them for a
// tenant, `routers_per_subject` for a subject, whose few connections meet few routers. Two rates bind
// together:
//   sustained  r, with the unused capacity of the last `bank`: traffic that is sent to other routers for a
//              while finds its capacity here when it comes back;
//   peak       peak_factor x r, with the burst: how fast banked capacity may be used.
// Worst case: over any span T a router admits at most r (T + bank) + burst, so all together
// R (T + bank) + n burst, and never more than peak_factor x R a second but for the bursts. A subject on
// m > routers_per_subject routers at once gets m / routers_per_subject times its limit, but all subjects
// together no more than their tenant. A tenant that is sent to a part s of the routers for good gets s R.
//
// Retry-After. A rejected request is promised the next slot behind those promised before it. Promises reach
// `bank` past the first free slot at most; from there on they are given out anew, and two requests share a
// slot. Nothing is reserved: a request without a promise may use the slot first.
#pragma once
#include <cstdint>

#include "base/time.hpp"
#include "calling/settings.hpp"

namespace ashbeam::calling {

constexpr std::int64_t nanoseconds_of(Instant at) { return at.us() * 1000; }

// A limit's figures for one router.
struct RouterLimit {
  std::int64_t interval_ns = 0;  // between requests at the sustained rate; 0: not limited
  std::int64_t peak_interval_ns = 0;
  std::int64_t tolerance_ns = 0;  // how early a request of a burst may come, at the sustained rate
  std::int64_t peak_tolerance_ns = 0;
  std::int64_t credit_window_ns = 0;
  std::uint32_t max_in_flight = 0;  // 0: not limited

  // The part of `limit` that one of `routers` routers holds.
  static RouterLimit share_of(const Limit& limit, double routers, double peak_factor, Duration credit_window);
};

// The state of one limited tenant or subject: theoretical arrival times, in nanoseconds of Unix time.
struct Bucket {
  static constexpr std::int64_t kUnset = INT64_MIN;
  std::int64_t sustained_due_ns = kUnset;
  std::int64_t peak_due_ns = kUnset;
  std::int64_t last_retry_slot_ns = kUnset;  // the last slot promised to a rejected request

  // Starts full, but never due earlier than the two floors.
  void reset(std::int64_t now_ns, std::int64_t sustained_floor_ns, std::int64_t peak_floor_ns);
  // How long until one request may be taken; 0: now.
  std::int64_t wait_ns(const RouterLimit& limit, std::int64_t now_ns) const;
  void consume(const RouterLimit& limit, std::int64_t now_ns);
  // How long a rejected request is to wait; its slot counts as promised.
  std::int64_t assign_retry_slot_ns(const RouterLimit& limit, std::int64_t now_ns);
};

}  // namespace ashbeam::calling
