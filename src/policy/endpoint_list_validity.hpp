// Until when attempts may start to the endpoints of the list without further information from discovery.
//
// The validity is the same for all endpoints of the list, except that it is longer for an endpoint that has
// accepted a request: it had not begun to drain when it did. EndpointLease computes it, and RuleGuards checks
// each attempt against it.
//
// Performs no I/O and reports no errors. Without further information, everything is valid.
#pragma once
#include <algorithm>

#include "base/time.hpp"

namespace ashbeam {

struct EndpointListValidity {
  // Before this, attempts may start to any ready endpoint of the list.
  Instant valid_until = Instant::never();
  // From this time on, no attempt may start to any endpoint, because a change of the list has begun to arrive
  // whose content is not known yet.
  Instant blocked_from = Instant::never();
  // A drain that begins before this, and of which the router has not heard, may count as notified as soon as
  // it begins. A later one counts as notified some time after it begins.
  Instant early_notification_until = Instant::never();
  // For how long attempts may start to an endpoint after it has accepted a request, if that was before
  // `early_notification_until`, and if it was later.
  Duration early_extension;
  Duration extension;
  // Attempts may start until then to every endpoint that has accepted a request at or after
  // `early_notification_until`.
  Instant min_extended_until;
  // From this time on, endpoints have to accept requests again and again to remain usable.
  Instant answers_needed_from = Instant::never();

  // Returns the time before which attempts may start to an endpoint that has accepted a request sent at
  // `sent`.
  Instant extended_until(Instant sent) const {
    if (sent < early_notification_until) return sent + early_extension;
    return std::max(sent + extension, min_extended_until);
  }
  // Returns whether an attempt may start at `now`. `last_accepted` is when the last request was sent that the
  // endpoint has accepted, or Instant() if it has accepted none.
  bool allows(Instant now, Instant last_accepted) const {
    return now < blocked_from && (now < valid_until || now < extended_until(last_accepted));
  }
};

}  // namespace ashbeam
