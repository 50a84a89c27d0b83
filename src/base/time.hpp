// Durations and points in time as two separate types, so that the compiler rejects a mix-up. Both hold whole
// microseconds. Fractions of a microsecond are truncated, unless a function says otherwise.
#pragma once
#include <compare>
#include <cstdint>

namespace ashbeam {

class Duration {
 public:
  constexpr Duration() = default;
  // Each constructs a duration of `n` microseconds, milliseconds or seconds.
  static constexpr Duration us(std::int64_t n) { return Duration(n); }
  static constexpr Duration ms(double n) { return Duration(static_cast<std::int64_t>(n * 1e3)); }
  static constexpr Duration s(double n) { return Duration(static_cast<std::int64_t>(n * 1e6)); }
  // Each returns the duration in the unit of its name.
  constexpr std::int64_t us() const { return us_; }
  constexpr double ms() const { return static_cast<double>(us_) / 1e3; }
  constexpr double s() const { return static_cast<double>(us_) / 1e6; }
  // NOLINTNEXTLINE(modernize-use-nullptr): a false positive of clang-tidy 14 on defaulted comparisons
  constexpr auto operator<=>(const Duration&) const = default;
  friend constexpr Duration operator+(Duration a, Duration b) { return Duration(a.us_ + b.us_); }
  friend constexpr Duration operator-(Duration a, Duration b) { return Duration(a.us_ - b.us_); }
  friend constexpr Duration operator*(Duration a, double factor) {
    return Duration(static_cast<std::int64_t>(static_cast<double>(a.us_) * factor));
  }
  friend constexpr double operator/(Duration a, Duration b) {
    return static_cast<double>(a.us_) / static_cast<double>(b.us_);
  }

 private:
  constexpr explicit Duration(std::int64_t us) : us_(us) {}
  std::int64_t us_ = 0;
};

// A point in time, in microseconds since an epoch that the caller chooses: the Unix epoch where a clock is
// read.
class Instant {
 public:
  // Earlier than any time that a clock returns.
  constexpr Instant() = default;
  // Constructs the time `n` microseconds after the epoch.
  static constexpr Instant at_us(std::int64_t n) { return Instant(n); }
  // Constructs the time `n` milliseconds after the epoch, rounded to the nearest microsecond.
  static constexpr Instant at_ms(double n) {
    // NOLINTNEXTLINE(bugprone-incorrect-roundings): callers depend on exactly these values
    return Instant(static_cast<std::int64_t>(n * 1e3 + 0.5));
  }
  // Later than any time that a clock returns.
  static constexpr Instant never() { return Instant(INT64_MAX / 4); }
  // Returns the microseconds since the epoch.
  constexpr std::int64_t us() const { return us_; }
  // NOLINTNEXTLINE(modernize-use-nullptr): a false positive of clang-tidy 14 on defaulted comparisons
  constexpr auto operator<=>(const Instant&) const = default;
  friend constexpr Instant operator+(Instant a, Duration b) { return Instant(a.us_ + b.us()); }
  friend constexpr Instant operator-(Instant a, Duration b) { return Instant(a.us_ - b.us()); }
  friend constexpr Duration operator-(Instant a, Instant b) { return Duration::us(a.us_ - b.us_); }

 private:
  constexpr explicit Instant(std::int64_t us) : us_(us) {}
  std::int64_t us_ = -(INT64_MAX / 4);
};

}  // namespace ashbeam
