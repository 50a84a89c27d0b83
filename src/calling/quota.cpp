#include "calling/quota.hpp"

#include <algorithm>
#include <cmath>

namespace ashbeam::calling {

namespace {

constexpr double kNanosecondsPerSecond = 1e9;
constexpr double kMaxSpanNs = 9e17;  // about 28 years; added to a Unix time it still fits std::int64_t

std::int64_t at_least_1_ns(double ns) { return std::max<std::int64_t>(1, std::llround(ns)); }
std::int64_t bounded_ns(double ns) { return std::llround(std::min(kMaxSpanNs, ns)); }

}  // namespace

RouterLimit RouterLimit::share_of(const Limit& limit, double routers, double peak_factor,
                                  Duration credit_window) {
  RouterLimit result;
  const double router_count = std::max(1.0, routers);
  const double bounded_peak_factor = std::max(1.0, peak_factor);
  if (limit.requests_per_s > 0) {
    const double interval_ns =
        std::min(kNanosecondsPerSecond * router_count / limit.requests_per_s, kMaxSpanNs);
    const double burst = std::max(1.0, limit.burst_requests / router_count);  // at least one whole request
    result.interval_ns = at_least_1_ns(interval_ns);
    result.peak_interval_ns = at_least_1_ns(interval_ns / bounded_peak_factor);
    result.tolerance_ns = bounded_ns((burst - 1) * interval_ns);
    result.peak_tolerance_ns = bounded_ns((burst - 1) * interval_ns / bounded_peak_factor);
    result.credit_window_ns = credit_window.us() * 1000;
  }
  if (limit.max_in_flight > 0) {
    const double router_share = std::ceil(static_cast<double>(limit.max_in_flight) / router_count);
    result.max_in_flight = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(router_share));
  }
  return result;
}

void Bucket::reset(std::int64_t now_ns, std::int64_t sustained_floor_ns, std::int64_t peak_floor_ns) {
  sustained_due_ns = std::max(now_ns, sustained_floor_ns);
  peak_due_ns = std::max(now_ns, peak_floor_ns);
  last_retry_slot_ns = kUnset;
}

std::int64_t Bucket::wait_ns(const RouterLimit& limit, std::int64_t now_ns) const {
  if (limit.interval_ns == 0) return 0;
  const std::int64_t sustained =
      std::max(sustained_due_ns, now_ns - limit.credit_window_ns) - now_ns - limit.tolerance_ns;
  const std::int64_t peak = std::max(peak_due_ns, now_ns) - now_ns - limit.peak_tolerance_ns;
  return std::max<std::int64_t>(0, std::max(sustained, peak));
}

void Bucket::consume(const RouterLimit& limit, std::int64_t now_ns) {
  if (limit.interval_ns == 0) return;
  sustained_due_ns = std::max(sustained_due_ns, now_ns - limit.credit_window_ns) + limit.interval_ns;
  peak_due_ns = std::max(peak_due_ns, now_ns) + limit.peak_interval_ns;
}

std::int64_t Bucket::assign_retry_slot_ns(const RouterLimit& limit, std::int64_t now_ns) {
  const std::int64_t first_ns = now_ns + wait_ns(limit, now_ns);
  std::int64_t slot_ns = first_ns;
  if (last_retry_slot_ns != kUnset) slot_ns = std::max(first_ns, last_retry_slot_ns + limit.interval_ns);
  if (slot_ns > first_ns + std::max(limit.credit_window_ns, limit.interval_ns)) slot_ns = first_ns;
  last_retry_slot_ns = slot_ns;
  return slot_ns - now_ns;
}

}  // namespace ashbeam::calling
