// Points in time and spans of time: two types that cannot be mixed up. Both count whole microseconds, and
// fractions of them are cut off, but where a function says otherwise.
#pragma once
#include <compare>
#include <cstdint>

namespace ashbeam {

class Duration {
 public:
  constexpr Duration() = default;
  static constexpr Duration us(std::int64_t n) { return Duration(n); }
  static constexpr Duration ms(double n) { return Duration(static_cast<std::int64_t>(n * 1e3)); }
  static constexpr Duration s(double n) { return Duration(static_cast<std::int64_t>(n * 1e6)); }
  constexpr std::int64_t us() const { return us_; }
  constexpr double ms() const { return static_cast<double>(us_) / 1e3; }
  constexpr double s() const { return static_cast<double>(us_) / 1e6; }
  // NOLINTNEXTLINE(modernize-use-nullptr): a false positive of clang-tidy 14 on defaulted comparisons
  constexpr auto operator<=>(const Duration&) const = default;
  friend constexpr Duration operator+(Duration a, Duration b) { return Duration(a.us_ + b.us_); }
  friend constexpr Duration operator-(Duration a, Duration b) { return Duration(a.us_ - b.us_); }
  friend constexpr Duration operator*(Duration a, double k) {
    return Duration(static_cast<std::int64_t>(static_cast<double>(a.us_) * k));
  }
  friend constexpr double operator/(Duration a, Duration b) {
    return static_cast<double>(a.us_) / static_cast<double>(b.us_);
  }

 private:
  constexpr explicit Duration(std::int64_t us) : us_(us) {}
  std::int64_t us_ = 0;
};

class Instant {
 public:
  constexpr Instant() = default;  // the far past: older than any clock reading
  static constexpr Instant at_us(std::int64_t n) { return Instant(n); }
  // Rounded to the nearest microsecond.
  static constexpr Instant at_ms(double n) {
    // NOLINTNEXTLINE(bugprone-incorrect-roundings): the values that are handed over must not change
    return Instant(static_cast<std::int64_t>(n * 1e3 + 0.5));
  }
  // Later than any clock reading.
  static constexpr Instant never() { return Instant(INT64_MAX / 4); }
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
