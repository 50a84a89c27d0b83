#include "calling/quota.hpp"

#include <algorithm>
#include <cmath>

namespace ashbeam::calling {

Rate Rate::part(const Limit& limit, double routers, double lend, Span bank) {
  Rate r;
  const double parts = std::max(1.0, routers);
  if (limit.per_s > 0) {
    const double step = std::min(1e9 * parts / limit.per_s, 9e17);
    const double burst = std::max(1.0, limit.burst / parts);  // a hit comes whole
    r.step = std::max<std::int64_t>(1, std::llround(step));
    r.peak_step = std::max<std::int64_t>(1, std::llround(step / std::max(1.0, lend)));
    r.tolerance = std::llround(std::min(9e17, (burst - 1) * step));
    r.peak_tolerance = std::llround(std::min(9e17, (burst - 1) * step / std::max(1.0, lend)));
    r.bank = bank.us() * 1000;
  }
  if (limit.in_hand > 0) {
    r.in_hand = std::max<std::uint32_t>(
        1, static_cast<std::uint32_t>(std::ceil(static_cast<double>(limit.in_hand) / parts)));
  }
  return r;
}

void Bucket::start(std::int64_t now, std::int64_t floor, std::int64_t peak_floor) {
  due = std::max(now, floor);
  peak_due = std::max(now, peak_floor);
  promised = INT64_MIN;
}

std::int64_t Bucket::wait(const Rate& rate, std::int64_t now) const {
  if (rate.step == 0) return 0;
  const std::int64_t sustained = std::max(due, now - rate.bank) - now - rate.tolerance;
  const std::int64_t peak = std::max(peak_due, now) - now - rate.peak_tolerance;
  return std::max<std::int64_t>(0, std::max(sustained, peak));
}

void Bucket::take(const Rate& rate, std::int64_t now) {
  if (rate.step == 0) return;
  due = std::max(due, now - rate.bank) + rate.step;
  peak_due = std::max(peak_due, now) + rate.peak_step;
}

std::int64_t Bucket::promise(const Rate& rate, std::int64_t now) {
  const std::int64_t first = now + wait(rate, now);
  std::int64_t slot = first;
  if (promised != INT64_MIN) slot = std::max(first, promised + rate.step);
  if (slot > first + std::max(rate.bank, rate.step)) slot = first;
  promised = slot;
  return slot - now;
}

Subjects::Subjects(std::size_t subjects)
    : sets_(std::max<std::size_t>(1, subjects * 5 / 4 / kWays)), floors_(sets_.size()) {}

std::uint32_t Subjects::find(std::uint64_t hash) const {
  const std::size_t at = set_of(hash);
  const auto tag = static_cast<std::uint32_t>(hash) | 1U;
  for (std::uint32_t w = 0; w < kWays; ++w) {
    if (sets_[at].tags[w] == tag) return static_cast<std::uint32_t>(at) * kWays + w;
  }
  return kNone;
}

std::uint32_t Subjects::find_or_make(std::uint64_t hash, Instant now) {
  const std::size_t at = set_of(hash);
  Set& set = sets_[at];
  const auto tag = static_cast<std::uint32_t>(hash) | 1U;
  const auto place = [&](std::uint32_t way) { return static_cast<std::uint32_t>(at) * kWays + way; };
  std::uint32_t free = kNone;
  for (std::uint32_t w = 0; w < kWays; ++w) {
    if (set.tags[w] == tag) return place(w);
    if (set.tags[w] == 0 && free == kNone) free = w;
  }
  if (free == kNone) {
    for (std::uint32_t w = 0; w < kWays; ++w) {
      if (set.in_hand[w] == 0 && (free == kNone || set.buckets[w].due < set.buckets[free].due)) free = w;
    }
    if (free == kNone) return kNone;
    ++evicted_;
    floors_[at].due = std::max(floors_[at].due, set.buckets[free].due);
    floors_[at].peak_due = std::max(floors_[at].peak_due, set.buckets[free].peak_due);
  }
  set.tags[free] = tag;
  set.in_hand[free] = 0;
  const std::int64_t ns = now.us() * 1000;
  // Floors are read only where the set has ever been full: elsewhere they say the far past.
  set.buckets[free].start(ns, floors_[at].due, floors_[at].peak_due);
  return place(free);
}

}  // namespace ashbeam::calling
