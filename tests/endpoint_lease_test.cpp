// Tests of the lease on the endpoint list, by single cases and against a reference model. The model knows the
// complete history of discovery and computes from it when each change counts as notified.
#include "policy/endpoint_lease.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <vector>

#include "base/pcg.hpp"
#include "lease_history_check.hpp"

namespace ashbeam::policy {
namespace {

// The send delay of the lease includes 50 ms for the first byte of a line to arrive from discovery.
constexpr Duration kGrace = Duration::s(1), kSendDelay = Duration::ms(450),
                   kMaxNotificationDelay = Duration::s(6);
constexpr Duration kMaxNetworkDelay = Duration::ms(50), kUsableGrace = kGrace - kSendDelay;
constexpr Duration kMaxNotificationDelayAfterMove = Duration::s(4);
EndpointLeaseSettings default_settings() {
  return {kMaxNotificationDelay, kMaxNotificationDelayAfterMove, kGrace, kSendDelay};
}
Instant at(double seconds) { return Instant::at_us(0) + Duration::s(seconds); }

TEST(EndpointLease, IsExpiredUntilListIsConfirmed) {
  EndpointLease lease(default_settings());
  EXPECT_EQ(lease.state(at(0)), LeaseState::kExpired);
  lease.on_watch_ended(at(1), false);
  EXPECT_EQ(lease.state(at(1)), LeaseState::kExpired);
}

TEST(EndpointLease, CompleteLineRenewsLeaseAndLostWatchMakesItUnconfirmed) {
  EndpointLease lease(default_settings());
  lease.on_line_received(at(10));
  EXPECT_EQ(lease.state(at(12)), LeaseState::kFresh);
  lease.on_watch_ended(at(12), false);
  EXPECT_EQ(lease.state(at(12)), LeaseState::kUnconfirmed);
  const Instant valid_until = lease.validity().valid_until;
  EXPECT_EQ(valid_until, at(10) + kMaxNotificationDelay + kUsableGrace);
  EXPECT_EQ(lease.state(valid_until), LeaseState::kExpired);
  lease.on_line_received(at(20));
  EXPECT_EQ(lease.state(at(20)), LeaseState::kFresh);
}

TEST(EndpointLease, IncompleteLineLimitsLeaseToDrainGraceUntilComplete) {
  EndpointLease lease(default_settings());
  lease.on_line_received(at(10));
  lease.on_line_started(at(11));
  lease.on_line_started(at(11.3));
  EXPECT_EQ(lease.validity().valid_until, at(11) + kUsableGrace);
  EXPECT_EQ(lease.validity().blocked_from, lease.validity().valid_until);
  lease.on_watch_ended(at(11.4), true);  // The rest of the line may never arrive, so the limit stays.
  EXPECT_EQ(lease.validity().valid_until, at(11) + kUsableGrace);
  lease.on_line_received(at(12));
  EXPECT_EQ(lease.validity().blocked_from, Instant::never());
  EXPECT_EQ(lease.confirmed_at(), at(11));  // The time at which the line was written.
}

TEST(EndpointLease, FailedCallsRenewNothing) {
  EndpointLease lease(default_settings());
  lease.on_line_received(at(10));
  for (const double time : {11.0, 11.3, 14.0}) lease.on_watch_ended(at(time), false);
  EXPECT_EQ(lease.validity().valid_until, at(10) + kMaxNotificationDelay + kUsableGrace);
  EXPECT_FALSE(lease.is_listed_process(at(12)));  // An unreachable discovery does not confirm the list.
  lease.on_watch_ended(at(30), false);
  EXPECT_EQ(lease.state(at(30)), LeaseState::kExpired);
}

// Guards against answers that extend validity beyond the notification of a drain that a silent watch missed.
TEST(EndpointLease, AnswersExtendValidityByTheGraceOnlyUntilChangesOfASilentWatchCountAsNotified) {
  EndpointLease lease(default_settings());
  lease.on_line_received(at(10));
  lease.on_watch_ended(at(12.5), true);
  const EndpointListValidity validity = lease.validity();
  EXPECT_EQ(validity.valid_until, at(10) + kMaxNotificationDelay + kUsableGrace);
  // The watch may have fallen silent at any time until it was closed.
  const Instant missed_until = at(12.5) + kMaxNotificationDelay;
  const Instant before = missed_until - Duration::ms(1);
  EXPECT_EQ(validity.extended_until(at(12)), at(12) + kUsableGrace);
  EXPECT_EQ(validity.extended_until(before), before + kUsableGrace);
  EXPECT_EQ(validity.extended_until(missed_until), missed_until + kMaxNotificationDelay + kUsableGrace);
}

TEST(EndpointLease, AnswersExtendValidityAfterAWatchThatDiscoveryHasEnded) {
  EndpointLease lease(default_settings());
  lease.on_line_received(at(10));
  EXPECT_EQ(lease.validity().extended_until(at(11.9)), at(11.9) + kUsableGrace);
  lease.on_watch_ended(at(12), false);
  EXPECT_EQ(lease.validity().extended_until(at(11.9)), at(11.9) + kUsableGrace);
  EXPECT_EQ(lease.validity().extended_until(at(12)), at(12) + kMaxNotificationDelay + kUsableGrace);
  lease.on_watch_ended(at(14), true);  // A call that never became a watch has missed nothing.
  EXPECT_EQ(lease.validity().extended_until(at(12)), at(12) + kMaxNotificationDelay + kUsableGrace);
}

// Guards against a lease that counts on beyond the notification of what the former address had to announce.
TEST(EndpointLease, NewAddressOfDiscoveryEndsLeaseEarlierUntilALineIsReceived) {
  EndpointLease lease(default_settings());
  lease.on_line_received(at(10));
  lease.on_discovery_moved(at(11));
  lease.on_watch_ended(at(11), false);
  lease.on_discovery_moved(at(12));  // The first change of the address counts, too.
  const Instant first_notified = at(11) + kMaxNotificationDelayAfterMove;
  const Instant last_notified = at(12) + kMaxNotificationDelayAfterMove;
  EXPECT_EQ(lease.validity().valid_until, first_notified + kUsableGrace);
  EXPECT_EQ(lease.validity().extended_until(first_notified), first_notified + kUsableGrace);
  EXPECT_EQ(lease.validity().extended_until(last_notified),
            last_notified + kMaxNotificationDelay + kUsableGrace);
  lease.on_line_received(at(13));
  EXPECT_EQ(lease.validity().valid_until, at(13) + kMaxNotificationDelay + kUsableGrace);
}

// The generated history of one endpoint, whose process drains and is replaced by another at the same address,
// and of watches that lag, stall in the middle of a line, stop sending, or are ended by discovery or by a
// change of its address. The history is complete before the lease is tested, so the model knows all of it.
struct Process {
  Instant begins, drains, ends;  // Accepts requests from `begins` until `drains`.
};
struct Line {
  Instant written, first_byte, complete;  // `complete` is never if the line stalls.
};
struct Watch {
  std::vector<Line> lines;
  Instant silent_from = Instant::never();  // From when it missed changes, or never if discovery ended it.
  Instant ends;                            // When the router notices its end, or closes it.
  bool ended_by_move = false;              // The address of discovery is changed then.
  Instant next_watch;
};

class History {
 public:
  explicit History(Pcg& random) : random_(random) {
    for (Instant time = at(0); time < at(kLength);) {
      Process process{time, time + Duration::s(1 + 12 * random_.next_double()), {}};
      process.ends = process.drains + Duration::s(1.5 + random_.next_double());
      processes_.push_back(process);
      time = process.ends + Duration::s(1.2 + random_.next_double());
    }
    for (Instant time = at(0); time < at(kLength); time = watches_.back().next_watch) add_watch(time);
  }
  // Returns whether one process accepted requests from `from` to `to`.
  bool accepts(Instant from, Instant to) const {
    return std::any_of(processes_.begin(), processes_.end(), [&](const Process& process) {
      return process.begins <= from && from < process.drains && to < process.drains;
    });
  }
  // Returns the lease after the events until `now`.
  EndpointLease lease_at(Instant now) const {
    EndpointLease lease(default_settings());
    for (const Watch& watch : watches_) {
      for (const Line& line : watch.lines) {
        if (line.first_byte <= now) lease.on_line_started(line.first_byte);
        if (line.complete <= now) lease.on_line_received(line.complete);
      }
      if (watch.ends > now) break;
      if (watch.ended_by_move) lease.on_discovery_moved(watch.ends);
      lease.on_watch_ended(watch.ends, watch.silent_from < Instant::never());
    }
    return lease;
  }
  // Returns when the first drain that is not in the list received by `now` counts as notified, or nothing if
  // the list is up to date.
  std::optional<Instant> notified(Instant now) const {
    Instant list_written = at(-1);  // When the list received last was written.
    for (const Watch& watch : watches_) {
      for (const Line& line : watch.lines) {
        if (line.complete <= now) list_written = line.written;
      }
    }
    for (const Process& process : processes_) {
      if (process.drains > list_written) return notified(process.drains, list_written);
    }
    return std::nullopt;
  }
  static constexpr double kLength = 60;

