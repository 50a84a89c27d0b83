// The connection to the release platform: subscribed to its notifications, it takes this router's votes, and
// is opened anew with a growing backoff when it breaks or falls silent. A vote is written once; its outcome
// is notified once.
//
// Order of calls: start() once, then vote() at any time; retire() ends it. No callback comes while the owner
// is in a call to this object. Units: as in Limits. Errors: a VoteOutcome for a vote; the loss and the return
// of the connection are logged. Source: JSON-RPC 2.0, a message a line; the protocol's release pages.
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
    // A notification. False where it can't be read, so that the connection is of no further use.
    std::function<bool(const std::string& method, const Json& params)> on_notification;
    // A vote's outcome, with the release's state where it is kAccepted. False as above.
    std::function<bool(VoteOutcome outcome, const Json* state)> on_vote_outcome;
    // Once when the connection is lost, once when it stands again.
    std::function<void(const std::string& line)> log;
  };
  // `seed`: for the jitter of the backoff.
  ReleaseClient(EventLoop& loop, const Limits& limits, std::string address, std::uint64_t seed,
                Callbacks callbacks);
  void start() { open(); }
  void vote(ReleaseVersion version, unsigned stage, Vote vote);
  // The platform is elsewhere from now on: no more notifications from here and no new connection. Calls
  // `on_retired`, after this returns, once every vote cast here has its outcome.
  void retire(std::function<void()> on_retired);

 private:
  struct Call {
    std::uint64_t id = 0;
    bool awaits_outcome = false;  // of a vote; false too once its answer is given up
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
  std::deque<Call> calls_;  // written, not answered; the oldest first
  std::uint64_t next_call_id_ = 1;
  bool connected_ = false;
  unsigned failed_connections_ = 0;  // since it was lost
  Duration backoff_;
  std::function<void()> on_retired_;  // set once it is retired
  Timer silence_timer_;
  Timer reconnect_timer_;
  Timer answer_timer_;
};

}  // namespace ashbeam
