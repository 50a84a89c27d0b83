#include "routing/graceful_shutdown.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace ashbeam {

namespace {

constexpr Duration kCheckInterval = Duration::ms(20);

}  // namespace

GracefulShutdown::GracefulShutdown(RouterContext& context, ClientConnections& clients,
                                   RequestLifecycle& requests)
    : context_(context), clients_(clients), requests_(requests),
      check_timer_(context.loop, [this] { check_progress(); }) {}

void GracefulShutdown::begin(std::function<void()> done) {
  if (begun_) return;
  begun_ = true;
  begun_at_ = context_.loop.now();
  done_ = std::move(done);
  clients_.begin_shutdown();
  check_timer_.schedule_after(context_.limits.shutdown_accept_period);
}

Instant GracefulShutdown::bound_deadline(Instant deadline) const {
  if (!begun_) return deadline;
  return std::min(deadline, begun_at_ + context_.limits.min_kill_delay - context_.limits.kill_margin);
}

void GracefulShutdown::check_progress() {
  const bool closed = clients_.close_listeners();
  clients_.close_idle();
  const Duration since_begin = context_.loop.now() - begun_at_;
  const Duration timeout = context_.limits.shutdown_timeout;
  // Clients that still wait get an error, and then Limits::min_idle_before_close to read it.
  if (since_begin > timeout) requests_.fail_all_unanswered();
  const bool over = closed && requests_.empty() && clients_.empty();
  const bool timed_out = since_begin > timeout + context_.limits.min_idle_before_close;
  if (!over && !timed_out) return check_timer_.schedule_after(kCheckInterval);
  finish();
}

void GracefulShutdown::finish() {
  context_.log(
      "shutdown: client connections closed while idle: " + std::to_string(clients_.idle_close_count()) +
      ", of these with a request received after the close: " +
      std::to_string(clients_.idle_close_with_request_count()));
  done_();
}

}  // namespace ashbeam
