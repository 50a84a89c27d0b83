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

void EndpointLease::confirmed(Instant now) {
  // A line says how things stood as it was written: its first byte is nearest to that.
  confirmed_at_ = renewed_at_ = std::min(now, begun_at_);
  begun_at_ = Instant::never();
  watched_ = true;
}

void EndpointLease::line_begun(Instant now) { begun_at_ = std::min(begun_at_, now); }

void EndpointLease::watch_lost() { watched_ = false; }

void EndpointLease::unreachable(Instant now) {
  watched_ = false;
  if (now < valid_until()) renewed_at_ = now;
}

LeaseState EndpointLease::state(Instant now) const {
  if (now >= valid_until()) return LeaseState::kExpired;
  const bool fresh = watched_ && begun_at_ == Instant::never();
  return fresh ? LeaseState::kFresh : LeaseState::kUnconfirmed;
}

Instant EndpointLease::valid_until() const {
  return std::min(renewed_at_ + terms_.notified_within + grace_left(), pending_until());
}

Instant EndpointLease::pending_until() const {
  return begun_at_ == Instant::never() ? Instant::never() : begun_at_ + grace_left();
}

}  // namespace ashbeam::policy
