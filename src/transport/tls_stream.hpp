// Encrypted bytes of one connection: what stands between its socket and its plain bytes.
//
// Order of calls: `handshake` until it is done or has failed, then `receive` and `send`, at last `shutdown`.
// All calls come from the event loop's thread.
#pragma once
#include <cstddef>
#include <cstdint>
#include <functional>

#include "base/time.hpp"
#include "calling/principal.hpp"
#include "transport/io_result.hpp"

namespace ashbeam {

class TlsStream {
 public:
  enum class HandshakeResult : std::uint8_t {
    kDone,
    kWantRead,   // call again once the socket is readable
    kWantWrite,  // call again once the socket is readable or writable
    kDeferred,   // its CPU budget is spent: call again when the callback says so
    kFailed,
  };
  struct PeerCertificate {
    const calling::ClientCertificate* certificate = nullptr;  // null: none was shown
    bool is_rejected = false;                                 // one was shown, and is not valid any more
  };

  virtual ~TlsStream() = default;

  // Takes the handshake as far as it goes without blocking.
  virtual HandshakeResult handshake() = 0;
  // `callback` says that handshake() is to be called again: a deferred one may go on, or one has been evicted
  // and fails. It may come without a deferral.
  virtual void set_handshake_resume_callback(std::function<void()> callback) = 0;
  virtual IoResult receive(char* buffer, std::size_t size) = 0;
  virtual IoResult send(const char* bytes, std::size_t size) = 0;
  // Are there bytes that left the socket and were not received yet?
  virtual bool has_buffered_bytes() const = 0;
  // Tells the other side that nothing more comes (RFC 8446, section 6.1).
  virtual void shutdown() = 0;
  // Who the other side has proven to be, as things stand now: a certificate that was revoked since, or has
  // expired, is refused. `now` is the event loop's time.
  virtual PeerCertificate peer_certificate(Instant now) = 0;
};

}  // namespace ashbeam
