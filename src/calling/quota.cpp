#include "calling/quota.hpp"

#include <algorithm>
#include <cmath>

namespace ashbeam::calling {

namespace {

constexpr double kNanosecondsPerSecond = 1e9;
constexpr double kLongestNs = 9e17;  // fits std::int64_t beside a Unix time

std::int64_t at_least_1_ns(double ns) { return std::max<std::int64_t>(1, std::llround(ns)); }
std::int64_t bounded_ns(double ns) { return std::llround(std::min(kLongestNs, ns)); }

}  // namespace

Rate Rate::per_router(const Limit& limit, double routers, double peak_factor, Duration bank) {
  Rate rate;
  const double parts = std::max(1.0, routers);
  const double speed_up = std::max(1.0, peak_factor);
  if (limit.requests_per_s > 0) {
    const double interval_ns = std::min(kNanosecondsPerSecond * parts / limit.requests_per_s, kLongestNs);
    const double burst = std::max(1.0, limit.burst_requests / parts);  // at least one whole request
    rate.interval_ns = at_least_1_ns(interval_ns);
    rate.peak_interval_ns = at_least_1_ns(interval_ns / speed_up);
    rate.tolerance_ns = bounded_ns((burst - 1) * interval_ns);
    rate.peak_tolerance_ns = bounded_ns((burst - 1) * interval_ns / speed_up);
    rate.bank_ns = bank.us() * 1000;
  }
  if (limit.in_flight > 0) {
    const double part = std::ceil(static_cast<double>(limit.in_flight) / parts);
    rate.max_in_flight = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(part));
  }
  return rate;
}

void Bucket::start(std::int64_t now_ns, std::int64_t sustained_floor_ns, std::int64_t peak_floor_ns) {
  sustained_due_ns = std::max(now_ns, sustained_floor_ns);
  peak_due_ns = std::max(now_ns, peak_floor_ns);
  promised_ns = kNever;
}

std::int64_t Bucket::wait_ns(const Rate& rate, std::int64_t now_ns) const {
  if (rate.interval_ns == 0) return 0;
  const std::int64_t sustained =
      std::max(sustained_due_ns, now_ns - rate.bank_ns) - now_ns - rate.tolerance_ns;
  const std::int64_t peak = std::max(peak_due_ns, now_ns) - now_ns - rate.peak_tolerance_ns;
  return std::max<std::int64_t>(0, std::max(sustained, peak));
}

void Bucket::take(const Rate& rate, std::int64_t now_ns) {
  if (rate.interval_ns == 0) return;
  sustained_due_ns = std::max(sustained_due_ns, now_ns - rate.bank_ns) + rate.interval_ns;
  peak_due_ns = std::max(peak_due_ns, now_ns) + rate.peak_interval_ns;
}

std::int64_t Bucket::promise_ns(const Rate& rate, std::int64_t now_ns) {
  const std::int64_t first_ns = now_ns + wait_ns(rate, now_ns);
  std::int64_t slot_ns = first_ns;
  if (promised_ns != kNever) slot_ns = std::max(first_ns, promised_ns + rate.interval_ns);
  if (slot_ns > first_ns + std::max(rate.bank_ns, rate.interval_ns)) slot_ns = first_ns;
  promised_ns = slot_ns;
  return slot_ns - now_ns;
}

}  // namespace ashbeam::calling
