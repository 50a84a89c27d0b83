// Which TLS handshakes go on, and when: carries out on the event loop what calling::HandshakeLimiter decides
// on their number and their CPU time.
//
// Order of calls for each handshake: `admit`, `attach`, then `may_proceed` before each step and
// `add_cpu_time` after it, at last `finish`. A handshake that may not proceed is resumed through its stream,
// as is one that is evicted to make room for another.
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

  void set_limits(const TlsSettings& settings);
  // Nothing where there is no room for another handshake. May evict a silent one.
  std::optional<Id> admit();
  // `stream` must outlive its handshake: until `finish`.
  void attach(Id id, TlsServerStream& stream) { streams_.emplace(id, &stream); }
  bool may_proceed(Id id);
  void add_cpu_time(Duration cpu_time);
  void finish(Id id);
  std::size_t in_progress() const { return limiter_.in_progress_count(); }

 private:
  void resume_deferred();
  void schedule_resumption();

  EventLoop& loop_;
  calling::HandshakeLimiter limiter_;
  std::map<Id, TlsServerStream*> streams_;
  Timer resumption_;
};

}  // namespace ashbeam
