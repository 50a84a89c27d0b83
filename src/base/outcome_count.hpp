// Counts outcomes and how many of them failed, and tests whether the failure rates of two such counts differ.
// The counts are fractional, because older outcomes may be given less weight and an outcome may be a partial
// failure.
#pragma once
#include <cmath>

namespace ashbeam {

struct OutcomeCount {
  double total = 0;
  double failed = 0;

  // Adds one outcome; `failure` is from 0 (success) to 1 (failure). Whenever `total` has reached `half_life`,
  // the weight of all earlier outcomes is halved first.
  void add(double failure, double half_life) {
    if (total >= half_life) scale(0.5);
    total += 1;
    failed += failure;
  }
  // Multiplies the weight of all outcomes so far by `factor`.
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
  // Returns the failed fraction, or 0 if nothing has been counted.
  double failure_rate() const { return total > 0 ? failed / total : 0; }
};

// Returns the log-likelihood ratio of two separate failure rates against one common rate. It is 0 if the
// rates are equal; the larger it is, the stronger is the evidence that they differ.
inline double log_likelihood_ratio(const OutcomeCount& a, const OutcomeCount& b) {
  OutcomeCount pooled = a;
  pooled.merge(b);
  const auto log_likelihood = [](const OutcomeCount& count, double rate) {
    return (count.failed > 0 ? count.failed * std::log(rate) : 0) +
           (count.total > count.failed ? (count.total - count.failed) * std::log(1 - rate) : 0);
  };
  return log_likelihood(a, a.failure_rate()) + log_likelihood(b, b.failure_rate()) -
         log_likelihood(a, pooled.failure_rate()) - log_likelihood(b, pooled.failure_rate());
}

}  // namespace ashbeam
