#include "policy/endpoint_table.hpp"

#include <algorithm>
#include <utility>

namespace ashbeam::policy {

void EndpointTable::begin_update(bool complete) {
  for (Endpoint& endpoint : endpoints_) endpoint.named_in_update = !complete && endpoint.named_in_update;
}

void EndpointTable::update(const EndpointUpdate& update, Instant now, Pcg& random) {
  if (!contains(update.endpoint)) endpoints_.resize(update.endpoint + 1);
  Endpoint& endpoint = endpoints_[update.endpoint];
  const bool same_process = endpoint.version == update.version && endpoint.started_at == update.started_at &&
                            endpoint.state != EndpointState::kRemoved;
  if (!same_process) {
    // The state of the previous process says nothing about the new one, but the attempts sent to it still
    // count.
    Endpoint previous = std::exchange(endpoint, Endpoint{});
    endpoint.attempts_in_flight = previous.attempts_in_flight;
    endpoint.slow_start.attempts = std::move(previous.slow_start.attempts);
    endpoint.outcomes_by_class.resize(class_count_ + 1);
    endpoint.last_response_at = now;
    endpoint.slow_start.jitter = random.next_double();
  }
  endpoint.named_in_update = true;
  endpoint.state = update.state;
  endpoint.version = update.version;
  endpoint.started_at = update.started_at;
  endpoint.zone = update.zone;
  endpoint.cell = update.cell;
  endpoint.machine_type = std::min(update.machine_type, machine_type_count_ - 1);
}

std::optional<ReleaseVersion> EndpointTable::end_update() {
  std::optional<ReleaseVersion> lowest;
  ready_ = 0;
  for (Endpoint& endpoint : endpoints_) {
    if (!endpoint.named_in_update) endpoint.state = EndpointState::kRemoved;
    if (endpoint.state != EndpointState::kReady) continue;
    ++ready_;
    lowest = std::min(lowest.value_or(endpoint.version), endpoint.version);
  }
  max_ready_ = std::max(max_ready_, ready_);
  return lowest;
}

void EndpointTable::count_roles(const ReleaseTracker& release) {
  canary_ready_ = 0;
  stable_ready_ = 0;
  newest_canary_start_ = Instant();
  for (const Endpoint& endpoint : endpoints_) {
    if (endpoint.state != EndpointState::kReady) continue;
    ++(release.is_capped(endpoint.version) ? canary_ready_ : stable_ready_);
    if (endpoint.version == release.version())
      newest_canary_start_ = std::max(newest_canary_start_, endpoint.started_at);
  }
}

}  // namespace ashbeam::policy
