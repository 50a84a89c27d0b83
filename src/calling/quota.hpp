// Rate limits of tenants and subjects. The algorithm is GCRA (ITU-T I.371), extended so that unused capacity
// is kept as credit for a while.
//
// A router's share. Routers do not communicate with each other. Of a limit of R requests per second, each
// router enforces r = R / n, where n is the number of routers over which the limited traffic is spread: all
// routers for a tenant, and `routers_per_subject` for a subject, because the few connections of a subject
// reach few routers. Two rates apply at the same time:
//   sustained  r. The unused capacity of the last `credit_window` is kept, so that traffic that was sent to
//              other routers for a while finds its capacity here when it returns.
//   peak       peak_factor x r, with the burst. It bounds how fast the kept credit may be used.
// Worst case: within any period T a router admits at most r (T + credit_window) + burst requests. All routers
// together admit at most R (T + credit_window) + n burst, and apart from the bursts never more than
// peak_factor x R per second. A subject that uses m > routers_per_subject routers at the same time gets
// m / routers_per_subject times its limit, but all subjects together get no more than their tenant's limit. A
// tenant whose traffic permanently reaches only a fraction s of the routers gets s R.
//
// Retry-After. A rejected request is assigned the next free slot after those assigned before. Slots are
// assigned up to `credit_window` beyond the first free slot. After that, assignment starts again at the first
// free slot, and two requests share a slot. Slots are not reserved: another request may use the slot first.
#pragma once
#include <cstdint>

#include "base/time.hpp"
#include "calling/settings.hpp"

namespace ashbeam::calling {

constexpr std::int64_t nanoseconds_of(Instant at) { return at.us() * 1000; }

// The share of a limit that one router enforces. The intervals are in nanoseconds.
struct RouterLimit {
  // Interval between requests at the sustained rate; 0 if the rate is not limited.
  std::int64_t interval_ns = 0;
  // Interval between requests at the peak rate.
  std::int64_t peak_interval_ns = 0;
  // How early the requests of a burst may arrive, at the sustained rate and at the peak rate.
  std::int64_t tolerance_ns = 0;
  std::int64_t peak_tolerance_ns = 0;
  // How long unused capacity is kept.
  std::int64_t credit_window_ns = 0;
  // Maximum number of requests in flight; 0 if it is not limited.
  std::uint32_t max_in_flight = 0;

  // Returns the share of `limit` that each of `routers` routers enforces. The share is at least one whole
  // request in flight and in a burst.
  static RouterLimit share_of(const Limit& limit, double routers, double peak_factor, Duration credit_window);
};

// The rate limiter state of one tenant or subject: theoretical arrival times of the next request, in
// nanoseconds of Unix time.
struct Bucket {
  static constexpr std::int64_t kUnset = INT64_MIN;
  std::int64_t sustained_due_ns = kUnset;
  std::int64_t peak_due_ns = kUnset;
  std::int64_t last_retry_slot_ns = kUnset;  // the slot last assigned to a rejected request

  // Resets the state: the whole burst is available, but no credit from the time before `now_ns`. The next
  // request is not due earlier than the two floors; kUnset means that there is no floor.
  void reset(std::int64_t now_ns, std::int64_t sustained_floor_ns, std::int64_t peak_floor_ns);
  // Returns the time until one request may be admitted; 0 if it may be admitted now.
  std::int64_t wait_ns(const RouterLimit& limit, std::int64_t now_ns) const;
  // Consumes the capacity of one admitted request.
  void consume(const RouterLimit& limit, std::int64_t now_ns);
  // Assigns the next retry slot to a rejected request and returns the time until the slot.
  std::int64_t assign_retry_slot_ns(const RouterLimit& limit, std::int64_t now_ns);
};

}  // namespace ashbeam::calling
