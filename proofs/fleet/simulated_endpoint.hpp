// An endpoint in simulated time: it works off what it is sent at a speed that grows until it is warm, and
// fails for good if more work comes before that than it can take.
#pragma once
#include <deque>

#include "base/time.hpp"
#include "policy/router_settings.hpp"
#include "policy/types.hpp"

namespace ashbeam {

constexpr ReleaseVersion kStableVersion = 1;
constexpr ReleaseVersion kCanaryVersion = 2;
constexpr double kMeanWorkMs = 73;  // of a request, on one core of usual speed

class SimulatedEndpoint {
 public:
  unsigned zone = 0;
  unsigned machine_type = 0;
  double cores = 0;  // of usual speed
  ReleaseVersion version = kStableVersion;
  bool deployed = true;  // else its process has never started
  bool up = true;
  bool draining = false;
  bool overloaded = false;           // failed for good
  bool answered_since_cold = false;  // since its latest start, while cold
  Instant started_at;

  void start(Instant now);
  bool accepts_connections() const { return up && !overloaded; }
  bool cold(Instant now, const RouterSettings& settings) const;
  // Counts work that arrives, and drops what has left the window of slow start. The work counts whether or
  // not it is rejected then.
  void add_work(Instant now, double work_ms, const RouterSettings& settings);
  // The work in the window at which a cold endpoint fails, and what is in the window.
  double failing_work_ms(Instant now, const RouterSettings& settings) const;
  double window_work_ms() const { return window_work_ms_; }
  // Queues the work and returns when the queue will be done.
  Instant enqueue(Instant now, double work_ms, const RouterSettings& settings);
  Instant free_at() const { return free_at_; }

 private:
  struct Arrival {
    Instant at;
    double work_ms = 0;
  };

  double capacity(Instant now, const RouterSettings& settings) const;  // 1: warm

  Instant free_at_;               // when its queue will be done
  std::deque<Arrival> arrivals_;  // within the window
  double window_work_ms_ = 0;
};

}  // namespace ashbeam
