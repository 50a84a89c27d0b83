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

// What every answer begins with (RFC 9112, section 4).
constexpr std::string_view kAnswerBegin = "HTTP/1.";

bool may_begin_answer(std::string_view bytes) {
  const std::size_t length = std::min(bytes.size(), kAnswerBegin.size());
  return bytes.substr(0, length) == kAnswerBegin.substr(0, length);
}

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
        answers_(http::MessageType::kResponse, pools.limits_.max_head_bytes, pools.limits_.max_body_bytes,
                 pools.limits_.max_header_fields),
        answer_bytes_(pools.answer_budget_), timer_(pools.loop_, [this] { on_timer(); }) {}

  EndpointIndex endpoint() const { return endpoint_; }
  bool is_in_flight() const { return on_end_ != nullptr; }
  bool is_written() const { return !build_request_ && !connection_.may_have_unwritten_output(); }
  bool is_usable() const { return connection_.is_idle(); }
  bool has_unsolicited_bytes() const { return connection_.has_input(); }
  Instant idle_since() const { return idle_since_; }
  // Returns when the connection was established, or never if it was not.
  Instant opened_at() const { return opened_at_; }
  void close_after_answer() { reusable_ = false; }
  std::size_t slot() const { return slot_; }
  void set_slot(std::size_t slot) { slot_ = slot; }

  std::size_t answer_bytes() const { return answer_bytes_.bytes(); }

  // Closes the connection. No callback is called after this.
  void close() {
    answer_bytes_.resize(0);
    timer_.cancel();
    connection_.close();
  }

  void send(AttemptHandle attempt, RequestBuilder build_request, Instant deadline, EndCallback on_end) {
    attempt_ = attempt;
    on_end_ = std::move(on_end);
    deadline_ = deadline;
    answers_.start_next_message();
    if (!connection_.is_connecting()) {
      timer_.schedule_at(deadline);
      const auto request = build_request(deadline);
      if (request) connection_.write(*request);
      else end_attempt_later(AttemptResult::kCancelledBeforeSent);
      return;
    }
    build_request_ = std::move(build_request);
    timer_.schedule_at(std::min(deadline, pools_.loop_.now() + pools_.connect_timeout_));
  }

  // Ends the attempt. To be called from callbacks of the connection only.
  void end_attempt(AttemptResult result) {
    const AttemptResponse response{result, nullptr, opened_at_};
    take_end_callback()(response);
  }

  // Ends the attempt from within a call of the owner. The end callback is called after that call has
  // returned.
  void end_attempt_later(AttemptResult result) {
    const AttemptResponse response{result, nullptr, opened_at_};
    pools_.loop_.post([on_end = take_end_callback(), response] { on_end(response); });
  }

  // Returns `result`, unless the request has not been written completely: then the endpoint cannot have run
  // it, and the result says so.
  AttemptResult effective_result(AttemptResult result) const {
    if (is_written()) return result;
    return connection_.failure() == ConnectionFailure::kLocal ? AttemptResult::kLocalFailure
                                                              : AttemptResult::kConnectFailed;
  }

  void on_connected() override {
    opened_at_ = pools_.loop_.now();
    if (!is_in_flight()) return;
    timer_.schedule_at(deadline_);
    const auto request = std::exchange(build_request_, nullptr)(deadline_);
    if (!request) return end_attempt(AttemptResult::kCancelledBeforeSent);
    connection_.write(*request);
  }

  void on_data() override {
    if (!is_in_flight()) return on_unsolicited_data();
    std::string_view bytes = connection_.unread();
    const std::size_t unread = bytes.size();
    const auto result = answers_.feed(bytes);
    connection_.consume(unread - bytes.size());
    if (result == http::ParseResult::kIncomplete) return on_partial_answer();
    if (result == http::ParseResult::kInvalid) return end_attempt(effective_result(AttemptResult::kReset));
    // Bytes behind the answer that cannot be another one may be the rest of its body, if its length is wrong.
    const std::string surplus = connection_.peek_input(kAnswerBegin.size());
    if (!surplus.empty()) pools_.pools_[endpoint_].unsolicited_at = pools_.loop_.now();
    if (!may_begin_answer(surplus)) return end_attempt(effective_result(AttemptResult::kReset));
    on_answer(surplus.empty() && !answers_.closes_connection());
  }

  void on_closed() override {
    if (!is_in_flight()) return pools_.remove(this);
    // A body without a length ends with a regular close of the connection. A reset may have cut it short.
    if (!connection_.is_broken() && answers_.on_end_of_stream() == http::ParseResult::kComplete)
      return on_answer(false);
    end_attempt(effective_result(AttemptResult::kReset));
  }

 private:
  EndCallback take_end_callback() {
    EndCallback on_end = std::exchange(on_end_, nullptr);
    pools_.remove_attempt(attempt_);
    pools_.remove(this);
    return on_end;
  }

  void on_partial_answer() {
    answer_bytes_.resize(answers_.buffered_bytes());
    pools_.reduce_answers();
  }

  void on_unsolicited_data() {
    pools_.pools_[endpoint_].unsolicited_at = pools_.loop_.now();
    pools_.remove(this);
  }

  void on_answer(bool keep_open) {
    const AttemptResult result = result_of(answers_);
    const EndCallback on_end = std::exchange(on_end_, nullptr);
    pools_.remove_attempt(attempt_);
    keep_open = keep_open && is_written();
    idle_since_ = pools_.loop_.now();
    if (keep_open) {
      timer_.schedule_at(idle_since_ + pools_.limits_.endpoint_idle_timeout);
    } else {
      timer_.cancel();
    }
    on_end({result, &answers_, opened_at_});
    answers_.start_next_message();  // frees its memory
    answer_bytes_.resize(0);
    if (keep_open && reusable_) {
      pools_.pools_[endpoint_].idle.push_back(this);
    } else {
      pools_.remove(this);
    }
  }

  void on_timer() {
    if (!is_in_flight()) return pools_.remove(this);
    end_attempt(effective_result(AttemptResult::kTimeout));
  }

  EndpointPools& pools_;
  EndpointIndex endpoint_;
  std::size_t slot_;
  Connection connection_;
  http::MessageParser answers_;
  ByteReservation answer_bytes_;
  Timer timer_;
  AttemptHandle attempt_;         // valid while one is in flight
  EndCallback on_end_;            // empty if no attempt is in flight
  RequestBuilder build_request_;  // empty once the connection is open
  Instant deadline_;
  Instant idle_since_;
  Instant opened_at_ = Instant::never();
  bool reusable_ = true;
};

