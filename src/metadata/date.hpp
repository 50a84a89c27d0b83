// Reads and writes the dates of metadata files (TUF 1.0, section 4.2.1). The only accepted format is
// "2030-01-01T00:00:00Z".
#pragma once
#include <optional>
#include <string>
#include <string_view>

#include "base/time.hpp"

namespace ashbeam::metadata {

// Returns nothing if the text has another format, or names a day or time that does not exist or lies before
// 1970.
std::optional<Instant> parse_date(std::string_view text);

// Formats an instant from 1970 on. Fractions of a second are cut off.
std::string format_date(Instant when);

}  // namespace ashbeam::metadata
