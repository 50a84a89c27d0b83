// One HTTP/1.1 connection of a client. It reads one request after another and writes exactly one answer to
// each.
//
// Each complete request is passed to Callbacks::on_request of ClientConnections. The receiver answers it once
// with answer() or answer_plain(), either within that call or later. It must not answer any more after
// Callbacks::on_client_closed or Callbacks::on_surplus_input. Requests that cannot be parsed are answered by
// this class with the status that RFC 9112 gives. Whatever ends the connection also removes it from
// ClientConnections; no error is returned to the caller. Times are instants of the event loop.
#pragma once
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

#include "base/byte_budget.hpp"
#include "calling/authorizer.hpp"
#include "policy/types.hpp"
#include "protocol/http.hpp"
#include "transport/connection.hpp"
#include "transport/event_loop.hpp"

namespace ashbeam {

class ClientConnections;

class ClientConnection : private Connection::Owner {
 public:
  // Takes over the socket `accepted_fd`. `tls` is null on a plain connection. `slot` is the index of this
  // connection in the table of `owner`.
  ClientConnection(ClientConnections& owner, int accepted_fd, std::unique_ptr<TlsStream> tls,
                   std::size_t slot);

  // Answers the current request. `fields` holds complete header lines, including those that frame `body`.
  // Does nothing if no request awaits an answer.
  void answer(unsigned status, std::string_view fields, std::string_view body);
  // Answers the current request with the status's reason phrase as the body. `fields` holds further header
  // lines.
  void answer_plain(unsigned status, std::string_view fields = {});
  // Callbacks::on_answer_deadline is called at `when` if the current request has not been answered by then.
  void set_answer_deadline(Instant when) { timer_.schedule_at(when); }
  // Returns whether the client has closed the connection, even if that has not been reported yet.
  bool has_client_left();
  // Returns whether nothing has arrived behind the current request, neither bytes nor the client's close.
  bool is_quiet();
  // Returns whether anything but empty lines has arrived behind the current request. Clients send one request
  // at a time, so the length of that request is wrong, or its client does not wait for answers.
  bool has_surplus_input() const;
  // Closes the connection after the answer to the current request.
  void close_after_answer() { close_after_answer_ = true; }
  // Returns what the TLS handshake proved about the client, evaluated at `now`. Empty on a plain connection.
  TlsStream::PeerCertificate peer_proof(Instant now) const {
    return connection_.tls_stream() ? connection_.tls_stream()->peer_certificate(now)
                                    : TlsStream::PeerCertificate();
  }
  // Returns a number that no other connection of this process has or will have.
  std::uint64_t serial_number() const { return serial_number_; }

  // The id of the current request. Set and reset by RequestLifecycle.
  std::optional<RequestId> request_id;
  // What the authorizer remembers about this connection from one request to the next.
  calling::ConnectionHistory history;

 private:
  friend class ClientConnections;
  enum class State {
    kReading,
    kAwaitingAnswer,
    kWritingAnswer,
    kDelayed,    // the next request is not read until a delay has passed
    kLingering,  // the write side is shut down; input is read and discarded until the client closes
  };

  // Connection::Owner.
  void on_connected() override;
  void on_data() override;
  void on_write_complete() override;
  void on_closed() override;

  // Ends the current request with an error if its client has sent more than the request.
  void on_surplus_data();
  void read_request();
  // Called with the number of bytes of empty lines that have arrived with no request behind them.
  void on_empty_lines(std::size_t bytes);
  // Reads the next request at once, and closes the connection after its answer.
  void read_last_request();
  void on_answer_written();
  void on_timer();
  void wait_for_next_request();
  void start_lingering_close();
  void update_input_bytes();
  // Returns whether input is held that belongs to no accepted request.
  bool can_refuse_input() const { return input_bytes_.bytes() > 0; }
  // Frees the input, and answers the incomplete request with 503.
  void refuse_input();
  // Closes the connection while it is between two requests.
  void close_idle();
  // Returns whether part of a request has been received.
  bool has_partial_request() const { return state_ == State::kReading && requests_.has_started(); }
  // Returns whether the next request, or a part of it, has arrived during the delay after a 4xx answer.
  bool is_delayed_with_input() const { return state_ == State::kDelayed && connection_.has_input(); }
  // Returns whether the connection has been reused: it had an answer and reads, or waits for, a later
  // request.
  bool is_kept_alive() const { return state_ == State::kReading && answered_once_; }
  bool is_between_requests() const { return is_kept_alive() && !requests_.has_started(); }

  ClientConnections& owner_;
  std::size_t slot_;
  std::uint64_t serial_number_;
  State state_ = State::kReading;
  bool close_after_answer_ = false;
  bool answered_once_ = false;
  bool answered_client_error_ = false;  // the answer to the current request has a 4xx status
  bool closed_idle_ = false;            // close_idle() was called
  std::size_t empty_line_bytes_ = 0;    // received since the last request, with nothing behind them
  // When the connection was opened, or last began to read a request, began or finished an answer or was
  // closed.
  Instant state_since_;
  // The event loop's iteration in which the client was last seen to be present; 0: none.
  std::uint64_t present_in_iteration_ = 0;
  ByteReservation input_bytes_;
  ByteReservation unread_answer_bytes_;
  Connection connection_;
  http::MessageParser requests_;
  Timer timer_;
};

}  // namespace ashbeam
