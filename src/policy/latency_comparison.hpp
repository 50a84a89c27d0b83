// Compares the latencies of a release's canary with those of the stable versions.
//
// The most recent latencies of both are kept by machine type and request class. A sign test decides whether
// the canary is slower: it counts how many canary latencies exceed a factor times the stable median of the
// same period, machine type and request class. The slowest canary endpoint by this count is excluded, because
// one slow endpoint must not cause a regression of its release.
#pragma once
#include <cstddef>
#include <optional>
#include <vector>

#include "base/outcome_count.hpp"
#include "base/ring_buffer.hpp"
#include "base/time.hpp"
#include "policy/release_role.hpp"
#include "policy/types.hpp"

namespace ashbeam::policy {

class LatencyComparison {
 public:
  // The conditions under which the canary counts as slower.
  struct Criteria {
    double slowdown_factor = 1;  // A canary latency above this factor times the stable median is slow.
    double min_latencies = 0;    // Minimum number of canary latencies.
    double min_evidence = 0;     // Minimum log-likelihood ratio.
  };

  LatencyComparison(unsigned machine_type_count, std::size_t class_count);

  // Adds the latency of an attempt to a warm endpoint.
  void add(ReleaseRole role, unsigned machine_type, unsigned request_class, EndpointIndex endpoint,
           double latency_ms, Instant now);
  // Called when the platform announces another version. `previous_released` says whether the version before
  // it was released: its latencies then become those of the stable versions.
  void begin_release(bool previous_released);

  // Returns whether clearly more than half of the canary's recent latencies are slow by the criteria.
  // `endpoint_count` is greater than every endpoint index that was added.
  bool canary_is_slower(const Criteria& criteria, std::size_t endpoint_count, Instant now);

 private:
  // Number of latencies kept for each role, machine type and request class.
  static constexpr std::size_t kMaxLatencies = 96;

  struct Latency {
    Instant at;
    float ms = 0;
    EndpointIndex endpoint = 0;
  };
  using Latencies = RingBuffer<Latency, kMaxLatencies>;

  // Returns the median of the recent latencies in milliseconds, or nothing if there are too few of them.
  static std::optional<float> recent_median(const Latencies& latencies, Instant now);

  std::size_t class_count_;
  PerRole<std::vector<Latencies>> latencies_;  // By machine type and request class.
  // Canary latencies by endpoint; `failed` counts the slow ones. Used within canary_is_slower() only; a
  // member so that its memory is reused.
  std::vector<OutcomeCount> counts_by_endpoint_;
};

}  // namespace ashbeam::policy
