// Points in time and spans of time: two types that cannot be mixed up. Both count whole microseconds, and
// fractions of them are cut off, but where a function says otherwise.
#pragma once
#include <compare>
#include <cstdint>

namespace ashbeam {

class Span {
 public:
  constexpr Span() = default;
  static constexpr Span us(std::int64_t n) { return Span(n); }
  static constexpr Span ms(double n) { return Span(static_cast<std::int64_t>(n * 1e3)); }
  static constexpr Span s(double n) { return Span(static_cast<std::int64_t>(n * 1e6)); }
  constexpr std::int64_t us() const { return us_; }
  constexpr double ms() const { return static_cast<double>(us_) / 1e3; }
  constexpr double s() const { return static_cast<double>(us_) / 1e6; }
  // NOLINTNEXTLINE(modernize-use-nullptr): a false positive of clang-tidy 14 on defaulted comparisons
  constexpr auto operator<=>(const Span&) const = default;
  friend constexpr Span operator+(Span a, Span b) { return Span(a.us_ + b.us_); }
  friend constexpr Span operator-(Span a, Span b) { return Span(a.us_ - b.us_); }
  friend constexpr Span operator*(Span a, double k) {
    return Span(static_cast<std::int64_t>(static_cast<double>(a.us_) * k));
  }
  friend constexpr double operator/(Span a, Span b) {
    return static_cast<double>(a.us_) / static_cast<double>(b.us_);
  }

 private:
  constexpr explicit Span(std::int64_t us) : us_(us) {}
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
  friend constexpr Instant operator+(Instant a, Span b) { return Instant(a.us_ + b.us()); }
  friend constexpr Instant operator-(Instant a, Span b) { return Instant(a.us_ - b.us()); }
  friend constexpr Span operator-(Instant a, Instant b) { return Span::us(a.us_ - b.us_); }

 private:
  constexpr explicit Instant(std::int64_t us) : us_(us) {}
  std::int64_t us_ = -(INT64_MAX / 4);
};

}  // namespace ashbeam
