// An endpoint in simulated time. It processes requests at a speed that grows until the endpoint is warm. If
// it receives more work than it can take while cold, it fails permanently.
#pragma once
#include <deque>

#include "base/time.hpp"
#include "policy/router_settings.hpp"
#include "policy/types.hpp"

namespace ashbeam {

constexpr ReleaseVersion kStableVersion = 1;
constexpr ReleaseVersion kCanaryVersion = 2;
constexpr double kMeanWorkMs = 73;  // mean work of a request, on one core of standard speed

class SimulatedEndpoint {
 public:
  unsigned zone = 0;
  unsigned machine_type = 0;
  double cores = 0;  // of standard speed
  ReleaseVersion version = kStableVersion;
  bool deployed = true;  // false until its process starts for the first time
  bool up = true;
  bool draining = false;
  bool overloaded = false;           // has failed permanently
  bool answered_since_cold = false;  // has answered while cold since its latest start
  Instant started_at;

  void start(Instant now);
  bool accepts_connections() const { return up && !overloaded; }
  // Whether the endpoint is in its slow start.
  bool is_cold(Instant now, const RouterSettings& settings) const;
  // Adds arriving work to the slow-start window and drops the work that has left the window. The work counts
  // even if the endpoint then rejects it.
  void add_work(Instant now, double work_ms, const RouterSettings& settings);
  // Returns the work in the window beyond which a cold endpoint fails.
  double overload_work_ms(Instant now, const RouterSettings& settings) const;
  // Returns the work in the window.
  double window_work_ms() const { return window_work_ms_; }
  // Queues the work and returns when the queue will be empty.
  Instant enqueue(Instant now, double work_ms, const RouterSettings& settings);
  // Returns when the queue will be empty.
  Instant free_at() const { return free_at_; }

 private:
  struct Arrival {
    Instant at;
    double work_ms = 0;
  };

  // Returns the current capacity as a fraction of the warm one.
  double capacity(Instant now, const RouterSettings& settings) const;

  Instant free_at_;
  std::deque<Arrival> arrivals_;  // within the window
  double window_work_ms_ = 0;
};

}  // namespace ashbeam
