#include "metadata/date.hpp"

#include <cstdint>
#include <cstdio>

namespace ashbeam::metadata {

namespace {

constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
constexpr std::int64_t kSecondsPerDay = 86'400;
constexpr int kFirstYear = 1970;

constexpr bool is_leap_year(int year) { return (year % 4 == 0 && year % 100 != 0) || year % 400 == 0; }

constexpr int days_in_month(int year, int month) {
  constexpr int kDays[] = {31, 28, 31, 30, 31, 30, 31, 31, 30, 31, 30, 31};
  return month == 2 && is_leap_year(year) ? 29 : kDays[month - 1];
}

// Returns the days from 1 January 1970 to 1 January of `year`, which must not be before 1970.
constexpr std::int64_t days_before_year(int year) {
  const std::int64_t previous = year - 1;
  const std::int64_t leap_days = previous / 4 - previous / 100 + previous / 400;
  constexpr std::int64_t kLeapDaysBefore1970 = 1969 / 4 - 1969 / 100 + 1969 / 400;
  return (previous - 1969) * 365 + leap_days - kLeapDaysBefore1970;
}

bool has_date_format(std::string_view text) {
  constexpr std::string_view kFormat = "dddd-dd-ddTdd:dd:ddZ";  // 'd' stands for a digit
  if (text.size() != kFormat.size()) return false;
  for (std::size_t i = 0; i < kFormat.size(); ++i) {
    const bool is_digit = text[i] >= '0' && text[i] <= '9';
    if (kFormat[i] == 'd' ? !is_digit : text[i] != kFormat[i]) return false;
  }
  return true;
}

int read_digits(std::string_view text, std::size_t begin, std::size_t count) {
  int number = 0;
  for (const char digit : text.substr(begin, count)) number = number * 10 + (digit - '0');
  return number;
}

}  // namespace

std::optional<Instant> parse_date(std::string_view text) {
  if (!has_date_format(text)) return std::nullopt;
  const int year = read_digits(text, 0, 4);
  const int month = read_digits(text, 5, 2);
  const int day = read_digits(text, 8, 2);
  const int hour = read_digits(text, 11, 2);
  const int minute = read_digits(text, 14, 2);
  const int second = read_digits(text, 17, 2);
  if (year < kFirstYear || month < 1 || month > 12) return std::nullopt;
  if (day < 1 || day > days_in_month(year, month)) return std::nullopt;
  if (hour > 23 || minute > 59 || second > 59) return std::nullopt;
  std::int64_t days = days_before_year(year) + day - 1;
  for (int previous = 1; previous < month; ++previous) days += days_in_month(year, previous);
  return Instant::at_us((((days * 24 + hour) * 60 + minute) * 60 + second) * kMicrosecondsPerSecond);
}

std::string format_date(Instant when) {
  const std::int64_t seconds = when.us() / kMicrosecondsPerSecond;
  const std::int64_t days = seconds / kSecondsPerDay;
  int year = static_cast<int>(kFirstYear + days / 366);
  while (days_before_year(year + 1) <= days) ++year;
  int month = 1;
  int day = static_cast<int>(days - days_before_year(year));
  while (day >= days_in_month(year, month)) {
    day -= days_in_month(year, month);
    ++month;
  }
  char text[64];
  std::snprintf(text, sizeof text, "%04d-%02d-%02dT%02d:%02d:%02dZ", year, month, day + 1,
                static_cast<int>(seconds / 3600 % 24), static_cast<int>(seconds / 60 % 60),
                static_cast<int>(seconds % 60));
  return text;
}

}  // namespace ashbeam::metadata
