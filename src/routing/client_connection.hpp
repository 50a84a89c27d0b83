// One client's connection: reads one request after another and writes one answer to each.
//
// Order of calls: ClientConnections hands each complete request to its owner, who answers it once, at once or
// later, by answer() or answer_plain(); not after it was notified that the client has closed. Requests that
// can't be read are answered here (RFC 9112). Units: instants of the event loop. Errors: none; whatever ends
// the connection removes it from ClientConnections.
#pragma once
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

#include "calling/authorizer.hpp"
#include "policy/types.hpp"
#include "protocol/http.hpp"
#include "transport/connection.hpp"
#include "transport/event_loop.hpp"

namespace ashbeam {

class ClientConnections;

class ClientConnection : private Connection::Owner {
 public:
  // `accepted` is the socket, `tls` null on a plain connection, `slot` the index in the owner's table.
  ClientConnection(ClientConnections& owner, int accepted, std::unique_ptr<TlsStream> tls, std::size_t slot);

  // Answers the request at hand. `fields` are complete header lines and say how `body` is framed.
  void answer(unsigned status, std::string_view fields, std::string_view body);
  // The same with the status' reason phrase as its body.
  void answer_plain(unsigned status, std::string_view fields = {});
  // The owner is notified if the request at hand has no answer by then.
  void set_answer_deadline(Instant when) { timer_.schedule_at(when); }
  // The connection ends after the answer to the request at hand.
  void close_after_answer() { close_after_answer_ = true; }
  // What the connection's handshake has proven, as things stand now; nothing on a plain one.
  TlsStream::PeerProof proof(Instant now) const {
    return connection_.tls_stream() ? connection_.tls_stream()->peer_proof(now) : TlsStream::PeerProof();
  }
  // Of this connection, never given twice.
  std::uint64_t serial_number() const { return serial_number_; }

  std::optional<RequestId> request;    // the one at hand, set by its owner
  calling::ConnectionHistory history;  // of the connection, kept for the authorizer

 private:
  friend class ClientConnections;
  enum class State {
    kReading,
    kAwaitingAnswer,
    kWritingAnswer,
    kDelayed,    // the next request is read only after a delay
    kLingering,  // nothing more is written; what still comes is read and dropped, up to the client's end
  };

  // Connection::Owner.
  void on_connected() override;
  void on_data() override;
  void on_write_complete() override;
  void on_closed() override;

  void on_data_out_of_turn();
  void read_request();
  void on_answer_written();
  void on_timer();
  void wait_for_next_request();
  void linger();
  // Ends the connection between two requests.
  void close_idle();
  bool request_begun() const { return state_ == State::kReading && requests_.has_started(); }
  bool kept_alive() const { return state_ == State::kReading && answered_once_; }
  bool between_requests() const { return kept_alive() && !requests_.has_started(); }

  ClientConnections& owner_;
  std::size_t slot_;
  std::uint64_t serial_number_;
  State state_ = State::kReading;
  bool close_after_answer_ = false;
  bool answered_once_ = false;
  bool answered_client_error_ = false;  // a 4xx answer to the request at hand
  bool closed_idle_ = false;            // ended between requests
  Instant state_since_;
  Connection connection_;
  http::MessageParser requests_;
  Timer timer_;
};

}  // namespace ashbeam
