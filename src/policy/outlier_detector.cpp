#include "policy/outlier_detector.hpp"

#include <algorithm>
#include <cmath>

namespace ashbeam::policy {

namespace {

// The hypotheses of the test. A healthy endpoint has the failure rate of its peers, clamped to these bounds.
// The failure rate of an outlier is higher by the excess rate.
constexpr double kMinHealthyFailureRate = 0.02;
constexpr double kMaxHealthyFailureRate = 0.5;
constexpr double kOutlierExcessRate = 0.4;

// The score is a log-likelihood ratio with these bounds. The endpoint is ejected at the upper one.
constexpr double kEjectionScore = 5;
constexpr double kMinScore = -2;
constexpr double kScoreAfterEjection = kEjectionScore - 2.5;  // One more failure ejects it again.

constexpr Duration kMaxEjectionTime = Duration::s(8);
// The ejection time is multiplied by a random factor between this minimum and 0.4 above it.
constexpr double kMinEjectionFactor = 0.8;
constexpr double kEjectionFactorRange = 0.4;

}  // namespace

void OutlierDetector::add_outcome(EndpointIndex index, Endpoint& endpoint, double failure,
                                  const OutlierPeers& peers, Instant now) const {
  OutlierState& outlier = endpoint.outlier;
  const double healthy_rate = std::clamp(peers.failure_rate, kMinHealthyFailureRate, kMaxHealthyFailureRate);
  const double outlier_rate = healthy_rate + kOutlierExcessRate;
  outlier.score += failure > 0 ? failure * std::log(outlier_rate / healthy_rate)
                               : std::log((1 - outlier_rate) / (1 - healthy_rate));
  outlier.score = std::clamp(outlier.score, kMinScore, kEjectionScore + 1);
  if (outlier.score < kEjectionScore || peers.is_only_canary) return;
  outlier.score = kScoreAfterEjection;
  outlier.ejected = true;
  outlier.ejected_until =
      now + outlier.ejection_time * (kMinEjectionFactor + kEjectionFactorRange * random_.next_double());
  outlier.ejection_time = std::min(outlier.ejection_time * 2, kMaxEjectionTime);
  log_.write("endpoint %u ejected for %.1f s: runs release %u, failure rate of its peers is %.3f", index,
             (outlier.ejected_until - now).s(), endpoint.version, peers.failure_rate);
}

void OutlierDetector::readmit_if_recovered(EndpointIndex index, Endpoint& endpoint, Instant now) const {
  OutlierState& outlier = endpoint.outlier;
  if (now < outlier.ejected_until || outlier.score > 0) return;
  outlier.ejected = false;
  outlier.ejection_time = OutlierState::kFirstEjectionTime;
  log_.write("endpoint %u readmitted: ejection time has passed and its attempts succeed", index);
}

}  // namespace ashbeam::policy
