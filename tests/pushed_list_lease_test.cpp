// Tests of the lease on an endpoint list that discovery pushes, by single cases and against a reference
// model. The model knows the complete history of discovery and computes from it when each change counts as
// notified.
#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <vector>

#include "base/pcg.hpp"
#include "lease_history_check.hpp"
#include "policy/endpoint_lease.hpp"

namespace ashbeam::policy {
namespace {

constexpr Duration kGrace = Duration::s(1), kSendDelay = Duration::ms(450),
                   kMaxNotificationDelay = Duration::s(6), kMaxNetworkDelay = Duration::ms(50);
constexpr Duration kMaxNotificationDelayAfterMove = Duration::s(4);
constexpr Duration kUsableGrace = kGrace - kSendDelay;

Instant at(double seconds) { return Instant::at_us(0) + Duration::s(seconds); }

EndpointLease pushed_lease() {
  return EndpointLease(
      {kMaxNotificationDelay, kMaxNotificationDelayAfterMove, kGrace, kSendDelay, /*is_pushed=*/true});
}
// Returns a lease whose list was confirmed at 10 s, and whose watch discovery has ended at 11 s.
EndpointLease lease_without_watch() {
  EndpointLease lease = pushed_lease();
  lease.on_line_received(at(10));
  lease.on_watch_ended(at(11), false);
  return lease;
}

// Guards against a list that is used while discovery has changes that no watch delivers.
TEST(PushedListLease, ExpiresTheGraceAfterTheEndOfItsWatch) {
  EndpointLease lease = pushed_lease();
  EXPECT_EQ(lease.state(at(1)), LeaseState::kExpired);
  lease.on_line_received(at(10));
  EXPECT_EQ(lease.validity().valid_until, at(10) + kMaxNotificationDelay + kUsableGrace);
  lease.on_watch_ended(at(11), false);
  lease.on_call_accepted();
  lease.on_watch_ended(at(13), false);
  EXPECT_EQ(lease.validity().valid_until, at(11) + kUsableGrace);
  EXPECT_EQ(lease.validity().extended_until(at(12)), at(12) + kUsableGrace);
  lease.on_line_received(at(14));
  EXPECT_EQ(lease.state(at(15)), LeaseState::kFresh);
  EXPECT_EQ(lease.validity().valid_until, at(14) + kMaxNotificationDelay + kUsableGrace);
}

TEST(PushedListLease, RefusedCallsExtendItWhileDiscoveryCanLearnNothing) {
  EndpointLease lease = lease_without_watch();
  for (double started = 11.25; started < 20; started += 0.25) {
    lease.on_call_refused(at(started));
    // A watch that had fallen silent before it ended may have missed a change.
    const Instant missed = at(10) + kMaxNotificationDelay;
    EXPECT_EQ(lease.validity().valid_until, std::min(at(started), missed) + kUsableGrace);
    EXPECT_EQ(lease.validity().extended_until(at(10.9)), at(10.9) + kUsableGrace);
    EXPECT_EQ(lease.validity().extended_until(at(11.1)), at(started) + kUsableGrace);
    // Endpoints depend on further answers only once the refusals stop.
    EXPECT_EQ(lease.validity().answers_needed_from, at(started) + kUsableGrace);
  }
}

// Guards against refusals that count for the time before them, in which discovery was available.
TEST(PushedListLease, RefusedCallsAfterAReturnOfDiscoveryExtendNothingThatIsOlder) {
  EndpointLease lease = lease_without_watch();
  lease.on_call_refused(at(11.25));
  lease.on_call_accepted();
  for (const double started : {11.6, 11.8, 12.0}) lease.on_call_refused(at(started));
  EXPECT_LE(lease.validity().valid_until, at(11.25) + kUsableGrace);
  EXPECT_EQ(lease.validity().extended_until(at(11.5)), at(11.5) + kUsableGrace);
  EXPECT_EQ(lease.validity().extended_until(at(11.6)), at(12.0) + kUsableGrace);
}

TEST(PushedListLease, RefusedCallsThatAreFarApartAreNoOutage) {
  EndpointLease lease = lease_without_watch();
  lease.on_call_refused(at(11.25));
  lease.on_call_refused(at(11.3) + kUsableGrace);
  EXPECT_LE(lease.validity().valid_until, at(11.25) + kUsableGrace);
  EXPECT_EQ(lease.validity().extended_until(at(11.4)), at(11.4) + kUsableGrace);
}

TEST(PushedListLease, ChangesThatASilentWatchMissesCountAsWhereTheListIsAskedFor) {
  EndpointLease lease = pushed_lease();
  lease.on_line_received(at(10));
  lease.on_watch_ended(at(12.5), true);
  const Instant missed = at(10) + kMaxNotificationDelay;
  EXPECT_EQ(lease.validity().valid_until, missed + kUsableGrace);
  // Later ones count at once.
  EXPECT_EQ(lease.validity().extended_until(at(25)), at(25) + kUsableGrace);
}

TEST(PushedListLease, NewAddressOfDiscoveryExtendsOnlyAWatchedList) {
  EndpointLease watched = pushed_lease();
  watched.on_line_received(at(10));
  watched.on_discovery_moved(at(11));
  watched.on_watch_ended(at(11), false);
  EXPECT_EQ(watched.validity().valid_until, at(11) + kMaxNotificationDelayAfterMove + kUsableGrace);
  EXPECT_EQ(watched.validity().extended_until(at(16)), at(16) + kUsableGrace);
  EndpointLease unwatched = lease_without_watch();
  unwatched.on_call_refused(at(11.25));
  unwatched.on_discovery_moved(at(11.3));
  unwatched.on_call_refused(at(11.4));
  EXPECT_LE(unwatched.validity().valid_until, at(11.25) + kUsableGrace);
}

// ---- Reference model ----

enum class Condition {
  kServing,  // answers each call with the list, and writes each change to the watch
  kDown,     // refuses calls; it learns of changes at its return
  kCrowded,  // accepts calls and rejects each after 2 s
  kSilent,   // as kCrowded, and writes nothing to the open watch
  kCutOff,   // does not answer the opening of a connection, and writes nothing to the open watch
};
struct Period {
  Condition condition;
  Instant begins, ends;
};
enum class EventType { kLine, kWatchClosed, kWatchSilent, kCallRefused, kCallAccepted, kMoved };
struct Event {
  Instant at;
  EventType type;
  Instant call_started;                     // of a refused call
  Instant silent_since = Instant::never();  // of the watch that ends
};

// The generated history of discovery, of one router's calls, and of an endpoint that drains and is replaced
// at the same address.
class PushedHistory {
 public:
  explicit PushedHistory(Pcg& random) : random_(random) {
    for (Instant time = at(0); time < at(kLength);) {
      const Instant drains = time + Duration::s(1 + 8 * random_.next_double());
      accepting_.push_back({Condition::kServing, time, drains});
      time = drains + Duration::s(2 + random_.next_double());
    }
    add_periods();
    for (Instant time = at(0); time < at(kLength);) time = watched_since_ ? watch(time) : call(time);
  }
  // Returns the lease after the events until `now`.
  EndpointLease lease_at(Instant now) const {
    EndpointLease lease = pushed_lease();
    for (const Event& event : events_) {
      if (event.at > now) break;
      apply(event, lease);
    }
    return lease;
  }
  // Returns whether the endpoint accepted requests during all of the time.
  bool accepts(Instant from, Instant to) const {
    return std::any_of(accepting_.begin(), accepting_.end(),
                       [&](const Period& process) { return process.begins <= from && to < process.ends; });
  }
  // Returns when the first drain that is not in the list received by `now` counts as notified.
  std::optional<Instant> notified(Instant now) const {
    Instant list_written = at(-1);
    for (const Event& event : events_) {
      if (event.type == EventType::kLine && event.at <= now) list_written = event.at - kLineDelay;
    }
    std::optional<Instant> first;
    for (const Period& process : accepting_) {
      const Instant known = known_at(process.ends);
      if (known <= list_written || process.ends >= at(kLength)) continue;
      const Instant notified = notified_at(known, list_written);
      if (!first || notified < *first) first = notified;
    }
    return first;
  }
  static constexpr double kLength = 60;

