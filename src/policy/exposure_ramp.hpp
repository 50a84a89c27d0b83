// Ramps the part of the exposure cap that this router uses.
//
// Job: from the judgements of a release, give the traffic weight: it starts low, climbs in small steps while
// all is quiet, steps back once and holds on a moderate regression, and drops to zero for good on a severe
// one. A short bake time shortens the waits, see `pace`. Units: parts of the exposure cap, 0 to 1; spans of
// real time. No I/O. Errors: none.
#pragma once
#include "base/time.hpp"
#include "policy/regression.hpp"
#include "policy/traffic_split.hpp"

namespace ashbeam::policy {

enum class RampStep : std::uint8_t { kNone, kSteppedBack, kReachedFullWeight };

class ExposureRamp {
 public:
  // `pace`: factor on the waits, at most 1.
  explicit ExposureRamp(double pace) : pace_(pace) {}

  // A release begins, or the router starts: all that was judged before is over.
  void begin_release(Instant now);
  // Takes in a judgement; call advance() or stop() after it.
  void on_judgement(Regression regression, Instant now);
  // Steps up or back by the last judgement, which is not severe. `canary_ready`: there are endpoints to be
  // quiet about.
  RampStep advance(Regression regression, bool canary_ready, Instant now);
  // Drops to zero, and stays there until the next release.
  void stop();

  bool stopped() const { return stopped_; }
  double weight() const { return weight_; }
  TrafficSplit split() const { return {weight_, stopped_}; }
  // How long the weight has been full, with no regression since.
  Duration full_for(Instant now) const { return now - full_since_; }
  bool full() const { return weight_ >= 1; }
  // Since when there has been a regression; far past: there is none.
  Instant regression_since() const { return regression_since_; }

 private:
  RampStep step_back(Instant now);

  static constexpr double kInitialWeight = 0.3;

  double pace_;
  double weight_ = kInitialWeight;
  Instant quiet_since_;  // or since the last step
  Instant full_since_;
  Instant regression_since_;
  Instant last_regression_;
  bool stopped_ = false;
  bool stepped_back_ = false;  // in the regression at hand
};

}  // namespace ashbeam::policy
