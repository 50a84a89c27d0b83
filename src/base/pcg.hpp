// PCG-XSH-RR 64/32, a permuted congruential generator (O'Neill, 2014).
#pragma once
#include <cstdint>

namespace ashbeam {

class Pcg {
 public:
  explicit Pcg(std::uint64_t seed) : state_(seed + kStep) { next(); }
  std::uint32_t next() {
    const std::uint64_t old = state_;
    state_ = old * 6364136223846793005ULL + kStep;
    const auto word = static_cast<std::uint32_t>(((old >> 18U) ^ old) >> 27U);
    const auto turn = static_cast<std::uint32_t>(old >> 59U);
    return (word >> turn) | (word << ((32U - turn) & 31U));
  }
  std::uint32_t next_below(std::uint32_t n) {  // 0 .. n-1; n > 0
    return static_cast<std::uint32_t>((static_cast<std::uint64_t>(next()) * n) >> 32U);
  }
  double next_double() { return next() / 4294967296.0; }

 private:
  static constexpr std::uint64_t kStep = 1442695040888963407ULL;
  std::uint64_t state_;
};

}  // namespace ashbeam
