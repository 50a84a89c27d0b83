// The lease on the endpoint list, alone and against a plain model that computes from a written history when
// each change counts as notified.
#include "policy/endpoint_lease.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <vector>

#include "base/pcg.hpp"

namespace ashbeam::policy {
namespace {

// Of the lease's delay, 50 ms are for a first byte on its way from discovery.
constexpr Duration kGrace = Duration::s(1), kSendDelay = Duration::ms(450),
                   kMaxNotificationDelay = Duration::s(6);
constexpr Duration kLongestOnItsWay = Duration::ms(50);
EndpointLeaseSettings default_settings() { return {kMaxNotificationDelay, kGrace, kSendDelay}; }
Instant at(double seconds) { return Instant::at_us(0) + Duration::s(seconds); }

TEST(EndpointLease, AListThatNothingConfirmedIsExpiredFromTheStart) {
  EndpointLease lease(default_settings());
  EXPECT_EQ(lease.state(at(0)), LeaseState::kExpired);
  lease.on_discovery_unreachable(at(1));
  EXPECT_EQ(lease.state(at(1)), LeaseState::kExpired);
}

TEST(EndpointLease, EachWholeLineRenewsItAndItsStatesFollow) {
  EndpointLease lease(default_settings());
  lease.on_line_received(at(10));
  EXPECT_EQ(lease.state(at(12)), LeaseState::kFresh);
  lease.on_watch_lost();
  EXPECT_EQ(lease.state(at(12)), LeaseState::kUnconfirmed);
  EXPECT_EQ(lease.valid_until(), at(10) + kMaxNotificationDelay + kGrace - kSendDelay);
  EXPECT_EQ(lease.state(lease.valid_until()), LeaseState::kExpired);
  lease.on_line_received(at(20));
  EXPECT_EQ(lease.state(at(20)), LeaseState::kFresh);
}

TEST(EndpointLease, WhatHasBegunToComeCountsFromItsFirstByteUntilALineIsWhole) {
  EndpointLease lease(default_settings());
  lease.on_line_received(at(10));
  lease.on_line_started(at(11));
  lease.on_line_started(at(11.3));
  EXPECT_EQ(lease.valid_until(), at(11) + kGrace - kSendDelay);
  EXPECT_EQ(lease.blocked_from(), lease.valid_until());
  lease.on_watch_lost();  // the rest may never come: that frees nothing
  EXPECT_EQ(lease.valid_until(), at(11) + kGrace - kSendDelay);
  lease.on_line_received(at(12));
  EXPECT_EQ(lease.blocked_from(), Instant::never());
  EXPECT_EQ(lease.confirmed_at(), at(11));  // as it was written
}

TEST(EndpointLease, WhileDiscoveryRefusesConnectionsARunningLeaseGoesOnAndAnExpiredOneDoesNot) {
  EndpointLease lease(default_settings());
  lease.on_line_received(at(10));
  lease.on_discovery_unreachable(at(14));
  EXPECT_EQ(lease.valid_until(), at(14) + kMaxNotificationDelay + kGrace - kSendDelay);
  EXPECT_FALSE(lease.may_extend_validity(at(12)));  // that is no confirmation
  lease.on_discovery_unreachable(at(30));
  EXPECT_EQ(lease.state(at(30)), LeaseState::kExpired);
}

// One endpoint whose process drains and is followed by another at the same address, and a watch that lags,
// stalls in the middle of a line, ends or falls silent. All that is known to the model is written down first.
struct Process {
  Instant begins, drains, ends;  // accepts requests from the first until the second
};
struct Line {
  Instant written, first_byte, whole;  // whole: never where it stalls
};

class History {
 public:
  explicit History(Pcg& chance) : chance_(chance) {
    for (Instant t = at(0); t < at(kLength);) {
      Process process{t, t + Duration::s(1 + 12 * chance_.next_double()), {}};
      process.ends = process.drains + Duration::s(1.5 + chance_.next_double());
      processes_.push_back(process);
      t = process.ends + Duration::s(1.2 + chance_.next_double());
    }
    for (Instant t = at(0); t < at(kLength);)
      t = watch(t) + Duration::s(25 * chance_.next_double() * chance_.next_double());
  }
  const std::vector<Line>& lines() const { return lines_; }
  const Process* accepting(Instant t) const {
    for (const Process& p : processes_) {
      if (p.begins <= t && t < p.drains) return &p;
    }
    return nullptr;
  }
  // The first drain that the list as had by then does not tell of, and when that counts as notified.
  std::optional<Instant> notified(Instant now) const {
    Instant had = at(-1);  // the list as of then
    for (const Line& line : lines_) {
      if (line.whole <= now) had = line.written;
    }
    for (const Process& p : processes_) {
      if (p.drains <= had) continue;
      Instant notified = p.drains + kMaxNotificationDelay;
      for (const Line& line : lines_) {
        if (line.written >= p.drains) notified = std::min(notified, line.first_byte);
      }
      return notified;
    }
    return std::nullopt;
  }
  static constexpr double kLength = 60;

