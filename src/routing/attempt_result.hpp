// Text forms of attempt results, for log lines.
#pragma once
#include "policy/types.hpp"

namespace ashbeam {

// Returns a short lower-case phrase such as "connect failed".
const char* name_of(AttemptResult result);

}  // namespace ashbeam
