#include "policy/endpoint_lease.hpp"

#include <algorithm>

namespace ashbeam::policy {

const char* name_of(LeaseState state) {
  switch (state) {
    case LeaseState::kFresh:
      return "fresh";
    case LeaseState::kUnconfirmed:
      return "unconfirmed";
    case LeaseState::kExpired:
      return "expired";
  }
  return "unknown";
}

void EndpointLease::on_line_received(Instant now) {
  // A line describes the list at the time when it was written. The arrival of its first byte is the closest
  // known time.
  confirmed_at_ = renewed_at_ = std::min(now, line_started_at_);
  line_started_at_ = Instant::never();
  is_watched_ = true;
}

void EndpointLease::on_line_started(Instant now) { line_started_at_ = std::min(line_started_at_, now); }

void EndpointLease::on_watch_lost() { is_watched_ = false; }

void EndpointLease::on_discovery_unreachable(Instant now) {
  is_watched_ = false;
  if (now < valid_until()) renewed_at_ = now;
}

LeaseState EndpointLease::state(Instant now) const {
  if (now >= valid_until()) return LeaseState::kExpired;
  const bool is_fresh = is_watched_ && line_started_at_ == Instant::never();
  return is_fresh ? LeaseState::kFresh : LeaseState::kUnconfirmed;
}

Instant EndpointLease::valid_until() const {
  return std::min(renewed_at_ + settings_.max_notification_delay + usable_drain_grace(), blocked_from());
}

Instant EndpointLease::blocked_from() const {
  return line_started_at_ == Instant::never() ? Instant::never() : line_started_at_ + usable_drain_grace();
}

}  // namespace ashbeam::policy
