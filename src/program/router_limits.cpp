#include "program/router_limits.hpp"

#include <algorithm>

namespace ashbeam {

namespace {

constexpr std::size_t kOwnSockets = 32;  // listeners, discovery, release platform, log, wakeups

// A connection to an endpoint is given up before the endpoint closes it as idle.
constexpr double kEndpointIdleFraction = 0.8;

constexpr Duration kShutdownMargin = Duration::ms(250);

// The platform kills a process so long after the stop signal at the earliest.
constexpr Duration kMaxKillWait = Duration::s(3);
constexpr Duration kKillMargin = Duration::ms(700);

// The first poll of the endpoint list is delayed by a random part of this, so that routers that start
// together do not fill discovery's queue; a router that is the only one is not delayed.
constexpr double kInitialPollFraction = 0.4;  // of the interval in which each router polls once
constexpr Duration kMaxInitialPollDelay = Duration::s(4);
constexpr double kManyRouters = 10;  // from so many on the delay is full

Duration max_initial_poll_delay(const RouterSettings& router) {
  const Duration full = std::min(router.endpoint_poll_interval * kInitialPollFraction, kMaxInitialPollDelay);
  return full * std::min(1.0, (router.router_count - 1) / kManyRouters);
}

}  // namespace

Limits make_limits(std::size_t max_sockets, const WireSettings& wire, const RouterSettings& router) {
  Limits limits;
  // A request in flight holds a connection of either kind.
  const std::size_t connections_of_each_kind = (max_sockets - kOwnSockets) / 2;
  limits.max_client_connections = connections_of_each_kind;
  limits.max_endpoint_connections = connections_of_each_kind;
  limits.max_idle_client_connections = max_sockets / 8;
  limits.connect_timeout = wire.connect_timeout;
  limits.endpoint_idle_timeout =
      std::min(limits.endpoint_idle_timeout, wire.endpoint_idle_timeout * kEndpointIdleFraction);
  limits.platform_answer_timeout = router.vote_answer_timeout;
  Duration longest_client_timeout;
  for (const RequestClass& request_class : router.request_classes) {
    const Duration client_timeout = request_class.client_timeout;
    const Duration shutdown = client_timeout + limits.shutdown_accept_period + kShutdownMargin;
    limits.shutdown_timeout = std::max(limits.shutdown_timeout, shutdown);
    longest_client_timeout = std::max(longest_client_timeout, client_timeout);
  }
  limits.max_initial_poll_delay = max_initial_poll_delay(router);
  limits.min_kill_delay = std::min(longest_client_timeout, kMaxKillWait) + kKillMargin;
  return limits;
}

}  // namespace ashbeam
