// Controls the traffic weight of the canary: the fraction of the exposure cap that this router uses.
//
// The weight starts low and rises in small steps while there is no regression. A moderate regression lowers
// it by one step and then holds it; a severe one sets it to 0 for the rest of the release. If the bake time
// is short, the waiting times between the steps are shortened by a factor.
#pragma once
#include "base/time.hpp"
#include "policy/regression.hpp"
#include "policy/traffic_split.hpp"

namespace ashbeam::policy {

enum class RampStep : std::uint8_t { kNone, kSteppedBack, kReachedFullWeight };

class ExposureRamp {
 public:
  // `wait_factor`, at most 1, scales the waiting times.
  explicit ExposureRamp(double wait_factor) : wait_factor_(wait_factor) {}

  // Called when the router starts and when the platform announces another version. Resets the weight and
  // discards all earlier evaluations.
  void begin_release(Instant now);
  // Records the result of an evaluation that is not severe. Before the version is released, advance() must be
  // called next.
  void on_evaluation(Regression regression, Instant now);
  // Raises or lowers the weight after an evaluation that is not severe. `canary_ready` says whether there are
  // ready canary endpoints: without them, the lack of a regression is no evidence.
  RampStep advance(Regression regression, bool canary_ready, Instant now);
  // Sets the weight to 0 until the next release.
  void stop();

  bool is_stopped() const { return stopped_; }
  // Returns the traffic weight, from 0 to 1.
  double weight() const { return weight_; }
  TrafficSplit split() const { return {weight_, stopped_}; }
  // Returns how long the weight has been full without a regression.
  Duration time_at_full_weight(Instant now) const { return now - full_since_; }
  bool is_full() const { return weight_ >= 1; }
  // Returns the start of the current regression, or Instant() if there is none.
  Instant regression_since() const { return regression_since_; }

 private:
  RampStep step_back(Instant now);

  static constexpr double kInitialWeight = 0.3;

  double wait_factor_;
  double weight_ = kInitialWeight;
  Instant quiet_since_;  // Start of the time without a regression, or the last step if that is later.
  Instant full_since_;
  Instant regression_since_;
  Instant last_regression_at_;
  bool stopped_ = false;
  bool stepped_back_ = false;  // True if the weight was lowered for the current regression.
};

}  // namespace ashbeam::policy