 private:
  // One watch: a line at each change and every 2 s, until it ends. Returns when.
  Instant watch(Instant from) {
    const Instant until = from + Duration::s(10 * chance_.next_double());
    for (Instant t = from; t < until;) {
      const bool stalls = chance_.next_double() < 0.05;
      const Instant first_byte = t + Duration::ms(20 * chance_.next_double());
      lines_.push_back({t, first_byte,
                        stalls ? Instant::never() : first_byte + Duration::ms(300 * chance_.next_double())});
      if (stalls) return first_byte + Duration::s(2.5);
      Instant next = t + Duration::s(2);
      for (const Process& p : processes_) {
        if (p.drains > t) next = std::min(next, p.drains);
        if (p.begins > t) next = std::min(next, p.begins);
      }
      t = std::max(next, lines_.back().whole);
    }
    return std::max(until, lines_.back().whole);
  }
  Pcg& chance_;
  std::vector<Process> processes_;
  std::vector<Line> lines_;
};

// The lease as it stands at a time, from the lines up to then.
EndpointLease lease_at(const History& history, Instant now) {
  EndpointLease lease(default_settings());
  for (const Line& line : history.lines()) {
    if (line.first_byte <= now) lease.on_line_started(line.first_byte);
    if (line.whole <= now) lease.on_line_received(line.whole);
  }
  return lease;
}

TEST(EndpointLease, AgreesWithThePlainModelOnGeneratedHistories) {
  constexpr int kHistories = 100000, kLooks = 4;
  Pcg chance(34);
  int allowed = 0, refused = 0, vouched = 0;
  for (int i = 0; i < kHistories; ++i) {
    const History history(chance);
    for (int look = 0; look < kLooks; ++look) {
      const Instant now = at(History::kLength * chance.next_double());
      const EndpointLease lease = lease_at(history, now);
      Instant until = lease.valid_until();
      // An answer to an earlier request, on a connection that was open before.
      const Instant opened = now - Duration::s(12 * chance.next_double());
      const Instant sent = opened + (now - opened) * chance.next_double();
      const Process* const process = history.accepting(opened);
      const bool answered = process && sent < process->drains;
      if (answered && lease.may_extend_validity(opened)) {
        const Instant by_answer = std::min(lease.valid_until_after_answer(sent), lease.blocked_from());
        vouched += by_answer > std::max(until, now);
        until = std::max(until, by_answer);
      }
      const auto notified = history.notified(now);
      if (now < until) {
        ++allowed;
        if (notified) {
          ASSERT_LE(now + kSendDelay - kLongestOnItsWay, *notified + kGrace) << "history " << i;
        }
      } else {
        ++refused;
      }
    }
  }
  // All three have been met often.
  EXPECT_GT(allowed, kHistories);
  EXPECT_GT(refused, kHistories / 10);
  EXPECT_GT(vouched, kHistories / 1000);
}

}  // namespace
}  // namespace ashbeam::policy
