// Connection pools, one for each endpoint. An attempt is written to an idle pooled connection or to a new
// one. Each attempt ends exactly once, and is never sent again by this class.
//
// Call update() whenever the endpoint list names an endpoint, and send() for each attempt. cancel() may be
// called at most once for an attempt, before it has ended. No callback is called while the owner is in a call
// to this object. Endpoints are identified by their index; times are instants of the event loop. Errors are
// reported as an AttemptResult.
#pragma once
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/limits.hpp"
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

class EndpointPools {
 public:
  class PooledConnection;
  // Called when the attempt has ended. `answer` is null if there is none, and otherwise valid during the call
  // only.
  using EndCallback = std::function<void(AttemptResult, const http::MessageParser* answer)>;
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
  // Starts an attempt. Returns its connection, for cancel(), which is valid until the attempt has ended; null
  // if no connection could be made or the request must not be sent. `on_end` is called in each case.
  PooledConnection* send(EndpointIndex endpoint, RequestBuilder build_request, Instant deadline,
                         EndCallback on_end);
  // Cancels the attempt. Its EndCallback is called after this function has returned.
  void cancel(PooledConnection* connection);
  // Cancels the attempt if its request has not been written completely, so that the endpoint cannot have run
  // it. Returns false, and does nothing, if it has. After true, `connection` must not be used any more.
  bool cancel_if_unsent(PooledConnection* connection);
  // Returns when the connection was opened; far in the future if it has not been, or is null.
  static Instant opened_at(const PooledConnection* connection);
  Duration connect_timeout() const { return connect_timeout_; }

 private:
  struct Pool {
    std::string address;
    // Ordered by the time of last use. The connection used last is taken first, so that the others reach
    // their idle timeout.
    std::vector<PooledConnection*> idle;
    Instant unsolicited_at;  // when the endpoint last sent bytes that belong to no answer
  };

  Duration settle_time(const Pool& pool) const;
  PooledConnection* take_idle(EndpointIndex endpoint);
  PooledConnection* open_new(EndpointIndex endpoint);
  bool make_room();
  void remove(PooledConnection* connection);

  EventLoop& loop_;
  const Limits& limits_;
  Duration connect_timeout_;
  std::vector<Pool> pools_;  // by EndpointIndex
  std::vector<std::unique_ptr<PooledConnection>> connections_;
};

}  // namespace ashbeam
