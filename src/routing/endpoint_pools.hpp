// Connection pools, one for each endpoint. An attempt is written to an idle pooled connection or to a new
// one. Each attempt ends exactly once, and is never sent again by this class.
//
// Call update() whenever the endpoint list names an endpoint, and send() for each attempt. No callback is
// called while the owner is in a call to this object, so an attempt may have ended before its EndCallback is
// called: cancel() and cancel_if_unsent() do nothing then. Endpoints are identified by their index; times are
// instants of the event loop. Errors are reported as an AttemptResult.
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/byte_budget.hpp"
#include "base/limits.hpp"
#include "base/slab.hpp"
#include "policy/types.hpp"
#include "protocol/http.hpp"
#include "transport/event_loop.hpp"

namespace ashbeam {

// The state of an endpoint in the endpoint list, as far as connections depend on it.
struct EndpointPoolUpdate {
  const std::string& address;
  bool process_replaced = false;  // pooled connections lead to another process than the listed one
  bool accepts_attempts = false;  // if false, attempts that have not been written completely end
};

// Names one attempt of EndpointPools, also after it has ended. The default value names none.
struct AttemptHandle {
  std::uint32_t slot = 0;
  std::uint64_t serial_number = 0;  // 0: none
};

// What became of an attempt.
struct AttemptResponse {
  AttemptResult result = AttemptResult::kCancelled;
  const http::MessageParser* answer = nullptr;  // null if there is none; valid during the callback only
  Instant connected_at = Instant::never();      // when its connection was opened
};

class EndpointPools {
 public:
  using EndCallback = std::function<void(const AttemptResponse&)>;
  // Returns the bytes of the request; none if it must not be sent any more, which ends the attempt as
  // cancelled before sent. Called once the attempt's connection is open; the attempt is given up at
  // `deadline`.
  using RequestBuilder = std::function<std::optional<std::string>(Instant deadline)>;

  // `connect_timeout` is the longest time that an attempt waits for its connection.
  EndpointPools(EventLoop& loop, const Limits& limits, Duration connect_timeout);
  ~EndpointPools();
  EndpointPools(const EndpointPools&) = delete;
  EndpointPools& operator=(const EndpointPools&) = delete;

  // Closes idle connections that may not be used any more, and ends unwritten attempts that may not be sent.
  void update(EndpointIndex endpoint, const EndpointPoolUpdate& update);
  // Starts an attempt. `on_end` is called once, also if no connection could be made.
  AttemptHandle send(EndpointIndex endpoint, RequestBuilder build_request, Instant deadline,
                     EndCallback on_end);
  // From now on attempts use idle connections that were opened until `opened_until` before others: only their
  // answers show that the listed process has accepted a request (see EndpointListLease). Instant() stands for
  // no preference.
  void prefer_connections(Instant opened_until) { preferred_opened_until_ = opened_until; }
  // Cancels the attempt. Its EndCallback is called after this function has returned.
  void cancel(AttemptHandle attempt);
  // Cancels the attempt if its request has not been written completely, so that the endpoint cannot have run
  // it.
  void cancel_if_unsent(AttemptHandle attempt);
  Duration connect_timeout() const { return connect_timeout_; }

 private:
  class PooledConnection;
  struct InFlightAttempt {
    PooledConnection* connection = nullptr;
    std::uint64_t serial_number = 0;
  };
  struct Pool {
    std::string address;
    // Ordered by the time of last use. The connection used last is taken first, so that the others reach
    // their idle timeout.
    std::vector<PooledConnection*> idle;
    Instant unsolicited_at;  // when the endpoint last sent bytes that belong to no answer
  };

  // Frees memory until the incomplete answers are within Limits::max_endpoint_answer_bytes: the attempts with
  // the largest ones are cancelled.
  void reduce_answers();
  Duration settle_time(const Pool& pool) const;
  // Returns an idle connection that was opened until `opened_until` and may be used, or nullptr.
  PooledConnection* take_idle(EndpointIndex endpoint, Instant opened_until);
  PooledConnection* open_new(EndpointIndex endpoint);
  bool make_room();
  AttemptHandle add_attempt(PooledConnection* connection);
  void remove_attempt(AttemptHandle attempt);
  // Returns null if the attempt has ended.
  PooledConnection* connection_of(AttemptHandle attempt);
  void remove(PooledConnection* connection);

  EventLoop& loop_;
  const Limits& limits_;
  Duration connect_timeout_;
  ByteBudget answer_budget_;
  std::vector<Pool> pools_;  // by EndpointIndex
  std::vector<std::unique_ptr<PooledConnection>> connections_;
  Slab<InFlightAttempt> attempts_;
  std::uint64_t last_serial_number_ = 0;
  Instant preferred_opened_until_;
};

}  // namespace ashbeam
