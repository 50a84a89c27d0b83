// Ejects endpoints that fail much more often than the other endpoints of their release role.
//
// Each endpoint is under a sequential probability ratio test (Wald, 1945) of two hypotheses: it is an
// outlier, which fails much more often than its peers, or it is healthy. An ejected endpoint receives no
// attempts for its ejection time, which doubles with each ejection. After that it receives one attempt at a
// time, which shows whether it has recovered. The only endpoint of a canary is not ejected, because its
// failures are evidence against the release. Performs no I/O and reports no errors.
#pragma once
#include <cstddef>

#include "base/outcome_count.hpp"
#include "base/pcg.hpp"
#include "policy/endpoint.hpp"
#include "policy/policy_log.hpp"

namespace ashbeam::policy {

// The endpoints of the same release role, with which an endpoint is compared.
struct OutlierPeers {
  double failure_rate = 0;      // Of the endpoints that are not ejected.
  bool is_only_canary = false;  // The endpoint runs a canary, and no other endpoint does.
};

class OutlierDetector {
 public:
  // `log` and `random` must outlive this object. Ejection times are jittered by `random`.
  OutlierDetector(const PolicyLog& log, Pcg& random) : log_(log), random_(random) {}

  // Adds the outcome of an attempt; `failure` is 0 (success) to 1 (failure). Ejects the endpoint if the test
  // decides that it is an outlier.
  void add_outcome(EndpointIndex index, Endpoint& endpoint, double failure, const OutlierPeers& peers,
                   Instant now) const;
  // Ends the ejection of an endpoint if its ejection time has passed and its attempts since then have
  // succeeded.
  void readmit_if_recovered(EndpointIndex index, Endpoint& endpoint, Instant now) const;

  // Returns whether the endpoint may receive an attempt. If `all_zones_mostly_ejected`, ejections are
  // ignored, because the endpoints cannot be the cause; see is_mostly_ejected().
  static bool may_receive_attempts(const Endpoint& endpoint, bool all_zones_mostly_ejected, Instant now) {
    const OutlierState& outlier = endpoint.outlier;
    if (!outlier.ejected || all_zones_mostly_ejected) return true;
    return now >= outlier.ejected_until && endpoint.attempts_in_flight == 0;
  }
  // Returns whether so many of a zone's ready endpoints are ejected that the endpoints cannot be the cause.
  // Also true of a zone without ready endpoints.
  static bool is_mostly_ejected(double ready, double ejected) {
    return ejected > kMaxEjectedFraction * ready || ready == 0;
  }

 private:
  static constexpr double kMaxEjectedFraction = 0.4;

  const PolicyLog& log_;
  Pcg& random_;
};

}  // namespace ashbeam::policy
