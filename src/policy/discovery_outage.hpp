// The outage of discovery, as far as this router has proof of it: for how long discovery has certainly learnt
// nothing.
//
// Discovery is down when its machine refuses a connection, because no process listens there. Nothing proves
// it between two refusals; they count as one outage if they are close together and no call was accepted
// between them. A call that is accepted, rejected with an answer or never answered proves nothing: discovery
// may be overloaded or cut off, and may know of changes.
//
// Performs no I/O and reports no errors. The times of refusals must not decrease.
#pragma once
#include <algorithm>

#include "base/time.hpp"

namespace ashbeam::policy {

class DiscoveryOutage {
 public:
  // Refusals count as one outage if no more time than `max_gap` passes between them.
  explicit DiscoveryOutage(Duration max_gap) : max_gap_(max_gap) {}

  // Called when a watch has ended: an outage may have begun then, which the next refusal proves.
  void on_watch_ended(Instant now) { begin(now); }
  // Called when a call that began at `started` has been refused.
  void on_call_refused(Instant started) {
    if (!is_ongoing_ || started > until_ + max_gap_) begin(started);
    until_ = std::max(until_, started);
    is_proven_ = true;
  }
  // Called when discovery has accepted a call, or when its address has been changed.
  void on_ended() {
    is_ongoing_ = false;
    is_proven_ = false;
  }

  // Returns whether the last call was refused.
  bool is_proven() const { return is_proven_; }
  // Returns when the latest outage began, or never if there is none. Discovery has learnt nothing from then
  // until `until()`.
  Instant since() const { return since_; }
  Instant until() const { return until_; }

 private:
  void begin(Instant at) {
    since_ = at;
    until_ = at;
    is_ongoing_ = true;
    is_proven_ = false;
  }

  Duration max_gap_;
  bool is_ongoing_ = false;
  bool is_proven_ = false;
  Instant since_ = Instant::never();
  Instant until_;
};

}  // namespace ashbeam::policy