 private:
  void add_periods() {
    for (Instant time = at(0); time < at(kLength); time = periods_.back().ends) {
      const bool serving = random_.next_below(2) == 0;
      const auto trouble = static_cast<Condition>(1 + random_.next_below(4));
      const Instant ends = time + Duration::s(0.5 + 8 * random_.next_double());
      periods_.push_back({serving ? Condition::kServing : trouble, time, ends});
    }
  }
  const Period& period_at(Instant time) const {
    for (const Period& period : periods_) {
      if (time < period.ends) return period;
    }
    return periods_.back();
  }
  // Returns when discovery learns of a change that is made at `time`.
  Instant known_at(Instant time) const {
    for (const Period& period : periods_) {
      const bool is_down = period.condition == Condition::kDown;
      if (is_down && period.begins <= time && time < period.ends) time = period.ends;
    }
    return time;
  }
  // Returns when a change that discovery knows from `known` on counts as notified, if the list before it was
  // written at `list_written`. That is at once, but for a silent watch and a change of the address.
  Instant notified_at(Instant known, Instant list_written) const {
    for (const Event& event : events_) {
      if (event.at <= list_written + kLineDelay) continue;
      if (event.type == EventType::kLine) return event.at;
      if (event.type == EventType::kMoved) return std::max(known, event.at + kMaxNotificationDelayAfterMove);
      const bool is_missed = event.silent_since <= known && known <= event.at;
      if (event.type == EventType::kWatchSilent || (event.type == EventType::kWatchClosed && is_missed))
        return std::max(known, event.silent_since + kMaxNotificationDelay);
      if (event.type == EventType::kWatchClosed) return known;
    }
    return known;
  }
  void add(Instant time, EventType type) { events_.push_back({no_earlier_than_last_event(time), type, {}}); }
  // A line that is on its way arrives before anything else happens.
  Instant no_earlier_than_last_event(Instant time) const {
    return events_.empty() ? time : std::max(time, events_.back().at);
  }
  // Makes a call and returns when the next step begins.
  Instant call(Instant time) {
    const Condition condition = period_at(time).condition;
    if (random_.next_below(20) == 0) add(time, EventType::kMoved);
    if (condition == Condition::kDown) {
      events_.push_back({time + kRoundTrip, EventType::kCallRefused, time});
      return time + Duration::s(0.1 + 0.3 * random_.next_double());
    }
    if (condition == Condition::kCutOff) return time + Duration::s(4.5 + 3 * random_.next_double());
    add(time + kRoundTrip, EventType::kCallAccepted);
    if (condition != Condition::kServing) return time + Duration::s(2 + 4 * random_.next_double());
    watched_since_ = time;
    add(time + kRoundTrip + kLineDelay, EventType::kLine);
    return time + kRoundTrip;
  }
  // Generates the next line of the open watch, or its end. Returns when the next step begins.
  Instant watch(Instant time) {
    const Period& period = period_at(time);
    Instant line = time + Duration::s(2);
    for (const Period& process : accepting_) {
      if (process.begins > time) line = std::min(line, process.begins);
      if (process.ends > time) line = std::min(line, process.ends);
    }
    if (period.condition != Condition::kServing) return lose_watch(time, period);
    if (random_.next_below(20) == 0) {
      add(time, EventType::kMoved);
      watched_since_.reset();
      return time + kRoundTrip;
    }
    if (line >= period.ends) return period.ends;
    add(line + kLineDelay, EventType::kLine);
    return line;
  }
  Instant lose_watch(Instant time, const Period& period) {
    watched_since_.reset();
    Event end{no_earlier_than_last_event(time + kRoundTrip), EventType::kWatchClosed, {}};
    if (period.condition == Condition::kSilent || period.condition == Condition::kCutOff) {
      // A discovery that goes down ends the silent watch before the router does.
      const Instant noticed = events_.back().at + kSilenceTimeout;
      if (noticed < period.ends) end.type = EventType::kWatchSilent;
      end.at = no_earlier_than_last_event(std::min(noticed, period.ends));
      end.silent_since = period.begins;
    }
    events_.push_back(end);
    return end.at + Duration::s(0.15 + 0.3 * random_.next_double());
  }
  static void apply(const Event& event, EndpointLease& lease) {
    switch (event.type) {
      case EventType::kLine:
        return lease.on_line_received(event.at);
      case EventType::kWatchClosed:
      case EventType::kWatchSilent:
        return lease.on_watch_ended(event.at, event.type == EventType::kWatchSilent);
      case EventType::kCallRefused:
        return lease.on_call_refused(event.call_started);
      case EventType::kCallAccepted:
        return lease.on_call_accepted();
      case EventType::kMoved:
        lease.on_discovery_moved(event.at);
        return lease.on_watch_ended(event.at, false);
    }
  }
  static constexpr Duration kSilenceTimeout = Duration::ms(2500);
  static constexpr Duration kRoundTrip = Duration::ms(2), kLineDelay = Duration::ms(20);
  Pcg& random_;
  std::vector<Period> accepting_;  // of the endpoint's processes
  std::vector<Period> periods_;
  std::vector<Event> events_;
  std::optional<Instant> watched_since_;
};

TEST(PushedListLease, AgreesWithReferenceModelOnGeneratedHistories) {
  constexpr int kHistories = 100000;
  LeaseDecisions decisions;
  check_lease<PushedHistory>({kHistories, 8, 59, 8, kGrace, kSendDelay, kMaxNetworkDelay}, decisions);
  EXPECT_GT(decisions.allowed, kHistories);
  EXPECT_GT(decisions.refused, kHistories);
  EXPECT_GT(decisions.extended, kHistories / 1000);
}

}  // namespace
}  // namespace ashbeam::policy