EndpointPools::EndpointPools(EventLoop& loop, const Limits& limits, Duration connect_timeout)
    : loop_(loop), limits_(limits), connect_timeout_(connect_timeout),
      answer_budget_(limits.max_endpoint_answer_bytes) {}

EndpointPools::~EndpointPools() = default;

void EndpointPools::reduce_answers() {
  while (answer_budget_.is_exceeded()) {
    PooledConnection* largest = nullptr;
    for (const auto& connection : connections_) {
      if (!largest || connection->answer_bytes() > largest->answer_bytes()) largest = connection.get();
    }
    if (!largest || !largest->is_in_flight()) return;
    largest->end_attempt_later(AttemptResult::kCancelled);
  }
}

AttemptHandle EndpointPools::add_attempt(PooledConnection* connection) {
  const std::uint32_t slot = attempts_.allocate();
  attempts_[slot] = {connection, ++last_serial_number_};
  return {slot, last_serial_number_};
}

void EndpointPools::remove_attempt(AttemptHandle attempt) {
  attempts_[attempt.slot] = {};
  attempts_.deallocate(attempt.slot);
}

EndpointPools::PooledConnection* EndpointPools::connection_of(AttemptHandle attempt) {
  if (attempt.serial_number == 0) return nullptr;
  const InFlightAttempt& in_flight = attempts_[attempt.slot];
  return in_flight.serial_number == attempt.serial_number ? in_flight.connection : nullptr;
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
    // The endpoint cannot have run the attempt, so it ends as if no connection had been established.
    if (connection->is_in_flight() && !connection->is_written())
      connection->end_attempt_later(AttemptResult::kConnectFailed);
  }
}

// Returns how long a connection stays unused after an answer. The endpoint may send more bytes after it,
// which would be read as the next answer. If many connections to one endpoint are waiting, each of them would
// cost a new connection, so the time is short then, unless the endpoint has sent unsolicited bytes recently.
Duration EndpointPools::settle_time(const Pool& pool) const {
  const bool sent_unsolicited_bytes = loop_.now() - pool.unsolicited_at < limits_.unsolicited_bytes_retention;
  const bool busy = pool.idle.size() >= limits_.max_settling_connections;
  return busy && !sent_unsolicited_bytes ? limits_.busy_endpoint_settle_time : limits_.endpoint_settle_time;
}

EndpointPools::PooledConnection* EndpointPools::take_idle(EndpointIndex endpoint, Instant opened_until) {
  const Instant settled_if_idle_since = loop_.now() - settle_time(pools_[endpoint]);
  auto& idle = pools_[endpoint].idle;
  for (std::size_t i = idle.size(); i-- > 0;) {
    PooledConnection* const connection = idle[i];
    if (connection->idle_since() > settled_if_idle_since) continue;
    if (connection->opened_at() > opened_until) continue;
    if (connection->is_usable()) {
      idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
      return connection;
    }
    if (connection->has_unsolicited_bytes()) pools_[endpoint].unsolicited_at = loop_.now();
    remove(connection);  // the endpoint has closed it, or has sent unsolicited bytes
  }
  return nullptr;
}

// If the limit of connections is reached, closes the one that has been idle longest. Returns false if none is
// idle.
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

AttemptHandle EndpointPools::send(EndpointIndex endpoint, RequestBuilder build_request, Instant deadline,
                                  EndCallback on_end) {
  PooledConnection* connection = nullptr;
  if (endpoint < pools_.size()) {
    if (preferred_opened_until_ != Instant()) connection = take_idle(endpoint, preferred_opened_until_);
    if (!connection) connection = take_idle(endpoint, Instant::never());
    if (!connection) connection = open_new(endpoint);
  }
  // The endpoint is unknown, or the limit of connections is reached and all are in use.
  if (!connection) {
    loop_.post([on_end = std::move(on_end)] { on_end({AttemptResult::kLocalFailure}); });
    return {};
  }
  const AttemptHandle attempt = add_attempt(connection);
  connection->send(attempt, std::move(build_request), deadline, std::move(on_end));
  return attempt;
}

void EndpointPools::cancel(AttemptHandle attempt) {
  if (PooledConnection* const connection = connection_of(attempt))
    connection->end_attempt_later(connection->effective_result(AttemptResult::kCancelled));
}

void EndpointPools::cancel_if_unsent(AttemptHandle attempt) {
  PooledConnection* const connection = connection_of(attempt);
  if (connection && !connection->is_written())
    connection->end_attempt_later(AttemptResult::kCancelledBeforeSent);
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
