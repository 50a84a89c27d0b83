// Formats the Retry-After header line of a rejection. The value is in seconds with three decimals, which the
// protocol allows in addition to the whole seconds of RFC 9110, section 10.2.3.
#pragma once
#include <cstdio>
#include <string>

#include "base/time.hpp"

namespace ashbeam {

inline std::string retry_after_line(Duration retry_after) {
  char line[48];
  std::snprintf(line, sizeof line, "Retry-After: %.3f\r\n", retry_after.s());
  return line;
}

}  // namespace ashbeam
