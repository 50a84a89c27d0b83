// The client of the release platform. It keeps one connection open, which is subscribed to the platform's
// notifications and sends this router's votes. If the connection is lost or sends nothing, it is opened again
// with an exponential backoff. A vote is written once, and its outcome is reported once.
//
// Call start() once, and then vote() at any time. retire() ends the use of the object. No callback is called
// while the owner is in a call to this object. Limits and timeouts are those of Limits. The result of a vote
// is a VoteOutcome; the loss of the connection and its return are logged. Source: JSON-RPC 2.0 with one
// message per line; the protocol's release pages.
#pragma once
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/limits.hpp"
#include "base/pcg.hpp"
#include "policy/types.hpp"
#include "protocol/json.hpp"
#include "protocol/lines.hpp"
#include "transport/connection.hpp"
#include "transport/event_loop.hpp"

namespace ashbeam {

class ReleaseClient : private Connection::Owner {
 public:
  struct Callbacks {
    // Called with each notification. A false result says that it is malformed; the connection is then closed
    // and opened again.
    std::function<bool(const std::string& method, const Json& params)> on_notification;
    // Called with the outcome of each vote. `state` is the state of the release if the outcome is kAccepted,
    // otherwise null. A false result means the same as that of on_notification.
    std::function<bool(VoteOutcome outcome, const Json* state)> on_vote_outcome;
    // Called with a log line once when the connection is lost, and once when it is open again.
    std::function<void(const std::string& line)> log;
  };
  // `seed` seeds the jitter of the backoff.
  ReleaseClient(EventLoop& loop, const Limits& limits, std::string address, std::uint64_t seed,
                Callbacks callbacks);
  // Opens the connection.
  void start() { open(); }
  // Sends a vote on a stage of a release. Without a connection its outcome is kFailed.
  void vote(ReleaseVersion version, unsigned stage, Vote vote);
  // Called when the address of the platform has changed. From now on no notification is reported and no new
  // connection is opened. `on_retired` is called, after this function has returned, once every vote of this
  // object has its outcome.
  void retire(std::function<void()> on_retired);

 private:
  struct Call {
    std::uint64_t id = 0;
    bool awaits_outcome = false;  // a vote whose outcome has not been reported yet
    Instant deadline;
  };
  enum class CallKind : std::uint8_t { kSubscribe, kVote };
  enum class LossReason : std::uint8_t { kClosed, kSilent, kInvalidMessage };
  static const char* name_of(LossReason reason);

  // Connection::Owner.
  void on_connected() override;
  void on_data() override;
  void on_closed() override { on_lost(LossReason::kClosed); }

  void open();
  void close();
  void on_lost(LossReason reason);
  void call(const char* method, const std::string& params, CallKind kind);
  bool on_line(std::string_view line);
  bool on_answer(const Json& answer);
  void on_established();
  void expire_overdue_calls();
  void finish_if_retired();

  EventLoop& loop_;
  const Limits& limits_;
  std::string address_;
  Pcg random_;
  Callbacks callbacks_;
  std::unique_ptr<Connection> connection_;
  LineReader lines_;
  std::deque<Call> calls_;  // written and not answered; the oldest first
  std::uint64_t next_call_id_ = 1;
  bool connected_ = false;
  unsigned failed_connections_ = 0;  // since the last message from the platform
  Duration backoff_;
  std::function<void()> on_retired_;  // set by retire() until it has been called
  Timer silence_timer_;
  Timer reconnect_timer_;
  Timer answer_timer_;
};

}  // namespace ashbeam
