// The interface of a TLS connection on a non-blocking socket. It encrypts the bytes that are sent and
// decrypts those that are received.
//
// The caller calls handshake() until it returns kDone or kFailed, then receive() and send(), and finally
// shutdown(). All calls must be made on the event loop's thread.
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
    kWantRead,   // call handshake() again when the socket is readable
    kWantWrite,  // call handshake() again when the socket is readable or writable
    kDeferred,   // no CPU time is available; call handshake() again from the resume callback
    kFailed,
  };
  struct PeerCertificate {
    const calling::ClientCertificate* certificate = nullptr;  // null if the peer sent none
    bool is_rejected = false;                                 // the peer sent one that is not valid any more
  };

  virtual ~TlsStream() = default;

  // Continues the handshake as far as possible without blocking.
  virtual HandshakeResult handshake() = 0;
  // Sets the function that is called when handshake() must be called again, because a deferred handshake may
  // continue, or because the handshake was evicted and will fail. It may also be called if the handshake was
  // not deferred.
  virtual void set_handshake_resume_callback(std::function<void()> callback) = 0;
  // Reads up to `size` decrypted bytes into `buffer`.
  virtual IoResult receive(char* buffer, std::size_t size) = 0;
  // Encrypts and writes up to `size` bytes. The result says how many bytes were written.
  virtual IoResult send(const char* bytes, std::size_t size) = 0;
  // Returns whether the stream holds bytes that it has read from the socket and that receive() has not
  // returned.
  virtual bool has_buffered_bytes() const = 0;
  // Sends the closure alert close_notify (RFC 8446, section 6.1).
  virtual void shutdown() = 0;
  // Returns the certificate with which the peer authenticated in the handshake. It is rejected if it has
  // expired, or has been revoked since the handshake. `now` is the event loop's time.
  virtual PeerCertificate peer_certificate(Instant now) = 0;
};

}  // namespace ashbeam
