// Attempt results as text for the log.
#pragma once
#include "policy/types.hpp"

namespace ashbeam {

const char* name_of(AttemptResult result);

}  // namespace ashbeam
