#include "routing/client_connection.hpp"

#include <string>

#include "routing/client_connections.hpp"

namespace ashbeam {

namespace {

constexpr unsigned kBadRequestStatus = 400;
constexpr unsigned kUnavailableStatus = 503;
// A client that sends this many bytes of empty lines sends nothing else.
constexpr std::size_t kMaxEmptyLineBytes = 32;

}  // namespace

ClientConnection::ClientConnection(ClientConnections& owner, int accepted_fd, std::unique_ptr<TlsStream> tls,
                                   std::size_t slot)
    : owner_(owner), slot_(slot), serial_number_(++owner.last_serial_number_),
      state_since_(owner.loop_.now()), input_bytes_(owner.input_budget_),
      unread_answer_bytes_(owner.unread_answer_budget_),
      connection_(owner.loop_, owner.limits_, *this, accepted_fd, std::move(tls)),
      requests_(http::MessageType::kRequest, owner.limits_.max_head_bytes, owner.limits_.max_body_bytes,
                owner.limits_.max_header_fields),
      timer_(owner.loop_, [this] { on_timer(); }) {
  timer_.schedule_after(connection_.is_handshaking() ? owner_.handshake_timeout_()
                                                     : owner_.limits_.first_request_timeout);
}

void ClientConnection::on_connected() {
  state_since_ = owner_.loop_.now();
  timer_.schedule_after(owner_.limits_.first_request_timeout);
}

void ClientConnection::on_data() {
  if (state_ == State::kAwaitingAnswer) return on_surplus_data();
  if (state_ == State::kReading && !connection_.unread().empty()) read_request();
  update_input_bytes();
}

// Only a client that does not wait for answers sends more. What follows may be the rest of a body whose
// length is wrong, so the request is not served; and while it is left unread, the client's close behind it
// would not be noticed. Empty lines are ignored (RFC 9112, section 2.2).
void ClientConnection::on_surplus_data() {
  if (!has_surplus_input()) return connection_.consume(connection_.unread().size());
  owner_.callbacks_.on_surplus_input(*this);
  close_after_answer_ = true;
  connection_.discard_input();
  answer_plain(kBadRequestStatus);
}

bool ClientConnection::is_quiet() {
  const bool quiet = connection_.is_quiet();
  if (quiet) present_in_iteration_ = owner_.loop_.iteration();
  return quiet;
}

// A client that was present is not looked for again within the same iteration, which spares system calls.
bool ClientConnection::has_client_left() {
  const std::uint64_t iteration = owner_.loop_.iteration();
  if (present_in_iteration_ == iteration) return false;
  if (connection_.has_peer_closed()) return true;
  present_in_iteration_ = iteration;
  return false;
}

bool ClientConnection::has_surplus_input() const {
  const std::string input = connection_.peek_input(kMaxEmptyLineBytes);
  return input.size() == kMaxEmptyLineBytes || input.find_first_not_of("\r\n") != std::string::npos;
}

void ClientConnection::update_input_bytes() {
  const bool reading = state_ == State::kReading || state_ == State::kDelayed;
  const bool has_input = reading && (requests_.has_started() || !connection_.unread().empty());
  input_bytes_.resize(has_input ? connection_.unread().size() + requests_.buffered_bytes() : 0);
  if (owner_.input_budget_.is_exceeded()) owner_.reduce_input();
}

void ClientConnection::refuse_input() {
  state_ = State::kAwaitingAnswer;
  close_after_answer_ = true;
  connection_.discard_input();
  requests_.start_next_message();
  input_bytes_.resize(0);
  answer_plain(kUnavailableStatus);
}

void ClientConnection::read_request() {
  std::string_view bytes = connection_.unread();
  const std::size_t unread = bytes.size();
  const bool had_started = requests_.has_started();
  const auto result = requests_.feed(bytes);
  connection_.consume(unread - bytes.size());
  if (result == http::ParseResult::kIncomplete) {
    if (!had_started && requests_.has_started()) {
      state_since_ = owner_.loop_.now();
      if (answered_once_) timer_.schedule_after(owner_.limits_.request_read_timeout);
    }
    if (!requests_.has_started()) return on_empty_lines(unread - bytes.size());
    return;
  }
  timer_.cancel();
  state_ = State::kAwaitingAnswer;
  empty_line_bytes_ = 0;
  if (result == http::ParseResult::kComplete) {
    close_after_answer_ = close_after_answer_ || requests_.closes_connection();
    owner_.callbacks_.on_request(*this, requests_);
    // The accepted request holds a copy of what it needs.
    return requests_.start_next_message();
  }
  close_after_answer_ = true;
  const unsigned status = requests_.error_status();
  answer_plain(status);
}

void ClientConnection::on_empty_lines(std::size_t bytes) {
  empty_line_bytes_ += bytes;
  if (empty_line_bytes_ >= kMaxEmptyLineBytes) {
    state_ = State::kAwaitingAnswer;
    close_after_answer_ = true;
    return answer_plain(kBadRequestStatus);
  }
  if (!timer_.is_scheduled()) wait_for_next_request();
}

void ClientConnection::read_last_request() {
  close_after_answer_ = true;
  state_ = State::kReading;
  state_since_ = owner_.loop_.now();
  timer_.schedule_after(owner_.limits_.request_read_timeout);
  on_data();
}

void ClientConnection::answer_plain(unsigned status, std::string_view fields) {
  const std::string body = std::string(http::reason_phrase(status)) + "\n";
  std::string all_fields(fields);
  all_fields += "Content-Type: text/plain\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
  answer(status, all_fields, body);
}

void ClientConnection::answer(unsigned status, std::string_view fields, std::string_view body) {
  if (state_ != State::kAwaitingAnswer) return;
  state_ = State::kWritingAnswer;
  state_since_ = owner_.loop_.now();
  answered_client_error_ = status >= 400 && status < 500;
  close_after_answer_ = close_after_answer_ || owner_.shutting_down_ || owner_.is_at_idle_limit();
  std::string bytes = "HTTP/1.1 " + std::to_string(status) + " ";
  bytes.append(http::reason_phrase(status)).append("\r\n").append(fields);
  if (close_after_answer_) bytes += "Connection: close\r\n";
  bytes.append("\r\n").append(body);
  timer_.schedule_after(owner_.limits_.answer_write_timeout);
  connection_.write(bytes);
  if (!connection_.may_have_unwritten_output()) return on_answer_written();
  unread_answer_bytes_.resize(connection_.unwritten_bytes());
  owner_.reduce_unread_answers();
}

void ClientConnection::on_write_complete() {
  if (state_ == State::kWritingAnswer) on_answer_written();
}

void ClientConnection::on_answer_written() {
  timer_.cancel();
  state_since_ = owner_.loop_.now();
  unread_answer_bytes_.resize(0);
  if (close_after_answer_) return start_lingering_close();
  answered_once_ = true;
  requests_.start_next_message();
  if (answered_client_error_) {  // slows down a client that repeats a bad request at once
    state_ = State::kDelayed;
    return timer_.schedule_after(owner_.limits_.bad_request_delay);
  }
  state_ = State::kReading;
  if (connection_.unread().empty()) return wait_for_next_request();
  timer_.schedule_at(state_since_);  // pipelined bytes are read after the current callback has returned
}

void ClientConnection::close_idle() {
  closed_idle_ = true;
  ++owner_.idle_closes_;
  state_since_ = owner_.loop_.now();
  start_lingering_close();
}

// Closing a socket with unread input would reset the connection, and the client could lose the answer. So the
// write side is shut down first, and input is discarded until the client closes or a timeout has passed.
void ClientConnection::start_lingering_close() {
  state_ = State::kLingering;
  requests_.start_next_message();
  input_bytes_.resize(0);
  connection_.shutdown_write();
  timer_.schedule_after(owner_.limits_.lingering_close_timeout);
  connection_.discard_input();
}

void ClientConnection::wait_for_next_request() {
  const Limits& limits = owner_.limits_;
  const Duration timeout =
      owner_.is_crowded() ? limits.crowded_client_idle_timeout : limits.client_idle_timeout;
  timer_.schedule_at(state_since_ + timeout);
}

void ClientConnection::on_closed() {
  if (state_ == State::kAwaitingAnswer) owner_.callbacks_.on_client_closed(*this);
  owner_.remove(this);
}

void ClientConnection::on_timer() {
  if (connection_.is_handshaking()) return owner_.remove(this);
  if (state_ == State::kDelayed) {
    state_ = State::kReading;
    if (connection_.unread().empty()) return wait_for_next_request();
  }
  if (state_ == State::kReading && !connection_.unread().empty() && !requests_.has_started())
    return on_data();
  if (has_partial_request()) {
    state_ = State::kAwaitingAnswer;
    close_after_answer_ = true;
    return answer_plain(408);
  }
  if (state_ == State::kAwaitingAnswer) return owner_.callbacks_.on_answer_deadline(*this);
  if (state_ != State::kReading) return owner_.remove(this);
  if (!connection_.is_idle())
    return timer_.schedule_after(owner_.limits_.min_idle_before_close);  // a request is arriving
  close_idle();
}

}  // namespace ashbeam
