// Outcomes counted, how many of them failed, and how surely two such counts differ. Counts are fractional:
// older outcomes may fade, and a failure may count in part.
#pragma once
#include <cmath>

namespace ashbeam {

struct OutcomeCount {
  double total = 0;
  double failed = 0;

  // Adds one outcome; `failure` is 0 (good) to 1 (failed). Once `half_life` outcomes are counted, those
  // before count half.
  void add(double failure, double half_life) {
    if (total >= half_life) scale(0.5);
    total += 1;
    failed += failure;
  }
  void scale(double factor) {
    total *= factor;
    failed *= factor;
  }
  void merge(const OutcomeCount& other) {
    total += other.total;
    failed += other.failed;
  }
  void subtract(const OutcomeCount& other) {
    total -= other.total;
    failed -= other.failed;
  }
  // 0 where nothing is counted.
  double failure_rate() const { return total > 0 ? failed / total : 0; }
};

// Log-likelihood ratio of two failure rates against a common one: 0 where they are the same, and larger the
// surer it is that they differ.
inline double log_likelihood_ratio(const OutcomeCount& a, const OutcomeCount& b) {
  OutcomeCount both = a;
  both.merge(b);
  const auto log_likelihood = [](const OutcomeCount& count, double rate) {
    return (count.failed > 0 ? count.failed * std::log(rate) : 0) +
           (count.total > count.failed ? (count.total - count.failed) * std::log(1 - rate) : 0);
  };
  return log_likelihood(a, a.failure_rate()) + log_likelihood(b, b.failure_rate()) -
         log_likelihood(a, both.failure_rate()) - log_likelihood(b, both.failure_rate());
}

}  // namespace ashbeam
