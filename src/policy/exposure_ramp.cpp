#include "policy/exposure_ramp.hpp"

#include <algorithm>

namespace ashbeam::policy {

namespace {

constexpr double kWeightStep = 0.2;
// Time without a regression before the weight is raised by a full step.
constexpr Duration kMinQuietTime = Duration::s(1);

}  // namespace

void ExposureRamp::begin_release(Instant now) {
  weight_ = kInitialWeight;
  stopped_ = false;
  stepped_back_ = false;
  quiet_since_ = now;
  full_since_ = now;
  regression_since_ = Instant();
}

void ExposureRamp::on_evaluation(Regression regression, Instant now) {
  if (regression == Regression::kModerate) {
    if (regression_since_ == Instant()) regression_since_ = now;
    last_regression_at_ = now;
  } else if (now - last_regression_at_ >= kMinQuietTime * wait_factor_) {
    regression_since_ = Instant();
  }
}

RampStep ExposureRamp::advance(Regression regression, bool canary_ready, Instant now) {
  if (regression == Regression::kModerate) return step_back(now);
  stepped_back_ = false;
  if (!canary_ready) quiet_since_ = now;
  RampStep step = RampStep::kNone;
  // The last step may be smaller than kWeightStep; its waiting time is shorter by the same ratio.
  const double step_fraction = std::min(1.0, (1 - weight_) / kWeightStep);
  if (weight_ < 1 && now - quiet_since_ >= kMinQuietTime * (wait_factor_ * step_fraction)) {
    weight_ = std::min(1.0, weight_ + kWeightStep);
    quiet_since_ = now;
    if (is_full()) step = RampStep::kReachedFullWeight;
  }
  if (!is_full()) full_since_ = now;
  return step;
}

void ExposureRamp::stop() {
  stopped_ = true;
  weight_ = 0;
}

RampStep ExposureRamp::step_back(Instant now) {
  quiet_since_ = now;
  full_since_ = now;
  if (stepped_back_) return RampStep::kNone;
  stepped_back_ = true;
  weight_ = std::max(weight_ - kWeightStep, kWeightStep);
  return RampStep::kSteppedBack;
}

}  // namespace ashbeam::policy
