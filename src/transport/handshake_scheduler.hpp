// Limits the number of concurrent TLS handshakes and the CPU time that they use. calling::HandshakeLimiter
// decides which handshake may continue; this class applies its decisions on the event loop.
//
// The order of calls for each handshake is admit(), attach(), then may_proceed() before and add_cpu_time()
// after each step, and finish() at its end. If may_proceed() returns false, the scheduler later calls
// TlsServerStream::resume_handshake(). To admit a new handshake it may call TlsServerStream::evict() of
// another one.
#pragma once
#include <functional>
#include <map>
#include <optional>

#include "calling/handshake_limiter.hpp"
#include "transport/event_loop.hpp"
#include "transport/tls_settings.hpp"

namespace ashbeam {

class TlsServerStream;

class HandshakeScheduler {
 public:
  using Id = calling::HandshakeLimiter::Id;

  HandshakeScheduler(EventLoop& loop, const TlsSettings& settings);
  HandshakeScheduler(const HandshakeScheduler&) = delete;
  HandshakeScheduler& operator=(const HandshakeScheduler&) = delete;

  // Replaces the limits on the number of handshakes and their CPU time.
  void set_limits(const TlsSettings& settings);
  // Admits a new handshake and returns its id. Returns nullopt if the maximum number of handshakes is in
  // progress and none may be evicted. At the maximum, evicts the oldest handshake whose client has sent
  // nothing for more than 100 ms.
  std::optional<Id> admit();
  // Sets the stream of an admitted handshake. It must remain valid until finish().
  void attach(Id id, TlsServerStream& stream) { streams_.emplace(id, &stream); }
  // Returns whether the handshake may compute its next step now. If not, it is deferred until CPU time is
  // available.
  bool may_proceed(Id id);
  // Records the CPU time that a step used.
  void add_cpu_time(Duration cpu_time);
  // Must be called when a handshake has ended, whether it succeeded or failed.
  void finish(Id id);
  std::size_t in_progress() const { return limiter_.in_progress_count(); }

 private:
  // Resumes deferred handshakes as far as the CPU time allows.
  void resume_deferred();
  // Schedules resume_deferred() if a handshake is deferred.
  void schedule_resume();

  EventLoop& loop_;
  calling::HandshakeLimiter limiter_;
  std::map<Id, TlsServerStream*> streams_;
  Timer resume_timer_;
};

}  // namespace ashbeam
