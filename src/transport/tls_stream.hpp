// What stands between a socket and its plain bytes, where there is something: TLS.
#pragma once
#include <cstddef>
#include <functional>

#include "base/time.hpp"
#include "calling/principal.hpp"

namespace ashbeam {

class TlsStream {
 public:
  enum class Step { kDone, kRead, kWrite, kLater, kFailed };
  virtual ~TlsStream() = default;
  // The handshake, as far as it goes. After kLater `turn` says when to try again; `turn` may come unasked,
  // too.
  virtual Step shake() = 0;
  virtual void on_turn(std::function<void()> turn) = 0;
  // As recv and send: 0 the other side has ended, -1 with errno, EAGAIN where it must wait.
  virtual std::ptrdiff_t receive(char* to, std::size_t most) = 0;
  virtual std::ptrdiff_t send(const char* from, std::size_t size) = 0;
  virtual bool holds() const = 0;  // bytes that left the socket and were not received yet
  virtual void finish() = 0;       // tells the other side that nothing more comes

  struct PeerProof {
    const calling::ClientCertificate* certificate = nullptr;  // none was shown
    bool refused = false;                               // one was, and it does not count any more
  };
  // Who the other side has proven to be, as things stand now: what was revoked since, or has expired, is
  // refused.
  virtual PeerProof proof(Instant now) = 0;  // of the loop
};

}  // namespace ashbeam
