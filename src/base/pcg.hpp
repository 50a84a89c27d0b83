// The pseudo-random number generator PCG-XSH-RR 64/32 (O'Neill, "PCG: A Family of Simple Fast Space-Efficient
// Statistically Good Algorithms for Random Number Generation", 2014). The same seed always gives the same
// sequence. Not for cryptography.
#pragma once
#include <cstdint>

namespace ashbeam {

class Pcg {
 public:
  explicit Pcg(std::uint64_t seed) : state_(seed + kIncrement) { next(); }
  // Returns a uniformly distributed 32-bit number.
  std::uint32_t next() {
    const std::uint64_t old_state = state_;
    state_ = old_state * 6364136223846793005ULL + kIncrement;
    const auto xorshifted = static_cast<std::uint32_t>(((old_state >> 18U) ^ old_state) >> 27U);
    const auto rotation = static_cast<std::uint32_t>(old_state >> 59U);
    return (xorshifted >> rotation) | (xorshifted << ((32U - rotation) & 31U));
  }
  // Returns a number from 0 to `bound` - 1; `bound` must be greater than 0.
  std::uint32_t next_below(std::uint32_t bound) {
    return static_cast<std::uint32_t>((static_cast<std::uint64_t>(next()) * bound) >> 32U);
  }
  // Returns a number from the interval [0, 1).
  double next_double() { return next() / 4294967296.0; }

 private:
  static constexpr std::uint64_t kIncrement = 1442695040888963407ULL;
  std::uint64_t state_;
};

}  // namespace ashbeam
