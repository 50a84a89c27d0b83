// Tests of the lease on the endpoint list, by single cases and against a reference model. The model knows the
// complete history of discovery and computes from it when each change counts as notified.
#include "policy/endpoint_lease.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <vector>

#include "base/pcg.hpp"

namespace ashbeam::policy {
namespace {

// The send delay of the lease includes 50 ms for the first byte of a line to arrive from discovery.
constexpr Duration kGrace = Duration::s(1), kSendDelay = Duration::ms(450),
                   kMaxNotificationDelay = Duration::s(6);
constexpr Duration kMaxNetworkDelay = Duration::ms(50);
EndpointLeaseSettings default_settings() { return {kMaxNotificationDelay, kGrace, kSendDelay}; }
Instant at(double seconds) { return Instant::at_us(0) + Duration::s(seconds); }

TEST(EndpointLease, IsExpiredUntilListIsConfirmed) {
  EndpointLease lease(default_settings());
  EXPECT_EQ(lease.state(at(0)), LeaseState::kExpired);
  lease.on_discovery_unreachable(at(1));
  EXPECT_EQ(lease.state(at(1)), LeaseState::kExpired);
}

TEST(EndpointLease, CompleteLineRenewsLeaseAndLostWatchMakesItUnconfirmed) {
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

TEST(EndpointLease, IncompleteLineLimitsLeaseToDrainGraceUntilComplete) {
  EndpointLease lease(default_settings());
  lease.on_line_received(at(10));
  lease.on_line_started(at(11));
  lease.on_line_started(at(11.3));
  EXPECT_EQ(lease.valid_until(), at(11) + kGrace - kSendDelay);
  EXPECT_EQ(lease.blocked_from(), lease.valid_until());
  lease.on_watch_lost();  // The rest of the line may never arrive, so the limit stays.
  EXPECT_EQ(lease.valid_until(), at(11) + kGrace - kSendDelay);
  lease.on_line_received(at(12));
  EXPECT_EQ(lease.blocked_from(), Instant::never());
  EXPECT_EQ(lease.confirmed_at(), at(11));  // The time at which the line was written.
}

TEST(EndpointLease, UnreachableDiscoveryRenewsValidLeaseButNotExpiredOne) {
  EndpointLease lease(default_settings());
  lease.on_line_received(at(10));
  lease.on_discovery_unreachable(at(14));
  EXPECT_EQ(lease.valid_until(), at(14) + kMaxNotificationDelay + kGrace - kSendDelay);
  EXPECT_FALSE(lease.may_extend_validity(at(12)));  // An unreachable discovery does not confirm the list.
  lease.on_discovery_unreachable(at(30));
  EXPECT_EQ(lease.state(at(30)), LeaseState::kExpired);
}

// The generated history of one endpoint, whose process drains and is replaced by another at the same address,
// and of a watch that lags, stalls in the middle of a line, ends or stops sending. The history is complete
// before the lease is tested, so the model knows all of it.
struct Process {
  Instant begins, drains, ends;  // Accepts requests from `begins` until `drains`.
};
struct Line {
  Instant written, first_byte, complete;  // `complete` is never if the line stalls.
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
    for (Instant time = at(0); time < at(kLength);)
      time = watch(time) + Duration::s(25 * random_.next_double() * random_.next_double());
  }
  const std::vector<Line>& lines() const { return lines_; }
  // Returns the process that accepts requests at this time, or nullptr.
  const Process* accepting(Instant time) const {
    for (const Process& process : processes_) {
      if (process.begins <= time && time < process.drains) return &process;
    }
    return nullptr;
  }
  // Returns when the first drain that is not in the list received by `now` counts as notified, or nothing if
  // the list is up to date.
  std::optional<Instant> notified(Instant now) const {
    Instant list_written = at(-1);  // When the list received last was written.
    for (const Line& line : lines_) {
      if (line.complete <= now) list_written = line.written;
    }
    for (const Process& process : processes_) {
      if (process.drains <= list_written) continue;
      Instant notified = process.drains + kMaxNotificationDelay;
      for (const Line& line : lines_) {
        if (line.written >= process.drains) notified = std::min(notified, line.first_byte);
      }
      return notified;
    }
    return std::nullopt;
  }
  static constexpr double kLength = 60;

 private:
  // Generates one watch, which sends a line at each change and every 2 s until it ends. Returns when it ends.
  Instant watch(Instant from) {
    const Instant until = from + Duration::s(10 * random_.next_double());
    for (Instant time = from; time < until;) {
      const bool stalls = random_.next_double() < 0.05;
      const Instant first_byte = time + Duration::ms(20 * random_.next_double());
      lines_.push_back({time, first_byte,
                        stalls ? Instant::never() : first_byte + Duration::ms(300 * random_.next_double())});
      if (stalls) return first_byte + Duration::s(2.5);
      Instant next = time + Duration::s(2);
      for (const Process& process : processes_) {
        if (process.drains > time) next = std::min(next, process.drains);
        if (process.begins > time) next = std::min(next, process.begins);
      }
      time = std::max(next, lines_.back().complete);
    }
    return std::max(until, lines_.back().complete);
  }
  Pcg& random_;
  std::vector<Process> processes_;
  std::vector<Line> lines_;
};

// Returns the lease after the lines that have been received by `now`.
EndpointLease lease_at(const History& history, Instant now) {
  EndpointLease lease(default_settings());
  for (const Line& line : history.lines()) {
    if (line.first_byte <= now) lease.on_line_started(line.first_byte);
    if (line.complete <= now) lease.on_line_received(line.complete);
  }
  return lease;
}

TEST(EndpointLease, AgreesWithReferenceModelOnGeneratedHistories) {
  constexpr int kHistories = 100000, kSamplesPerHistory = 4;
  Pcg random(34);
  int allowed = 0, refused = 0, extended = 0;
  for (int i = 0; i < kHistories; ++i) {
    const History history(random);
    for (int sample = 0; sample < kSamplesPerHistory; ++sample) {
      const Instant now = at(History::kLength * random.next_double());
      const EndpointLease lease = lease_at(history, now);
      Instant until = lease.valid_until();
      // An answer to an earlier request, on a connection that was opened before the request.
      const Instant opened = now - Duration::s(12 * random.next_double());
      const Instant sent = opened + (now - opened) * random.next_double();
      const Process* const process = history.accepting(opened);
      const bool answered = process && sent < process->drains;
      if (answered && lease.may_extend_validity(opened)) {
        const Instant by_answer = std::min(lease.valid_until_after_answer(sent), lease.blocked_from());
        extended += by_answer > std::max(until, now);
        until = std::max(until, by_answer);
      }
      const auto notified = history.notified(now);
      if (now < until) {
        ++allowed;
        if (notified) {
          ASSERT_LE(now + kSendDelay - kMaxNetworkDelay, *notified + kGrace) << "history " << i;
        }
      } else {
        ++refused;
      }
    }
  }
  // The generated histories reach each of the three cases often.
  EXPECT_GT(allowed, kHistories);
  EXPECT_GT(refused, kHistories / 10);
  EXPECT_GT(extended, kHistories / 1000);
}

}  // namespace
}  // namespace ashbeam::policy
