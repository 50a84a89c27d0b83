// Dates of metadata files (TUF 1.0, section 4.2.1): "2030-01-01T00:00:00Z" and no other form.
#pragma once
#include <optional>
#include <string>
#include <string_view>

#include "base/time.hpp"

namespace ashbeam::metadata {

// Nothing where the form is another one, or there is no such day or time (from 1970 on).
std::optional<Instant> parse_date(std::string_view text);
// In whole seconds; what is below one is cut off.
std::string format_date(Instant when);

}  // namespace ashbeam::metadata
