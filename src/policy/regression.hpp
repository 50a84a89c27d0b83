// How much worse a release's canary does than the stable versions, and the bounds on evidence that the tests
// of it share.
#pragma once
#include <cstdint>

namespace ashbeam::policy {

enum class Regression : std::uint8_t { kNone, kModerate, kSevere };

// Evidence is a log-likelihood ratio (Wald, 1945). Moderate regressions ask for the first; severe ones for
// the second, and more where many routers judge for each abort vote that is needed, see EvidenceBounds.
inline constexpr double kLikely = 2;
inline constexpr double kSure = 3;

// With fewer outcomes than this nothing is said.
inline constexpr double kMinOutcomes = 20;

}  // namespace ashbeam::policy
