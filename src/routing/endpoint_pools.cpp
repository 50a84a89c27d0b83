#include "routing/endpoint_pools.hpp"

#include <algorithm>
#include <utility>

#include "protocol/header_names.hpp"
#include "transport/connection.hpp"

namespace ashbeam {

namespace {

constexpr unsigned kOkStatus = 200;
constexpr unsigned kUnavailableStatus = 503;
constexpr unsigned kTimeoutStatus = 504;

AttemptResult result_of(const http::MessageParser& answer) {
  const unsigned status = answer.status();
  if (status == kOkStatus) return AttemptResult::kOk;
  const bool may_be_unprocessed = status == kUnavailableStatus || status == kTimeoutStatus;
  if (may_be_unprocessed && answer.head().find(header::kUnprocessed) == "1") return AttemptResult::kRejected;
  return AttemptResult::kError;
}

}  // namespace

class EndpointPools::PooledConnection : public Connection::Owner {
 public:
  PooledConnection(EndpointPools& pools, EndpointIndex endpoint, std::size_t slot)
      : pools_(pools), endpoint_(endpoint), slot_(slot),
        connection_(pools.loop_, pools.limits_, *this, pools.pools_[endpoint].address),
        answers_(http::MessageType::kResponse, pools.limits_.max_head_bytes, pools.limits_.max_body_bytes),
        timer_(pools.loop_, [this] { on_timer(); }) {}

  EndpointIndex endpoint() const { return endpoint_; }
  bool in_flight() const { return on_end_ != nullptr; }
  bool written() const { return !make_bytes_ && !connection_.may_have_unwritten_output(); }
  bool usable() const { return connection_.is_idle(); }
  bool has_unsolicited_bytes() const { return connection_.has_input(); }
  Instant idle_since() const { return idle_since_; }
  Instant opened_at() const { return opened_at_; }
  void close_after_answer() { reusable_ = false; }
  std::size_t slot() const { return slot_; }
  void set_slot(std::size_t slot) { slot_ = slot; }

  // No callback comes after this.
  void close() {
    timer_.cancel();
    connection_.close();
  }

  void send(MakeBytes make_bytes, Instant until, OnEnd on_end) {
    on_end_ = std::move(on_end);
    until_ = until;
    answers_.start_next_message();
    if (!connection_.connecting()) {
      timer_.schedule_at(until);
      connection_.write(make_bytes(until));
      return;
    }
    make_bytes_ = std::move(make_bytes);
    timer_.schedule_at(std::min(until, pools_.loop_.now() + pools_.connect_timeout_));
  }

  // Ends the attempt, from a callback of the connection.
  void finish(AttemptResult result) {
    const OnEnd on_end = take_on_end();
    on_end(result, nullptr);
  }

  // The same from a call of the owner, who is notified after it.
  void finish_later(AttemptResult result) {
    pools_.loop_.post([on_end = take_on_end(), result] { on_end(result, nullptr); });
  }

  // What is not written completely has not run.
  AttemptResult unless_unwritten(AttemptResult result) const {
    if (written()) return result;
    return connection_.failure() == Failure::kLocal ? AttemptResult::kLocalFailure
                                                    : AttemptResult::kConnectFailed;
  }

  void on_connected() override {
    opened_at_ = pools_.loop_.now();
    if (!in_flight()) return;
    timer_.schedule_at(until_);
    connection_.write(std::exchange(make_bytes_, nullptr)(until_));
  }

  void on_data() override {
    if (!in_flight()) return on_unsolicited_data();
    std::string_view bytes = connection_.unread();
    const std::size_t unread = bytes.size();
    const auto got = answers_.feed(bytes);
    connection_.consume(unread - bytes.size());
    if (got == http::ParseResult::kIncomplete) return;
    if (got == http::ParseResult::kInvalid) return finish(unless_unwritten(AttemptResult::kReset));
    if (!bytes.empty()) pools_.pools_[endpoint_].unsolicited_at = pools_.loop_.now();
    on_answer(bytes.empty() && !answers_.closes_connection());
  }

  void on_closed() override {
    if (!in_flight()) return pools_.remove(this);
    // Only an end in order ends a body without a length: a reset may come in the middle of it.
    if (!connection_.broken() && answers_.on_end_of_stream() == http::ParseResult::kComplete)
      return on_answer(false);
    finish(unless_unwritten(AttemptResult::kReset));
  }

 private:
  OnEnd take_on_end() {
    OnEnd on_end = std::exchange(on_end_, nullptr);
    pools_.remove(this);
    return on_end;
  }

  void on_unsolicited_data() {
    pools_.pools_[endpoint_].unsolicited_at = pools_.loop_.now();
    pools_.remove(this);
  }

  void on_answer(bool keep) {
    const AttemptResult result = result_of(answers_);
    const OnEnd on_end = std::exchange(on_end_, nullptr);
    keep = keep && written();
    idle_since_ = pools_.loop_.now();
    if (keep) {
      timer_.schedule_at(idle_since_ + pools_.limits_.endpoint_idle_timeout);
    } else {
      timer_.cancel();
    }
    on_end(result, &answers_);
    if (keep && reusable_) {
      pools_.pools_[endpoint_].idle.push_back(this);
    } else {
      pools_.remove(this);
    }
  }

