// The clients' side: accepts connections, reads one request after another from each and writes one answer
// to each. What a request means is its owner's business.
#pragma once
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/limits.hpp"
#include "calling/authorizer.hpp"
#include "protocol/http.hpp"
#include "transport/connection.hpp"
#include "transport/event_loop.hpp"
#include "transport/listener.hpp"

namespace ashbeam {

class Callers;

// One client's connection.
class Caller : private Connection::Owner {
 public:
  Caller(Callers& callers, int accepted, std::unique_ptr<TlsStream> veil, std::size_t place);
  // The answer to the request at hand. `fields` are whole header lines and say how `body` is framed.
  void answer(unsigned status, std::string_view fields, std::string_view body);
  void answer_plain(unsigned status, std::string_view fields = {});  // with the status' words as its body
  // `overdue` is told if the request at hand has no answer by then.
  void answer_by(Instant when) { timer_.at(when); }
  // What the connection's handshake has proven, as things stand now; nothing on a plain one.
  TlsStream::PeerProof proof(Instant now) const {
    return connection_.tls_stream() ? connection_.tls_stream()->peer_proof(now) : TlsStream::PeerProof();
  }
  void end_after() { last_ = true; }   // the connection ends after the answer to the request at hand
  std::uint32_t hit = UINT32_MAX;      // the owner's mark on the request at hand
  calling::ConnectionHistory history;  // of the client connection
  std::uint64_t serial = 0;            // the connection\'s number, never given twice

 private:
  friend class Callers;
  enum class At { kReading, kAnswering, kWriting, kPausing, kLingering };
  void on_connected() override;
  void on_data() override;
  void on_write_complete() override;
  void on_closed() override;
  void written();
  void wait_for_more();
  void late();
  bool stands() const { return at_ == At::kReading && asked_ && !requests_.started(); }  // between requests
  void linger();  // no more is written, what still comes is read and dropped, up to the client's end
  void part();    // ends it between requests: no more is written, what crosses that is read and dropped
  Callers& callers_;
  std::size_t place_;
  At at_ = At::kReading;
  bool last_ = false;    // the connection ends after this answer
  bool asked_ = false;   // has had an answer
  bool bad_ = false;     // the request at hand was turned away
  bool parted_ = false;  // ended between requests
  Instant since_;
  Connection connection_;
  http::MessageParser requests_;
  Timer timer_;
};

class Callers {
 public:
  // A whole request: answer it on the caller now or later. A caller that has gone must not be answered.
  using Came = std::function<void(Caller&, http::MessageParser&)>;
  using Left = std::function<void(Caller&)>;
  Callers(EventLoop& loop, const Limits& limits, const std::string& address, Came came, Left left,
          Left overdue);
  std::uint16_t port() const { return listener_.port(); }
  // A second door. `veil` may say no with null. A handshake ends within `handshake`. Throws Poco::Exception.
  using Veiled = std::function<std::unique_ptr<TlsStream>(int fd)>;
  void also_listen(const std::string& address, Veiled veil, std::function<Span()> handshake);
  std::uint16_t veiled_port() const { return veiled_ ? veiled_->port() : 0; }
  // From now on each answer is the last of its connection.
  void wind_down() { winding_down_ = true; }
  // After all that the machine has accepted is taken and nobody has come for a while; false where not yet.
  bool close_door();
  // Ends the connections that stand between requests, and those that never brought one; not those who have
  // just come: a request is on its way there.
  void part_idle();
  // Nobody is left, and each last answer has been read as far as can be seen: leaving resets nothing.
  bool empty() const { return callers_.empty(); }
  // Connections ended between requests so far, and those of them that a request crossed: its client sends it
  // once more on another.
  std::size_t parted() const { return parted_; }
  std::size_t crossed() const { return crossed_; }

 private:
  friend class Caller;
  void accepted(int fd, bool veiled);
  void pause_doors(bool on);
  void remove(Caller* caller);
  void make_room();
  // Guards against clients that ask once and stay: as many as may stand between requests do. The answer at
  // hand is then the last of its connection, which no request can cross.
  bool enough_stand() const;
  void pause();
  bool full() const { return callers_.size() >= limits_.max_client_connections; }
  bool crowded() const { return callers_.size() * 2 >= limits_.max_client_connections; }
  // The one that has been idle longest, and long enough, one that never had an answer before one that has.
  // Guards against clients that hold connections and send nothing, or half a request (which is answered 503):
  // whoever keeps to the protocol sends a whole request at once, so is not met by this, and must not wait
  // outside for the others. One that stands between requests is parted first and closed at a later look.
  bool close_idlest();
  EventLoop& loop_;
  const Limits& limits_;
  Came came_;
  Left left_, overdue_;
  bool winding_down_ = false;
  std::size_t parted_ = 0, crossed_ = 0;
  Instant last_came_;
  std::uint64_t serials_ = 0;
  std::vector<std::unique_ptr<Caller>> callers_;
  Timer room_;
  Listener listener_;
  Veiled veil_;
  std::function<Span()> handshake_;
  std::unique_ptr<Listener> veiled_;
};

}  // namespace ashbeam
