// The clients' side: the listeners, and the table of client connections with its bounds.
//
// Order of calls: construct it (it accepts from then on), then listen_with_tls() if there is a TLS listener;
// begin_shutdown() once, then close_listeners() and close_idle() again and again until empty(). No callback
// comes while the owner is in a call to this object or to one of its connections. Units: as in Limits.
// Errors: constructor and listen_with_tls() throw Poco::Exception where an address can't be listened at.
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/limits.hpp"
#include "protocol/http.hpp"
#include "routing/client_connection.hpp"
#include "transport/event_loop.hpp"
#include "transport/listener.hpp"

namespace ashbeam {

class ClientConnections {
 public:
  struct Callbacks {
    // A complete request: to be answered on its connection, now or later.
    std::function<void(ClientConnection&, http::MessageParser&)> on_request;
    // The client closed before its answer; the connection must not be used after this.
    std::function<void(ClientConnection&)> on_client_closed;
    // The deadline of the answer has passed.
    std::function<void(ClientConnection&)> on_answer_deadline;
  };
  // Makes the TLS side of an accepted socket; null refuses the connection.
  using TlsStreamFactory = std::function<std::unique_ptr<TlsStream>(int fd)>;

  ClientConnections(EventLoop& loop, const Limits& limits, const std::string& address, Callbacks callbacks);

  // A second listener, behind TLS. A handshake has to end within `handshake_timeout`.
  void listen_with_tls(const std::string& address, TlsStreamFactory make_tls_stream,
                       std::function<Duration()> handshake_timeout);
  std::uint16_t port() const { return listener_.port(); }
  std::uint16_t tls_port() const { return tls_listener_ ? tls_listener_->port() : 0; }

  // From now on each answer is the last of its connection.
  void begin_shutdown() { shutting_down_ = true; }
  // Closes the listeners once everything that the kernel has accepted is taken and nobody has come for a
  // while; false where that is not so yet.
  bool close_listeners();
  // Ends the connections that are between requests, and those that never brought one; not the most recent,
  // where a request is on its way.
  void close_idle();
  // No connection is left, and each last answer has been read as far as can be seen.
  bool empty() const { return connections_.empty(); }
  // Connections ended between requests so far.
  std::size_t idle_close_count() const { return idle_closes_; }
  // Those of them on which a request came all the same: its client has to send it again elsewhere.
  std::size_t idle_close_with_request_count() const { return idle_closes_with_request_; }

 private:
  friend class ClientConnection;
  // In the order in which connections give way to new ones.
  struct EvictionRank {
    bool kept_alive = false;  // has had an answer, and waits for the next request
    Instant since;
    bool is_before(const EvictionRank& other) const {
      return kept_alive == other.kept_alive ? since < other.since : !kept_alive;
    }
  };

  void on_accept(int fd, bool with_tls);
  void pause_listeners(bool paused);
  void pause_accepting();
  void remove(ClientConnection* connection);
  void make_room();
  // Are as many connections between requests as may be? The answer at hand is then the last of its
  // connection, since no request can cross that.
  bool is_at_idle_limit() const;
  bool is_full() const { return connections_.size() >= limits_.max_client_connections; }
  bool is_crowded() const { return connections_.size() * 2 >= limits_.max_client_connections; }
  // Closes one connection to make room: of those idle long enough one that never had an answer before one
  // that has, then the one that has been idle longest. A client that has sent half a request is answered 503.
  // False where none may go now; those between requests are ended then, and closed at a later call.
  bool evict_one();
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
  std::vector<std::unique_ptr<ClientConnection>> connections_;
  Timer make_room_timer_;
  Listener listener_;
  TlsStreamFactory make_tls_stream_;
  std::function<Duration()> handshake_timeout_;
  std::unique_ptr<Listener> tls_listener_;
};

}  // namespace ashbeam