 private:
  Instant notified(Instant drains, Instant list_written) const {
    Instant notified = drains + kMaxNotificationDelay;
    for (const Watch& watch : watches_) {
      const Instant missed_until = watch.silent_from + kMaxNotificationDelay;
      if (watch.silent_from >= list_written && watch.silent_from <= drains && drains <= missed_until)
        notified = std::min(notified, missed_until);
      const Instant notified_by_move = watch.ends + kMaxNotificationDelayAfterMove;
      if (watch.ended_by_move && watch.ends >= list_written && drains <= notified_by_move)
        notified = std::min(notified, notified_by_move);
      for (const Line& line : watch.lines) {
        if (line.written >= drains) notified = std::min(notified, line.first_byte);
      }
    }
    return notified;
  }
  // Generates one watch, which sends a line at each change and every 2 s until its end, and the time until
  // the next one.
  void add_watch(Instant from) {
    Watch watch;
    const Instant until = from + Duration::s(10 * random_.next_double());
    const bool stalls = add_lines(watch, from, until);
    const bool silent = stalls || random_.next_double() < 0.5;
    const Line& last = watch.lines.back();
    if (silent) watch.silent_from = stalls ? last.written : std::max(until, last.written);
    watch.ends = silent ? (stalls ? last.first_byte : last.complete) + kSilenceTimeout
                        : std::max(until, last.complete);
    watch.ended_by_move = random_.next_double() < 0.2;
    watch.next_watch = watch.ends + Duration::s(25 * random_.next_double() * random_.next_double());
    watches_.push_back(watch);
  }
  // Returns whether the last line stalls.
  bool add_lines(Watch& watch, Instant from, Instant until) {
    for (Instant time = from; time < until;) {
      const bool stalls = random_.next_double() < 0.05;
      const Instant first_byte = time + Duration::ms(20 * random_.next_double());
      const Instant complete = first_byte + Duration::ms(300 * random_.next_double());
      watch.lines.push_back({time, first_byte, stalls ? Instant::never() : complete});
      if (stalls) return true;
      Instant next = time + Duration::s(2);
      for (const Process& process : processes_) {
        if (process.drains > time) next = std::min(next, process.drains);
        if (process.begins > time) next = std::min(next, process.begins);
      }
      time = std::max(next, complete);
    }
    return false;
  }
  static constexpr Duration kSilenceTimeout = Duration::ms(2500);
  Pcg& random_;
  std::vector<Process> processes_;
  std::vector<Watch> watches_;
};

TEST(EndpointLease, AgreesWithReferenceModelOnGeneratedHistories) {
  constexpr int kHistories = 100000;
  LeaseDecisions decisions;
  check_lease<History>({kHistories, 4, 34, 12, kGrace, kSendDelay, kMaxNetworkDelay}, decisions);
  // The generated histories reach each of the three cases often.
  EXPECT_GT(decisions.allowed, kHistories);
  EXPECT_GT(decisions.refused, kHistories / 10);
  EXPECT_GT(decisions.extended, kHistories / 1000);
}

}  // namespace
}  // namespace ashbeam::policy
