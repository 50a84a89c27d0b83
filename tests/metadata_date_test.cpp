// Tests of reading and writing the dates of metadata files.
#include <gtest/gtest.h>

#include "base/pcg.hpp"
#include "metadata/date.hpp"

namespace ashbeam::metadata {
namespace {

TEST(MetadataDates, ParsesWhatItFormatsAndRejectsInvalidDates) {
  Pcg random(3);
  for (int i = 0; i < 2000; ++i) {
    const Instant when =
        Instant::at_us(static_cast<std::int64_t>(random.next_below(4'000'000'000U)) * 1'000'000);
    ASSERT_EQ(parse_date(format_date(when)), when) << format_date(when);
  }
  EXPECT_EQ(format_date(Instant::at_us(951'782'400'000'000)), "2000-02-29T00:00:00Z");
  EXPECT_EQ(format_date(Instant::at_us(1'700'000'000'000'000)), "2023-11-14T22:13:20Z");
  for (const char* invalid :
       {"2027-02-29T00:00:00Z", "2027-13-01T00:00:00Z", "2027-01-01T24:00:00Z", "2027-01-01T00:00:00",
        "2027-1-01T00:00:00ZZ", "2027-01-00T00:00:00Z", "2027-01-01 00:00:00Z"})
    EXPECT_FALSE(parse_date(invalid)) << invalid;
}

}  // namespace
}  // namespace ashbeam::metadata
