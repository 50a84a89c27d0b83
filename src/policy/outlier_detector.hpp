// Ejects endpoints that fail much more often than others of their side of a release.
//
// Job: a sequential probability ratio test (Wald, 1945) for each endpoint: is it an outlier, which fails much
// more often than its peers, or a good endpoint? An ejected endpoint gets nothing for its ejection time,
// which doubles with each ejection, then single attempts that show whether it has recovered. A canary's only
// endpoint is not ejected: there its release is judged. Units: instants and spans. No I/O; random numbers are
// an argument. Errors: none.
#pragma once
#include <cstddef>

#include "base/outcome_count.hpp"
#include "base/pcg.hpp"
#include "policy/endpoint.hpp"
#include "policy/policy_log.hpp"

namespace ashbeam::policy {

// The endpoints on the same side of the release.
struct OutlierPeers {
  double failure_rate = 0;      // of those not ejected
  bool is_only_canary = false;  // the endpoint is a canary's, and there is no other
};

class OutlierDetector {
 public:
  OutlierDetector(const PolicyLog& log, Pcg& random) : log_(log), random_(random) {}

  // Takes in an outcome of an attempt: `failure` is 0 (good) to 1 (failed).
  void add_outcome(EndpointIndex index, Endpoint& endpoint, double failure, const OutlierPeers& peers,
                   Instant now) const;
  // Lets an ejected endpoint back in if its ejection time is over and its outcomes since then were good.
  void readmit_if_recovered(EndpointIndex index, Endpoint& endpoint, Instant now) const;

  // May it get attempts? `all_zones_mostly_ejected`: so many are that the cause is not theirs, see
  // is_mostly_ejected().
  static bool may_receive_attempts(const Endpoint& endpoint, bool all_zones_mostly_ejected, Instant now) {
    const OutlierState& outlier = endpoint.outlier;
    if (!outlier.ejected || all_zones_mostly_ejected) return true;
    return now >= outlier.ejected_until && endpoint.attempts_in_flight == 0;
  }
  // Are so many of a zone's ready endpoints ejected that the cause is not theirs?
  static bool is_mostly_ejected(double ready, double ejected) {
    return ejected > kMaxEjectedFraction * ready || ready == 0;
  }

 private:
  static constexpr double kMaxEjectedFraction = 0.4;

  const PolicyLog& log_;
  Pcg& random_;
};

}  // namespace ashbeam::policy
