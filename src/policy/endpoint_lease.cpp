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
  confirmed_at_ = std::min(now, line_started_at_);
  line_started_at_ = Instant::never();
  notified_by_move_at_ = Instant::never();
  early_notification_until_ = Instant();
  unwatched_since_ = Instant::never();
  outage_ = DiscoveryOutage(usable_drain_grace());
  is_watched_ = true;
}

void EndpointLease::on_line_started(Instant now) { line_started_at_ = std::min(line_started_at_, now); }

// A call that ends without a complete line was no watch, so it has missed no change.
void EndpointLease::on_watch_ended(Instant now, bool silent) {
  if (!is_watched_) return;
  is_watched_ = false;
  const Instant missed_until = silent ? now + settings_.max_notification_delay : now;
  early_notification_until_ = std::max(early_notification_until_, missed_until);
  // Changes count as notified later after a silent watch, and after a change of the address.
  if (silent || notified_by_move_at_ < Instant::never()) return;
  unwatched_since_ = now;
  outage_.on_watch_ended(now);
}

void EndpointLease::on_discovery_moved(Instant now) {
  outage_.on_ended();
  const Instant notified = now + settings_.max_notification_delay_after_move;
  notified_by_move_at_ = std::min(notified_by_move_at_, notified);
  early_notification_until_ = std::max(early_notification_until_, notified);
}

LeaseState EndpointLease::state(Instant now) const {
  if (now >= valid_until()) return LeaseState::kExpired;
  const bool is_fresh = is_watched_ && line_started_at_ == Instant::never();
  return is_fresh ? LeaseState::kFresh : LeaseState::kUnconfirmed;
}

// An endpoint that accepts a request begins to drain later, if at all. While a watch is open, it may have
// fallen silent since its last line, so that the endpoint's drain may count as notified as soon as it begins.
EndpointListValidity EndpointLease::validity() const {
  EndpointListValidity validity;
  validity.valid_until = valid_until();
  validity.blocked_from = blocked_from();
  validity.early_extension = usable_drain_grace();
  if (settings_.is_pushed) {
    validity.early_notification_until = outage_.since();
    validity.extension = usable_drain_grace();
    validity.min_extended_until = outage_.until() + usable_drain_grace();
    if (!is_watched_)
      validity.answers_needed_from =
          outage_.is_proven() ? validity.min_extended_until : validity.valid_until - usable_drain_grace();
    return validity;
  }
  validity.early_notification_until = is_watched_ ? Instant::never() : early_notification_until_;
  validity.extension = settings_.max_notification_delay + usable_drain_grace();
  return validity;
}

Instant EndpointLease::valid_until() const {
  const Instant notified = std::min(
      {confirmed_at_ + settings_.max_notification_delay, notified_by_move_at_, notified_unwatched_at()});
  return std::min(notified + usable_drain_grace(), blocked_from());
}

Instant EndpointLease::notified_unwatched_at() const {
  if (!settings_.is_pushed || unwatched_since_ == Instant::never()) return Instant::never();
  // A later outage does not show what discovery knew before it.
  return outage_.since() == unwatched_since_ ? outage_.until() : unwatched_since_;
}

Instant EndpointLease::blocked_from() const {
  return line_started_at_ == Instant::never() ? Instant::never() : line_started_at_ + usable_drain_grace();
}

}  // namespace ashbeam::policy
