#include "transport/handshake_scheduler.hpp"

#include <algorithm>

#include "transport/tls_server_stream.hpp"

namespace ashbeam {

namespace {

// A handshake is not evicted before its client has sent nothing for this time.
constexpr Duration kMinSilenceBeforeEviction = Duration::ms(100);
// Minimum delay before deferred handshakes are resumed.
constexpr Duration kMinDeferral = Duration::ms(1);

}  // namespace

HandshakeScheduler::HandshakeScheduler(EventLoop& loop, const TlsSettings& settings)
    : loop_(loop), limiter_(settings.max_handshakes, settings.max_handshake_cpu_fraction,
                            settings.handshake_timeout, kMinSilenceBeforeEviction),
      resume_timer_(loop, [this] { resume_deferred(); }) {}

void HandshakeScheduler::set_limits(const TlsSettings& settings) {
  limiter_.set_limits(settings.max_handshakes, settings.max_handshake_cpu_fraction,
                      settings.handshake_timeout);
}

std::optional<HandshakeScheduler::Id> HandshakeScheduler::admit() {
  const calling::HandshakeLimiter::StartResult started = limiter_.start(loop_.now());
  if (started.evicted != calling::HandshakeLimiter::kNone) {
    const auto evicted = streams_.find(started.evicted);
    if (evicted != streams_.end()) evicted->second->evict();
  }
  if (started.id == calling::HandshakeLimiter::kNone) return std::nullopt;
  return started.id;
}

bool HandshakeScheduler::may_proceed(Id id) {
  const bool may = limiter_.may_continue(id, loop_.now());
  if (!may) schedule_resume();
  return may;
}

void HandshakeScheduler::add_cpu_time(Duration cpu_time) { limiter_.record_cpu_time(cpu_time, loop_.now()); }

void HandshakeScheduler::finish(Id id) {
  streams_.erase(id);
  limiter_.finish(id);
}

void HandshakeScheduler::resume_deferred() {
  for (;;) {
    const Id id = limiter_.take_next_waiting(loop_.now());
    if (id == calling::HandshakeLimiter::kNone) break;
    const auto deferred = streams_.find(id);
    if (deferred != streams_.end()) deferred->second->resume_handshake();
  }
  schedule_resume();
}

void HandshakeScheduler::schedule_resume() {
  if (!limiter_.has_waiting() || resume_timer_.is_scheduled()) return;
  resume_timer_.schedule_after(std::max(kMinDeferral, limiter_.wait_time(loop_.now())));
}

}  // namespace ashbeam
