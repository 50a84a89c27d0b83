// The severity of a release's regression, and the thresholds that the statistical tests for it share.
#pragma once
#include <cstdint>

namespace ashbeam::policy {

// How much worse a release's canary performs than the stable versions.
enum class Regression : std::uint8_t { kNone, kModerate, kSevere };

// Evidence is measured as a log-likelihood ratio (Wald, 1945). A moderate regression needs the moderate
// threshold, a severe one at least the strong threshold. For failures and wrong answers the threshold of a
// severe regression rises with the number of routers per needed abort vote, see severe_evidence_threshold()
// in regression_detector.cpp.
inline constexpr double kModerateEvidenceThreshold = 2;
inline constexpr double kStrongEvidenceThreshold = 3;

// Minimum number of outcomes, samples or latencies of the canary for a test to report a regression. A count
// of a single request class may need only half as many.
inline constexpr double kMinOutcomes = 20;

}  // namespace ashbeam::policy
