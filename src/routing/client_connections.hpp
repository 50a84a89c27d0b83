// The client side of the router: the listeners, and the table of client connections with its limits.
//
// The constructor opens the plain listener, and connections are accepted from then on. Call listen_with_tls()
// if there is a TLS listener. To shut down, call begin_shutdown() once, and then close_listeners() and
// close_idle() repeatedly until empty() returns true. No callback is called while the owner is in a call to
// this object or to one of its connections. The constructor and listen_with_tls() throw Poco::Exception if
// they cannot listen at the address. Limits and timeouts are those of Limits.
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/byte_budget.hpp"
#include "base/limits.hpp"
#include "protocol/http.hpp"
#include "routing/client_connection.hpp"
#include "transport/event_loop.hpp"
#include "transport/listener.hpp"

namespace ashbeam {

class ClientConnections {
 public:
  struct Callbacks {
    // Called with each complete request, which has to be answered on its connection, at once or later.
    std::function<void(ClientConnection&, http::MessageParser&)> on_request;
    // Called when the client has closed the connection before its request was answered. The connection must
    // not be used after this call.
    std::function<void(ClientConnection&)> on_client_closed;
    // Called when the client has sent more than its request before the answer. The connection then answers
    // the request with an error itself.
    std::function<void(ClientConnection&)> on_surplus_input;
    // Called if the request has not been answered by the instant given to set_answer_deadline().
    std::function<void(ClientConnection&)> on_answer_deadline;
  };
  // Makes the server side of TLS for an accepted socket. A null result refuses the connection.
  using TlsStreamFactory = std::function<std::unique_ptr<TlsStream>(int fd)>;

  ClientConnections(EventLoop& loop, const Limits& limits, const std::string& address, Callbacks callbacks);

  // Opens a second listener, whose connections use TLS. A handshake must be complete within the duration that
  // `handshake_timeout` returns.
  void listen_with_tls(const std::string& address, TlsStreamFactory make_tls_stream,
                       std::function<Duration()> handshake_timeout);
  std::uint16_t port() const { return listener_.port(); }
  // Returns 0 if there is no TLS listener.
  std::uint16_t tls_port() const { return tls_listener_ ? tls_listener_->port() : 0; }

  // From now on each connection is closed after its next answer.
  void begin_shutdown() { shutting_down_ = true; }
  // Closes the listeners once every connection in the kernel's accept queues has been accepted and no new one
  // has arrived for Limits::shutdown_quiet_period. Returns false if that is not the case yet.
  bool close_listeners();
  // Closes the connections that are between requests, and those that have sent no request for
  // Limits::min_idle_before_close; a first request may still be on its way on a newer one.
  void close_idle();
  // Returns whether no connection is left. A connection is removed only after its last answer has been read,
  // as far as that can be observed, or after a timeout.
  bool empty() const { return connections_.empty(); }
  // Returns how many connections have been closed between requests so far.
  std::size_t idle_close_count() const { return idle_closes_; }
  // Returns on how many of those a request arrived after the close. Its client has to send it again on
  // another connection.
  std::size_t idle_close_with_request_count() const { return idle_closes_with_request_; }

 private:
  friend class ClientConnection;
  // The order in which connections are closed to make room for new ones.
  struct EvictionRank {
    bool kept_alive = false;  // see ClientConnection::is_kept_alive()
    Instant since;            // see ClientConnection::state_since_
    bool is_before(const EvictionRank& other) const {
      return kept_alive == other.kept_alive ? since < other.since : !kept_alive;
    }
  };

  // A negative `fd` says that accept(2) failed because no file descriptor is available.
  void on_accept(int fd, bool with_tls);
  void pause_listeners(bool paused);
  void pause_accepting();
  void remove(ClientConnection* connection);
  void make_room();
  // Frees memory until the input of all clients is within Limits::max_client_input_bytes: the largest
  // incomplete requests are refused.
  void reduce_input();
  // Frees memory until the answers that clients have not read are within Limits::max_unread_answer_bytes: the
  // connections that have waited longest are closed.
  void reduce_unread_answers();
  // Returns whether as many connections as allowed are between requests. The next answer then closes its
  // connection, because no request can cross a close that is announced in the answer before it.
  bool is_at_idle_limit() const;
  bool is_full() const { return connections_.size() >= limits_.max_client_connections; }
  bool is_crowded() const { return connections_.size() * 2 >= limits_.max_client_connections; }
  // Closes one connection to make room, and returns whether it did. Among the connections that have been idle
  // long enough, one that never had an answer goes before one that has, and then the one that has been idle
  // longest. A client that has sent part of a request is answered 503. If a client has sent its next request
  // during the delay after a 4xx answer, or only connections between requests are left, the close of all
  // connections of that kind is started, which a later call completes, and false is returned.
  bool evict_one();
  // Ends the delay after a 4xx answer on all connections that have waited long enough: the next request of
  // each is answered, and the connection closed after it.
  void end_delays(Instant now);
  ClientConnection* eviction_candidate(Instant now) const;
  bool may_be_evicted(const ClientConnection& connection, Instant now) const;
  static EvictionRank eviction_rank(const ClientConnection& connection);

  EventLoop& loop_;
  const Limits& limits_;
  Callbacks callbacks_;
  bool shutting_down_ = false;
  std::size_t idle_closes_ = 0;
  std::size_t idle_closes_with_request_ = 0;
  Instant last_accepted_;
  std::uint64_t last_serial_number_ = 0;
  ByteBudget input_budget_;
  ByteBudget unread_answer_budget_;
  std::vector<std::unique_ptr<ClientConnection>> connections_;
  Timer make_room_timer_;
  Listener listener_;
  TlsStreamFactory make_tls_stream_;
  std::function<Duration()> handshake_timeout_;
  std::unique_ptr<Listener> tls_listener_;
};

}  // namespace ashbeam
