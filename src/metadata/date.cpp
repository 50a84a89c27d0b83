#include "metadata/date.hpp"

#include <cstdint>
#include <cstdio>

namespace ashbeam::metadata {

namespace {

constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
constexpr std::int64_t kSecondsPerDay = 86'400;
constexpr int kFirstYear = 1970;

constexpr bool is_leap(int year) { return (year % 4 == 0 && year % 100 != 0) || year % 400 == 0; }

constexpr int days_in_month(int year, int month) {
  constexpr int kDays[] = {31, 28, 31, 30, 31, 30, 31, 31, 30, 31, 30, 31};
  return month == 2 && is_leap(year) ? 29 : kDays[month - 1];
}

// Days from 1 January 1970 to 1 January of a year from 1970 on.
constexpr std::int64_t days_before_year(int year) {
  const std::int64_t previous = year - 1;
  const std::int64_t leap_days = previous / 4 - previous / 100 + previous / 400;
  constexpr std::int64_t kLeapDaysBefore1970 = 1969 / 4 - 1969 / 100 + 1969 / 400;
  return (previous - 1969) * 365 + leap_days - kLeapDaysBefore1970;
}

bool has_date_form(std::string_view text) {
  constexpr std::string_view kForm = "dddd-dd-ddTdd:dd:ddZ";  // d: a digit
  if (text.size() != kForm.size()) return false;
  for (std::size_t i = 0; i < kForm.size(); ++i) {
    const bool digit = text[i] >= '0' && text[i] <= '9';
    if (kForm[i] == 'd' ? !digit : text[i] != kForm[i]) return false;
  }
  return true;
}

int number_at(std::string_view text, std::size_t begin, std::size_t digits) {
  int number = 0;
  for (const char digit : text.substr(begin, digits)) number = number * 10 + (digit - '0');
  return number;
}

}  // namespace

std::optional<Instant> parse_date(std::string_view text) {
  if (!has_date_form(text)) return std::nullopt;
  const int year = number_at(text, 0, 4);
  const int month = number_at(text, 5, 2);
  const int day = number_at(text, 8, 2);
  const int hour = number_at(text, 11, 2);
  const int minute = number_at(text, 14, 2);
  const int second = number_at(text, 17, 2);
  if (year < kFirstYear || month < 1 || month > 12) return std::nullopt;
  if (day < 1 || day > days_in_month(year, month)) return std::nullopt;
  if (hour > 23 || minute > 59 || second > 59) return std::nullopt;
  std::int64_t days = days_before_year(year) + day - 1;
  for (int earlier = 1; earlier < month; ++earlier) days += days_in_month(year, earlier);
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
