// Connection pools, one for each endpoint. An attempt is written to a pooled connection or to a new one, and
// ends exactly once; nothing here sends it again.
//
// Order of calls: update() when the endpoint list names an endpoint, send() for each attempt, then cancel()
// at most once, as long as the attempt has not ended. No callback comes while the owner is in a call to this
// object. Units: endpoints by their index, instants of the event loop. Errors: an AttemptResult.
#pragma once
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/limits.hpp"
#include "policy/types.hpp"
#include "protocol/http.hpp"
#include "transport/event_loop.hpp"

namespace ashbeam {

// What the endpoint list says of an endpoint.
struct EndpointPoolUpdate {
  const std::string& address;
  bool process_replaced = false;  // pooled connections lead to another process than the one listed
  bool accepts_attempts = false;  // where not, attempts that are not written yet end
};

class EndpointPools {
 public:
  class PooledConnection;
  // The attempt's end. The answer is valid during the call only, and null where none came.
  using EndCallback = std::function<void(AttemptResult, const http::MessageParser* answer)>;
  // Makes the request's bytes, once its connection is open; `until` is when the attempt is given up.
  using RequestBuilder = std::function<std::string(Instant deadline)>;

  // `connect_timeout` bounds how long an attempt waits to be written.
  EndpointPools(EventLoop& loop, const Limits& limits, Duration connect_timeout);
  ~EndpointPools();
  EndpointPools(const EndpointPools&) = delete;
  EndpointPools& operator=(const EndpointPools&) = delete;

  void update(EndpointIndex endpoint, const EndpointPoolUpdate& update);
  // The connection, for cancel(), is valid until the attempt has ended; null where there is none.
  PooledConnection* send(EndpointIndex endpoint, RequestBuilder build_request, Instant deadline,
                         EndCallback on_end);
  // Gives the attempt up; its end is notified after this returns.
  void cancel(PooledConnection* connection);
  // The same if the attempt is not written completely, so that it has never run; the connection must not be
  // named again. False, and nothing done, where it is too late.
  bool cancel_if_unsent(PooledConnection* connection);
  // Far in the future where it has not opened.
  static Instant opened_at(const PooledConnection* connection);
  Duration connect_timeout() const { return connect_timeout_; }

 private:
  struct Pool {
    std::string address;
    std::vector<PooledConnection*> idle;  // the last used one last: it is taken first, so that others age
    Instant unsolicited_at;               // when the endpoint last sent bytes that answer nothing
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
