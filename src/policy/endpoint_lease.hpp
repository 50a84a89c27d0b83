// The lease on the endpoint list: until when attempts may be sent to the endpoints of the list without
// further information from discovery.
//
// Each complete line from discovery renews the lease. Without a renewal it expires, because by the protocol a
// change of the list counts as notified some time after discovery knows of it, whether or not the
// notification has arrived. The lease can be longer for a single endpoint whose own answer shows that it had
// not begun to drain.
//
// The rules on drains are the protocol's: a change counts as notified when it has been written, and at the
// latest 6 s after discovery knows of it; no new attempt may go to a draining endpoint after the drain grace.
// What is not known is assumed to be the worst case that the protocol permits. Leases are described by Gray
// and Cheriton, 1989.
//
// Performs no I/O and reports no errors. The time is an argument and must not decrease between calls.
#pragma once
#include <cstdint>

#include "base/time.hpp"

namespace ashbeam::policy {

struct EndpointLeaseSettings {
  // A change counts as notified at most this long after discovery knows of it.
  Duration max_notification_delay = Duration::s(6);
  // No new attempt may go to an endpoint once this time has passed since the notification of its drain.
  Duration drain_grace;
  // The maximum time from the decision to send an attempt until its first byte is sent.
  Duration send_delay;
};

enum class LeaseState : std::uint8_t {
  kFresh,        // A watch is open and all of its lines have been received completely.
  kUnconfirmed,  // No watch is open, or a line is incomplete. Attempts are still permitted.
  kExpired,      // A drain of any endpoint may count as notified and its grace may have passed.
};
// Returns the name of the state for log lines.
const char* name_of(LeaseState state);

class EndpointLease {
 public:
  explicit EndpointLease(const EndpointLeaseSettings& settings) : settings_(settings) {}

  // Called when a complete line has been received on a watch. It confirms the list.
  void on_line_received(Instant now);
  // Called when the first byte of a line, or of the answer to a call, has been received. The change that it
  // announces counts as notified from then on.
  void on_line_started(Instant now);
  // Called when the watch has ended, has timed out or has been closed.
  void on_watch_lost();
  // Called when the machine of discovery refuses connections. Discovery can then have announced no change, so
  // a lease that has not expired is renewed.
  void on_discovery_unreachable(Instant now);

  LeaseState state(Instant now) const;
  // Returns the time before which attempts may start to any endpoint of the list.
  Instant valid_until() const;
  // Returns the time from which no attempt may start to any endpoint, not even to one whose own answer shows
  // that it had not begun to drain. Returns Instant::never() unless a line is incomplete.
  Instant blocked_from() const;
  // Returns the time before which attempts may start to an endpoint that has accepted a request sent at
  // `sent`. Applies if may_extend_validity() is true of the connection: then the process is the one in the
  // list, and it had not begun to drain when it accepted the request.
  Instant valid_until_after_answer(Instant sent) const {
    return sent + settings_.max_notification_delay + usable_drain_grace();
  }
  // Returns whether an answer on a connection that was opened at `opened` may extend the validity of its
  // endpoint. The connection must have been opened before the list was last confirmed.
  bool may_extend_validity(Instant opened) const { return opened <= confirmed_at_; }
  // Returns when the list was last confirmed, or Instant() if never. This is the time at which the first byte
  // of the line was received.
  Instant confirmed_at() const { return confirmed_at_; }

 private:
  // Returns the part of the drain grace that is left after the delay of sending.
  Duration usable_drain_grace() const { return settings_.drain_grace - settings_.send_delay; }

  EndpointLeaseSettings settings_;
  Instant confirmed_at_;
  Instant renewed_at_;  // confirmed_at_, or when discovery was last known to be unreachable, if later.
  // When the first byte of the incomplete line was received, or never if no line is incomplete.
  Instant line_started_at_ = Instant::never();
  bool is_watched_ = false;  // Whether a watch is open.
};

}  // namespace ashbeam::policy
