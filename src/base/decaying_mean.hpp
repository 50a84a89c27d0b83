// A running mean: exact over the first values, exponentially weighted after them.
#pragma once
#include <algorithm>

namespace ashbeam {

struct DecayingMean {
  double count = 0;
  double mean = 0;

  // Adds a value, which weighs at least `min_weight`: older values fade once 1 / `min_weight` are counted.
  void add(double value, double min_weight) {
    count += 1;
    mean += std::max(min_weight, 1 / count) * (value - mean);
  }
};

}  // namespace ashbeam
