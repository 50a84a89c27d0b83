#include "routing/client_connections.hpp"

#include <unistd.h>

#include <algorithm>

namespace ashbeam {

ClientConnections::ClientConnections(EventLoop& loop, const Limits& limits, const std::string& address,
                                     Callbacks callbacks)
    : loop_(loop), limits_(limits), callbacks_(std::move(callbacks)),
      input_budget_(limits.max_client_input_bytes), unread_answer_budget_(limits.max_unread_answer_bytes),
      make_room_timer_(loop, [this] { make_room(); }),
      listener_(
          loop, address, limits.accept_backlog, [this](int fd) { on_accept(fd, false); },
          limits.client_receive_buffer_bytes) {}

void ClientConnections::listen_with_tls(const std::string& address, TlsStreamFactory make_tls_stream,
                                        std::function<Duration()> handshake_timeout) {
  make_tls_stream_ = std::move(make_tls_stream);
  handshake_timeout_ = std::move(handshake_timeout);
  tls_listener_ = std::make_unique<Listener>(
      loop_, address, limits_.accept_backlog, [this](int fd) { on_accept(fd, true); },
      limits_.client_receive_buffer_bytes);
}

void ClientConnections::pause_listeners(bool paused) {
  listener_.set_paused(paused);
  if (tls_listener_) tls_listener_->set_paused(paused);
}

void ClientConnections::on_accept(int fd, bool with_tls) {
  if (fd < 0) return pause_accepting();
  last_accepted_ = loop_.now();
  std::unique_ptr<TlsStream> tls;
  if (with_tls) {
    tls = make_tls_stream_(fd);
    if (!tls) {
      ::close(fd);
      return;
    }
  }
  connections_.push_back(std::make_unique<ClientConnection>(*this, fd, std::move(tls), connections_.size()));
  make_room();
}

// If no connection can be closed to make room, accepting pauses until one ends or has been idle long enough.
void ClientConnections::make_room() {
  if (!is_full()) return pause_listeners(false);
  if (!evict_one()) pause_accepting();
}

bool ClientConnections::is_at_idle_limit() const {
  if (connections_.size() <= limits_.max_idle_client_connections) return false;
  const auto idle = std::count_if(connections_.begin(), connections_.end(),
                                  [](const auto& connection) { return connection->is_between_requests(); });
  return static_cast<std::size_t>(idle) >= limits_.max_idle_client_connections;
}

void ClientConnections::pause_accepting() {
  pause_listeners(true);
  make_room_timer_.schedule_after(limits_.new_connection_grace_period);
}

bool ClientConnections::may_be_evicted(const ClientConnection& connection, Instant now) const {
  using State = ClientConnection::State;
  const bool reading = connection.state_ == State::kReading;
  const bool lingering = connection.state_ == State::kLingering;
  const bool writing = connection.state_ == State::kWritingAnswer;
  if (!lingering && !reading && !writing && connection.state_ != State::kDelayed) return false;
  Duration min_age = limits_.new_connection_grace_period;
  if (writing) {
    min_age = limits_.unread_answer_timeout;
  } else if (connection.is_kept_alive()) {
    min_age =
        connection.has_partial_request() ? limits_.partial_request_timeout : limits_.min_idle_before_close;
  }
  return now - connection.state_since_ >= min_age;
}

ClientConnections::EvictionRank ClientConnections::eviction_rank(const ClientConnection& connection) {
  return {connection.is_kept_alive(), connection.state_since_};
}

ClientConnection* ClientConnections::eviction_candidate(Instant now) const {
  ClientConnection* candidate = nullptr;
  EvictionRank candidate_rank;
  for (const auto& connection : connections_) {
    if (!may_be_evicted(*connection, now)) continue;
    const EvictionRank rank = eviction_rank(*connection);
    if (candidate && !rank.is_before(candidate_rank)) continue;
    // A request that has arrived on an idle connection is about to be read.
    if (connection->state_ == ClientConnection::State::kReading && !connection->connection_.is_idle())
      continue;
    candidate = connection.get();
    candidate_rank = rank;
  }
  return candidate;
}

bool ClientConnections::evict_one() {
  const Instant now = loop_.now();
  ClientConnection* const candidate = eviction_candidate(now);
  if (!candidate) return false;
  if (candidate->is_delayed_with_input()) {
    end_delays(now);
    return false;
  }
  if (candidate->is_between_requests()) {  // no other kind is left, because those rank before it
    for (const auto& connection : connections_) {
      const bool idle_long_enough = now - connection->state_since_ >= limits_.min_idle_before_close;
      if (connection->is_between_requests() && idle_long_enough && connection->connection_.is_idle())
        connection->close_idle();
    }
    return false;
  }
  if (candidate->has_partial_request()) {
    candidate->state_ = ClientConnection::State::kAwaitingAnswer;
    candidate->close_after_answer_ = true;
    candidate->answer_plain(503);
  }
  remove(candidate);
  return true;
}

void ClientConnections::end_delays(Instant now) {
  std::vector<ClientConnection*> delayed;
  for (const auto& connection : connections_) {
    if (connection->is_delayed_with_input() && may_be_evicted(*connection, now))
      delayed.push_back(connection.get());
  }
  for (ClientConnection* const connection : delayed) {
    if (connection->is_delayed_with_input()) connection->read_last_request();
  }
}

void ClientConnections::reduce_input() {
  while (input_budget_.is_exceeded()) {
    ClientConnection* largest = nullptr;
    for (const auto& connection : connections_) {
      if (!connection->can_refuse_input()) continue;
      if (!largest || connection->input_bytes_.bytes() > largest->input_bytes_.bytes())
        largest = connection.get();
    }
    if (!largest) return;
    largest->refuse_input();
  }
}

void ClientConnections::reduce_unread_answers() {
  while (unread_answer_budget_.is_exceeded()) {
    ClientConnection* oldest = nullptr;
    for (const auto& connection : connections_) {
      if (connection->unread_answer_bytes_.bytes() == 0) continue;
      if (!oldest || connection->state_since_ < oldest->state_since_) oldest = connection.get();
    }
    if (!oldest) return;
    remove(oldest);
  }
}

void ClientConnections::remove(ClientConnection* connection) {
  connection->timer_.cancel();
  if (connection->closed_idle_ && connection->connection_.has_discarded_input()) ++idle_closes_with_request_;
  connection->connection_.close();
  connection->input_bytes_.resize(0);
  connection->unread_answer_bytes_.resize(0);
  const std::size_t slot = connection->slot_;
  std::swap(connections_[slot], connections_.back());
  connections_[slot]->slot_ = slot;
  loop_.destroy_later(std::move(connections_.back()));
  connections_.pop_back();
  pause_listeners(false);
}

// Closing a listener resets the connections in its accept queue. So it stays open while a full connection
// table keeps some of them waiting, and while new ones still arrive.
bool ClientConnections::close_listeners() {
  bool none_waiting = true;
  for (Listener* const listener : {&listener_, tls_listener_.get()}) {
    if (!listener) continue;
    listener->set_paused(false);
    none_waiting = listener->accept_pending() && none_waiting;
  }
  if (!none_waiting || loop_.now() - last_accepted_ < limits_.shutdown_quiet_period) return false;
  listener_.close();
  if (tls_listener_) tls_listener_->close();
  return true;
}

void ClientConnections::close_idle() {
  const Instant now = loop_.now();
  for (const auto& connection : connections_) {
    const bool reading =
        connection->state_ == ClientConnection::State::kReading && !connection->requests_.has_started();
    const bool delayed = connection->state_ == ClientConnection::State::kDelayed;
    const bool idle_long_enough =
        connection->answered_once_ || now - connection->state_since_ >= limits_.min_idle_before_close;
    if ((reading || delayed) && idle_long_enough && connection->connection_.is_idle())
      connection->close_idle();
  }
}

}  // namespace ashbeam
