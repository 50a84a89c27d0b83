// A running mean: the arithmetic mean of the first values, and an exponentially weighted moving average once
// enough values have been added.
#pragma once
#include <algorithm>

namespace ashbeam {

struct DecayingMean {
  double count = 0;  // of the values added so far
  double mean = 0;

  // Adds a value with the weight 1 / `count`, but at least `min_weight` (0 to 1). Older values lose influence
  // exponentially once 1 / `min_weight` values have been added.
  void add(double value, double min_weight) {
    count += 1;
    mean += std::max(min_weight, 1 / count) * (value - mean);
  }
};

}  // namespace ashbeam
