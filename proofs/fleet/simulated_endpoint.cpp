#include "simulated_endpoint.hpp"

#include <algorithm>
#include <cmath>

namespace ashbeam {
namespace {

// An endpoint fails this many standard deviations beyond its budget, so that random variation of the work
// alone does not make it fail.
constexpr double kOverloadDeviations = 2;

}  // namespace

void SimulatedEndpoint::start(Instant now) {
  up = true;
  started_at = now;
  free_at_ = now;
  answered_since_cold = false;
}

bool SimulatedEndpoint::is_cold(Instant now, const RouterSettings& settings) const {
  return now - started_at < settings.slow_start_duration;
}

void SimulatedEndpoint::add_work(Instant now, double work_ms, const RouterSettings& settings) {
  arrivals_.push_back({now, work_ms});
  window_work_ms_ += work_ms;
  while (arrivals_.front().at < now - settings.slow_start_window) {
    window_work_ms_ -= arrivals_.front().work_ms;
    arrivals_.pop_front();
  }
}

double SimulatedEndpoint::overload_work_ms(Instant now, const RouterSettings& settings) const {
  const double budget_ms =
      settings.overload_factor * capacity(now, settings) * cores * settings.slow_start_window.ms();
  // The work of a request is distributed exponentially, hence the variance of 2 * budget * mean.
  return budget_ms + kOverloadDeviations * std::sqrt(2 * budget_ms * kMeanWorkMs);
}

Instant SimulatedEndpoint::enqueue(Instant now, double work_ms, const RouterSettings& settings) {
  free_at_ = std::max(free_at_, now) + Duration::ms(work_ms / (cores * capacity(now, settings)));
  return free_at_;
}

double SimulatedEndpoint::capacity(Instant now, const RouterSettings& settings) const {
  const double warm_fraction = std::clamp((now - started_at) / settings.slow_start_duration, 0.0, 1.0);
  return settings.initial_capacity_fraction + (1 - settings.initial_capacity_fraction) * warm_fraction;
}

}  // namespace ashbeam