  void on_timer() {
    if (!in_flight()) return pools_.remove(this);
    finish(unless_unwritten(AttemptResult::kTimeout));
  }

  EndpointPools& pools_;
  EndpointIndex endpoint_;
  std::size_t slot_;
  Connection connection_;
  http::MessageParser answers_;
  Timer timer_;
  OnEnd on_end_;          // none where no attempt is in flight
  MakeBytes make_bytes_;  // until the connection is open
  Instant until_;
  Instant idle_since_;
  Instant opened_at_ = Instant::never();
  bool reusable_ = true;
};

EndpointPools::EndpointPools(EventLoop& loop, const Limits& limits, Duration connect_timeout)
    : loop_(loop), limits_(limits), connect_timeout_(connect_timeout) {}

EndpointPools::~EndpointPools() = default;

Instant EndpointPools::opened_at(const PooledConnection* connection) {
  return connection ? connection->opened_at() : Instant::never();
}

void EndpointPools::update(EndpointIndex endpoint, const EndpointPoolUpdate& update) {
  if (endpoint >= pools_.size()) pools_.resize(endpoint + 1);
  pools_[endpoint].address = update.address;
  if (!update.process_replaced && update.accepts_attempts) return;
  const std::vector<PooledConnection*> idle = pools_[endpoint].idle;
  for (PooledConnection* connection : idle) remove(connection);
  std::vector<PooledConnection*> in_use;
  for (const auto& connection : connections_) {
    if (connection->endpoint() == endpoint) in_use.push_back(connection.get());
  }
  for (PooledConnection* connection : in_use) {
    connection->close_after_answer();
    // The attempt provably never ran: it ends as if no connection had come up.
    if (connection->in_flight() && !connection->written())
      connection->finish_later(AttemptResult::kConnectFailed);
  }
}

// An answer may have more bytes right behind it, which would be taken for the next answer: a connection
// settles before it is used again. Where many connections to one endpoint settle at a time, each would cost a
// new one: there the time is short, unless the endpoint has sent unsolicited bytes lately.
Duration EndpointPools::settle_time(const Pool& pool) const {
  const bool suspect = loop_.now() - pool.unsolicited_at < limits_.unsolicited_bytes_retention;
  const bool busy = pool.idle.size() >= limits_.max_settling_connections;
  return busy && !suspect ? limits_.busy_endpoint_settle_time : limits_.endpoint_settle_time;
}

EndpointPools::PooledConnection* EndpointPools::take_idle(EndpointIndex endpoint) {
  const Instant settled = loop_.now() - settle_time(pools_[endpoint]);
  auto& idle = pools_[endpoint].idle;
  for (std::size_t i = idle.size(); i-- > 0;) {
    PooledConnection* const connection = idle[i];
    if (connection->idle_since() > settled) continue;
    if (connection->usable()) {
      idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
      return connection;
    }
    if (connection->has_unsolicited_bytes()) pools_[endpoint].unsolicited_at = loop_.now();
    remove(connection);  // the endpoint has closed it, or will
  }
  return nullptr;
}

// At the limit the connection that has been idle longest is closed.
bool EndpointPools::make_room() {
  if (connections_.size() < limits_.max_endpoint_connections) return true;
  PooledConnection* oldest = nullptr;
  for (const Pool& pool : pools_) {
    if (pool.idle.empty()) continue;
    PooledConnection* const first = pool.idle.front();
    if (!oldest || first->idle_since() < oldest->idle_since()) oldest = first;
  }
  if (!oldest) return false;
  remove(oldest);
  return true;
}

EndpointPools::PooledConnection* EndpointPools::open_new(EndpointIndex endpoint) {
  if (!make_room()) return nullptr;
  connections_.push_back(std::make_unique<PooledConnection>(*this, endpoint, connections_.size()));
  return connections_.back().get();
}

EndpointPools::PooledConnection* EndpointPools::send(EndpointIndex endpoint, MakeBytes make_bytes,
                                                     Instant until, OnEnd on_end) {
  PooledConnection* connection = nullptr;
  if (endpoint < pools_.size()) {
    connection = take_idle(endpoint);
    if (!connection) connection = open_new(endpoint);
  }
  // No connection can be made, or as many as may be are in use.
  if (!connection) {
    loop_.post([on_end = std::move(on_end)] { on_end(AttemptResult::kLocalFailure, nullptr); });
    return nullptr;
  }
  connection->send(std::move(make_bytes), until, std::move(on_end));
  return connection;
}

void EndpointPools::cancel(PooledConnection* connection) {
  connection->finish_later(connection->unless_unwritten(AttemptResult::kCancelled));
}

bool EndpointPools::cancel_if_unsent(PooledConnection* connection) {
  if (connection->written()) return false;
  connection->finish_later(AttemptResult::kCancelledBeforeSent);
  return true;
}

void EndpointPools::remove(PooledConnection* connection) {
  auto& idle = pools_[connection->endpoint()].idle;
  idle.erase(std::remove(idle.begin(), idle.end(), connection), idle.end());
  connection->close();
  const std::size_t slot = connection->slot();
  std::swap(connections_[slot], connections_.back());
  connections_[slot]->set_slot(slot);
  loop_.destroy_later(std::move(connections_.back()));
  connections_.pop_back();
}

}  // namespace ashbeam
