// The lease on the endpoint list: until when attempts may be sent to the endpoints of the list without
// further information from discovery.
//
// Each complete line from discovery renews the lease. Without a renewal it expires, because by the protocol a
// change of the list counts as notified some time after discovery knows of it, whether or not the
// notification has arrived. The lease can be longer for a single endpoint whose own answer shows that it had
// not begun to drain.
//
// The rules on drains are the protocol's. No new attempt may go to a draining endpoint after the drain grace,
// which begins when the change counts as notified. That is the earliest of these times:
//
// - when the change has been written to a watch;
// - 6 s after discovery knows of it;
// - 6 s after a watch fell silent, if the watch missed it. Nothing shows when that was: right after the last
//   line, or just before the router closed the watch. That it was closed may not reach a discovery that is
//   cut off, so changes may count as missed after the close, too, until the 6 s are over;
// - 4 s after the address of discovery was changed, if it was made before that;
// - where discovery pushes the list: as soon as discovery has the change, even if no watch is open. A change
//   that a silent watch misses, and one after a change of the address, still count as notified when the lines
//   above say. While discovery is down it learns nothing; what it learns at its return counts at once.
//
// A pushed list may therefore be used for the drain grace after the end of its watch, and for longer only
// while discovery is down (see DiscoveryOutage) or after a silent watch. An endpoint that has accepted a
// request during an outage may be used until the grace after the outage, because its drain begins later than
// its answer and discovery has it no earlier than at its return.
//
// What is not known is assumed to be the worst case that the protocol permits. Leases are described by Gray
// and Cheriton, 1989.
//
// Performs no I/O and reports no errors. The time is an argument and must not decrease between calls.
#pragma once
#include <cstdint>

#include "base/time.hpp"
#include "policy/discovery_outage.hpp"
#include "policy/endpoint_list_validity.hpp"

namespace ashbeam::policy {

struct EndpointLeaseSettings {
  // A change counts as notified at most this long after discovery knows of it, and after the watch that
  // misses it fell silent.
  Duration max_notification_delay = Duration::s(6);
  // What discovery has to announce counts as notified at most this long after its address was changed.
  Duration max_notification_delay_after_move = Duration::s(4);
  // No new attempt may go to an endpoint once this time has passed since the notification of its drain.
  Duration drain_grace;
  // The maximum time from the decision to send an attempt until its first byte is sent.
  Duration send_delay;
  // Whether discovery pushes the list: changes count as notified even if no watch is open.
  bool is_pushed = false;
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
  explicit EndpointLease(const EndpointLeaseSettings& settings)
      : settings_(settings), outage_(usable_drain_grace()) {}

  // Called when a complete line has been received on a watch. It confirms the list.
  void on_line_received(Instant now);
  // Called when the first byte of a line, or of the answer to a call, has been received. The change that it
  // announces counts as notified from then on.
  void on_line_started(Instant now);
  // Called when a watch or a call has ended. `silent` says that it was closed because it had stopped sending.
  // A call that fails, however it does, renews nothing: it does not show what discovery knew before.
  void on_watch_ended(Instant now, bool silent);
  // Called when a call that began at `started` has been refused, because no process listens at the address.
  void on_call_refused(Instant started) { outage_.on_call_refused(started); }
  // Called when discovery has accepted the connection of a call.
  void on_call_accepted() { outage_.on_ended(); }
  // Called when the address of discovery has been changed, before the watch at the former address is closed.
  void on_discovery_moved(Instant now);

  LeaseState state(Instant now) const;
  // Returns until when attempts may start, as far as it is known now.
  EndpointListValidity validity() const;
  // Returns whether an answer on a connection that was opened at `opened` shows that the listed process has
  // accepted the request. The connection must have been opened before the list was last confirmed.
  bool is_listed_process(Instant opened) const { return opened <= confirmed_at_; }
  // Returns when the list was last confirmed, or Instant() if never. This is the time at which the first byte
  // of the line was received.
  Instant confirmed_at() const { return confirmed_at_; }

 private:
  Instant valid_until() const;
  Instant blocked_from() const;
  // Returns when the first missed change may count as notified because the list is pushed and no watch is
  // open, or never if that is not the case.
  Instant notified_unwatched_at() const;
  // Returns the part of the drain grace that is left after the delay of sending.
  Duration usable_drain_grace() const { return settings_.drain_grace - settings_.send_delay; }

  EndpointLeaseSettings settings_;
  Instant confirmed_at_;
  // When the first byte of the incomplete line was received, or never if no line is incomplete.
  Instant line_started_at_ = Instant::never();
  bool is_watched_ = false;  // Whether a watch is open.
  // When missed changes count as notified because the address of discovery was changed, or never if a line
  // has been received since.
  Instant notified_by_move_at_ = Instant::never();
  // While no watch is open: see EndpointListValidity::early_notification_until.
  Instant early_notification_until_;
  // When the watch on a pushed list ended, or never if one is open, or if it fell silent or ended because the
  // address of discovery was changed.
  Instant unwatched_since_ = Instant::never();
  DiscoveryOutage outage_;
};

}  // namespace ashbeam::policy
