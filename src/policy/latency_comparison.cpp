#include "policy/latency_comparison.hpp"

#include <algorithm>
#include <array>
#include <cmath>

#include "policy/regression.hpp"

namespace ashbeam::policy {

namespace {

// Latencies of this age or older are not compared.
constexpr Duration kMaxLatencyAge = Duration::s(10);
// Minimum number of recent stable latencies of a machine type and request class.
constexpr std::ptrdiff_t kMinStableLatencies = static_cast<std::ptrdiff_t>(kMinOutcomes / 2);

// Returns the number of slow latencies minus the number of the others.
double slow_minus_others(const OutcomeCount& count) { return 2 * count.failed - count.total; }

}  // namespace

LatencyComparison::LatencyComparison(unsigned machine_type_count, std::size_t class_count)
    : class_count_(class_count) {
  latencies_.stable.resize(machine_type_count * class_count);
  latencies_.canary.resize(machine_type_count * class_count);
}

void LatencyComparison::add(ReleaseRole role, unsigned machine_type, unsigned request_class,
                            EndpointIndex endpoint, double latency_ms, Instant now) {
  latencies_[role][machine_type * class_count_ + request_class].add(
      {now, static_cast<float>(latency_ms), endpoint});
}

void LatencyComparison::begin_release(bool previous_released) {
  if (previous_released) latencies_.stable = latencies_.canary;
  std::fill(latencies_.canary.begin(), latencies_.canary.end(), Latencies{});
}

bool LatencyComparison::canary_is_slower(const Criteria& criteria, std::size_t endpoint_count, Instant now) {
  counts_by_endpoint_.assign(endpoint_count, {});
  for (std::size_t group = 0; group < latencies_.stable.size(); ++group) {
    const std::optional<float> median_ms = recent_median(latencies_.stable[group], now);
    if (!median_ms) continue;
    for (const Latency& latency : latencies_.canary[group]) {
      if (now - latency.at >= kMaxLatencyAge) continue;
      const bool slow = latency.ms > static_cast<float>(criteria.slowdown_factor) * *median_ms;
      counts_by_endpoint_[latency.endpoint].merge({1, slow ? 1.0 : 0.0});
    }
  }
  OutcomeCount sum;
  OutcomeCount worst;
  for (const OutcomeCount& count : counts_by_endpoint_) {
    if (slow_minus_others(count) > slow_minus_others(worst)) worst = count;
    sum.merge(count);
  }
  if (worst.total < sum.total) sum.subtract(worst);
  // If n / 2 + d of n latencies are slow, the log-likelihood ratio is about 2 * d^2 / n.
  return sum.total >= criteria.min_latencies &&
         sum.failed > sum.total / 2 + std::sqrt(sum.total * criteria.min_evidence / 2);
}

std::optional<float> LatencyComparison::recent_median(const Latencies& latencies, Instant now) {
  std::array<float, kMaxLatencies> sorted;
  float* end = sorted.data();
  for (const Latency& latency : latencies) {
    if (now - latency.at < kMaxLatencyAge) *end++ = latency.ms;
  }
  if (end - sorted.data() < kMinStableLatencies) return std::nullopt;
  float* const middle = sorted.data() + (end - sorted.data()) / 2;
  std::nth_element(sorted.data(), middle, end);
  return *middle;
}

}  // namespace ashbeam::policy
