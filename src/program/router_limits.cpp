#include "program/router_limits.hpp"

#include <algorithm>

namespace ashbeam {

namespace {

// Reserved for listeners, discovery, the release platform, the log and wakeups.
constexpr std::size_t kReservedSockets = 32;

// Parts of the memory limit. About a third of the smallest limit is used before the first connection.
constexpr std::size_t kConnectionsMemoryDivisor = 8;  // for connections without their buffers
constexpr std::size_t kBufferMemoryDivisor = 16;      // for each kind of buffers but the next
constexpr std::size_t kAnswerMemoryDivisor = 8;       // for incomplete answers of endpoints
constexpr std::size_t kRequestIdMemoryDivisor = 8;
constexpr std::size_t kRequestIdClientDivisor = 8;      // of the number of ids
constexpr std::size_t kCountedEventMemoryDivisor = 16;  // for the windows of all request classes
constexpr std::size_t kStickyKeyMemoryDivisor = 16;
constexpr std::size_t kReceiveBufferMemoryDivisor = 512;
constexpr std::size_t kBytesPerConnection = 4 * kKiB;
constexpr std::size_t kBytesPerRequestId = 128;
constexpr std::size_t kBytesPerCountedEvent = sizeof(Instant);
constexpr std::size_t kBytesPerStickyKey = 64;  // in a table that is at most half full

// The router closes an idle connection to an endpoint before the endpoint does: after this fraction of the
// endpoint's idle timeout.
constexpr double kEndpointIdleFraction = 0.8;

// Added to the longest client timeout and the accept period, for the shutdown timeout.
constexpr Duration kShutdownMargin = Duration::ms(250);

// The orchestrator kills the process after the stop signal no earlier than the longest client timeout, but at
// most kMaxKillWait, plus kKillMargin.
constexpr Duration kMaxKillWait = Duration::s(3);
constexpr Duration kKillMargin = Duration::ms(700);

// The maximum delay of the first poll, as a fraction of the interval in which each router polls once.
constexpr double kInitialPollFraction = 0.4;
constexpr Duration kMaxInitialPollDelay = Duration::s(4);
// Among this many other routers or more, the delay is not reduced.
constexpr double kFullDelayRouterCount = 10;

// Returns the maximum of the random delay before the first poll of the endpoint list. The delay keeps routers
// that start together from filling discovery's queue; the only router of a fleet has no delay.
Duration max_initial_poll_delay(const RouterSettings& router) {
  const Duration full_delay =
      std::min(router.endpoint_poll_interval * kInitialPollFraction, kMaxInitialPollDelay);
  return full_delay * std::min(1.0, (router.router_count - 1) / kFullDelayRouterCount);
}

void set_memory_limits(Limits& limits, std::size_t max_memory_bytes, std::size_t request_class_count) {
  const std::size_t buffer_bytes = max_memory_bytes / kBufferMemoryDivisor;
  limits.max_client_input_bytes = buffer_bytes;
  limits.max_accepted_request_bytes = buffer_bytes;
  limits.max_endpoint_answer_bytes = max_memory_bytes / kAnswerMemoryDivisor;
  limits.max_unread_answer_bytes = buffer_bytes;
  limits.client_receive_buffer_bytes =
      static_cast<int>(std::min<std::size_t>(max_memory_bytes / kReceiveBufferMemoryDivisor, kMiB));
  limits.max_remembered_request_ids = max_memory_bytes / kRequestIdMemoryDivisor / kBytesPerRequestId;
  limits.max_remembered_request_ids_per_client = limits.max_remembered_request_ids / kRequestIdClientDivisor;
  // One window for each class, and one for all of them.
  limits.max_counted_events =
      std::min(limits.max_counted_events, max_memory_bytes / kCountedEventMemoryDivisor /
                                              kBytesPerCountedEvent / (request_class_count + 1));
  limits.max_sticky_keys =
      std::min(limits.max_sticky_keys, max_memory_bytes / kStickyKeyMemoryDivisor / kBytesPerStickyKey);
}

}  // namespace

Limits make_limits(const ProcessLimits& process, const WireSettings& wire, const RouterSettings& router) {
  Limits limits;
  set_memory_limits(limits, process.max_memory_bytes, router.request_classes.size());
  // A request in flight uses one client connection and one endpoint connection.
  const std::size_t connections_per_kind =
      std::min((process.max_sockets - kReservedSockets) / 2,
               process.max_memory_bytes / kConnectionsMemoryDivisor / 2 / kBytesPerConnection);
  limits.max_client_connections = connections_per_kind;
  limits.max_endpoint_connections = connections_per_kind;
  limits.max_idle_client_connections = std::min(process.max_sockets / 8, connections_per_kind / 2);
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
  limits.request_id_retention = limits.request_id_retention + longest_client_timeout;
  limits.max_time_left = std::max(limits.max_time_left, longest_client_timeout);
  limits.max_initial_poll_delay = max_initial_poll_delay(router);
  limits.min_kill_delay = std::min(longest_client_timeout, kMaxKillWait) + kKillMargin;
  return limits;
}

}  // namespace ashbeam
