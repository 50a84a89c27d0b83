// Compares the latencies of the canary with those of the stable versions.
//
// Job: keep the latest latencies of both, by machine type and request class, and test whether the canary's
// are longer than the stable ones of the same last seconds: a sign test, by how many lie above a factor times
// the stable median of like machines and class. The endpoint that is slowest against that is left out, since
// one slow endpoint must not convict a release. Units: milliseconds. No I/O. Errors: none.
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
  // What the canary is tested for.
  struct Test {
    double factor = 1;         // on the stable median
    double min_latencies = 0;  // of the canary
    double evidence = 0;       // log-likelihood ratio
  };

  LatencyComparison(unsigned machine_type_count, std::size_t class_count);

  void add(ReleaseRole role, unsigned machine_type, unsigned request_class, EndpointIndex endpoint,
           double latency_ms, Instant now);
  // A new version is under release; `former_released`: the one before it is stable now.
  void begin_release(bool former_released);

  // Are clearly more than half of the canary's latencies above the factor times the stable median?
  // `endpoint_count`: endpoints are numbered below it.
  bool canary_is_slower(const Test& test, std::size_t endpoint_count, Instant now);

 private:
  static constexpr std::size_t kLatenciesKept = 96;

  struct Latency {
    Instant at;
    float ms = 0;
    EndpointIndex endpoint = 0;
  };
  using Latencies = RingBuffer<Latency, kLatenciesKept>;

  // The median of the recent ones in milliseconds; none: there are too few.
  static std::optional<float> recent_median(const Latencies& latencies, Instant now);

  std::size_t class_count_;
  PerRole<std::vector<Latencies>> latencies_;  // by machine type and request class
  std::vector<OutcomeCount> by_endpoint_;      // scratch; failed: above the factor
};

}  // namespace ashbeam::policy
