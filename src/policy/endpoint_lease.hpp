// How long the endpoint list may be sent to. A list is a lease: each whole line from discovery renews it, and
// from then on it runs out, since a change counts as notified some time after discovery had it, whether it
// arrived or not.
//
// Job: from what is seen of discovery, say until when attempts may begin without further news; for the list
// as a whole, and for an endpoint whose own answer shows that it had not begun to drain. Units: instants and
// spans of real time. No I/O; the time is an argument and never goes back. Errors: none; what is not known
// counts as the worst that the protocol allows. Source: the protocol's rules on drains (a change counts as
// notified once written, 6 s after discovery had it at the latest; nothing new goes to a drained endpoint
// past the grace); leases after Gray and Cheriton, 1989.
#pragma once
#include <cstdint>

#include "base/time.hpp"

namespace ashbeam::policy {

struct EndpointLeaseSettings {
  Duration max_notification_delay =
      Duration::s(6);    // after discovery had a change it counts as notified, at the latest
  Duration drain_grace;  // after that nothing new goes to the endpoint
  Duration send_delay;   // from the decision for an attempt to its first byte, at the most
};

enum class LeaseState : std::uint8_t {
  kFresh,        // a watch stands, and all of its lines are whole
  kUnconfirmed,  // no watch stands, or a line has begun; endpoints may still be sent to
  kExpired,      // a change of any endpoint may count as notified, and its grace may be over
};
const char* name_of(LeaseState state);

class EndpointLease {
 public:
  explicit EndpointLease(const EndpointLeaseSettings& settings) : settings_(settings) {}

  // A whole line came on a watch: the list stands as discovery has it now.
  void on_line_received(Instant now);
  // The bytes of a line, or of the answer to a call, have begun to come: what they say counts as notified.
  void on_line_started(Instant now);
  // The watch ended, fell silent or was given up.
  void on_watch_lost();
  // Discovery's machine refuses connections, so that it can have announced nothing: a lease that still runs
  // starts anew.
  void on_discovery_unreachable(Instant now);

  LeaseState state(Instant now) const;
  // Attempts may begin before this, whatever endpoint they go to.
  Instant valid_until() const;
  // No attempt may begin after this, not even to an endpoint that vouches for itself; never where
  // nothing is pending.
  Instant blocked_from() const;
  // An endpoint has accepted a request sent then, on a connection that opened before the list was last
  // confirmed: the same process as listed had not begun to drain. Attempts to it may begin before this.
  Instant valid_until_after_answer(Instant sent) const {
    return sent + settings_.max_notification_delay + usable_drain_grace();
  }
  // May an answer on a connection that opened then vouch for its endpoint?
  bool may_extend_validity(Instant opened) const { return opened <= confirmed_at_; }
  Instant confirmed_at() const { return confirmed_at_; }

 private:
  Duration usable_drain_grace() const { return settings_.drain_grace - settings_.send_delay; }

  EndpointLeaseSettings settings_;
  Instant confirmed_at_;  // far past: never
  Instant renewed_at_;    // the same, or when discovery was last known to be unreachable
  Instant line_started_at_ = Instant::never();  // the first byte of what has not come whole yet
  bool is_watched_ = false;
};

}  // namespace ashbeam::policy
