// Outcomes counted, how many of them failed, and how surely two such counts differ. Old ones may fade.
#pragma once
#include <cmath>

namespace ashbeam {

struct Count {
  double all = 0, failed = 0;
  // One more outcome; from `fade` outcomes on the older ones count half.
  void add(double fail, double fade) {
    if (all >= fade) all /= 2, failed /= 2;
    all += 1, failed += fail;
  }
  void fade(double to) { all *= to, failed *= to; }
  void merge(const Count& other) { all += other.all, failed += other.failed; }
  double rate() const { return all > 0 ? failed / all : 0; }
};

// The log-likelihood ratio of two rates of failure against one.
inline double surety(const Count& a, const Count& b) {
  Count both = a;
  both.merge(b);
  const auto fit = [](const Count& c, double p) {
    return (c.failed > 0 ? c.failed * std::log(p) : 0) +
           (c.all > c.failed ? (c.all - c.failed) * std::log(1 - p) : 0);
  };
  return fit(a, a.rate()) + fit(b, b.rate()) - fit(a, both.rate()) - fit(b, both.rate());
}

}  // namespace ashbeam
