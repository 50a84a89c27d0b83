#include "policy/outlier_detector.hpp"

#include <algorithm>
#include <cmath>

namespace ashbeam::policy {

namespace {

// The hypotheses of the test: a good endpoint fails as often as its peers, within these bounds; an outlier
// fails this much more often.
constexpr double kMinGoodFailureRate = 0.02;
constexpr double kMaxGoodFailureRate = 0.5;
constexpr double kOutlierExcessRate = 0.4;

// Bounds of the log-likelihood ratio: at the upper one the endpoint is ejected.
constexpr double kEjectionScore = 5;
constexpr double kMinScore = -2;
constexpr double kScoreAfterEjection = kEjectionScore - 2.5;  // one more failure ejects it again

constexpr Duration kMaxEjectionTime = Duration::s(8);
// The ejection time is jittered between these factors.
constexpr double kMinEjectionFactor = 0.8;
constexpr double kEjectionFactorRange = 0.4;

}  // namespace

void OutlierDetector::add_outcome(EndpointIndex index, Endpoint& endpoint, double failure,
                                  const OutlierPeers& peers, Instant now) const {
  OutlierState& outlier = endpoint.outlier;
  const double good = std::clamp(peers.failure_rate, kMinGoodFailureRate, kMaxGoodFailureRate);
  const double bad = good + kOutlierExcessRate;
  outlier.score += failure > 0 ? failure * std::log(bad / good) : std::log((1 - bad) / (1 - good));
  outlier.score = std::clamp(outlier.score, kMinScore, kEjectionScore + 1);
  if (outlier.score < kEjectionScore || peers.is_only_canary) return;
  outlier.score = kScoreAfterEjection;
  outlier.ejected = true;
  outlier.ejected_until =
      now + outlier.ejection_time * (kMinEjectionFactor + kEjectionFactorRange * random_.next_double());
  outlier.ejection_time = std::min(outlier.ejection_time * 2, kMaxEjectionTime);
  log_.write("endpoint %u ejected for %.1f s: release %u, failure rate of its peers %.3f", index,
             (outlier.ejected_until - now).s(), endpoint.version, peers.failure_rate);
}

void OutlierDetector::readmit_if_recovered(EndpointIndex index, Endpoint& endpoint, Instant now) const {
  OutlierState& outlier = endpoint.outlier;
  if (now < outlier.ejected_until || outlier.score > 0) return;
  outlier.ejected = false;
  outlier.ejection_time = OutlierState::kFirstEjectionTime;
  log_.write("endpoint %u readmitted", index);
}

}  // namespace ashbeam::policy
