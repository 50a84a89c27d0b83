// The limits and timeouts of the router. The structure is filled in once at start and passed to the
// components by reference. The defaults stand here; some are replaced from the deployment's settings (see
// make_limits).
#pragma once
#include <cstddef>

#include "base/time.hpp"

namespace ashbeam {

inline constexpr std::size_t kKiB = 1024;
inline constexpr std::size_t kMiB = 1024 * kKiB;

struct Limits {
  // ---- Sizes, in bytes ----

  // Maximum size of the head of an HTTP message: the start line and the header fields.
  std::size_t max_head_bytes = 16 * kKiB;
  // Maximum number of header fields of a message. Each costs more memory than its bytes.
  std::size_t max_header_fields = 128;
  // Maximum size of a decoded body. The framing of a chunked body may take the same size in addition.
  std::size_t max_body_bytes = 64 * kKiB;
  // Maximum length of a line that the release platform sends.
  std::size_t max_platform_line_bytes = 8 * kKiB;
  // Maximum length of a line that discovery sends; a complete endpoint list is one line.
  std::size_t max_discovery_line_bytes = 4 * kMiB;
  std::size_t max_request_id_bytes = 128;
  // Maximum number of bytes that one read from a connection returns.
  std::size_t read_chunk_bytes = 64 * kKiB;
  // Maximum number of bytes that one read takes from a connection whose input is discarded.
  std::size_t discard_chunk_bytes = kMiB;
  // Reading from a connection stops while its owner has this many received bytes left to consume.
  std::size_t max_unread_bytes = 16 * kKiB;

  // ---- Memory of all connections together, in bytes (make_limits derives it from the memory limit) ----

  // Input of clients that is not a complete request yet. Beyond it the largest incomplete request is answered
  // with 503.
  std::size_t max_client_input_bytes = 4 * kMiB;
  // Accepted requests, including the copy that is being written. Beyond it requests are answered with 503.
  std::size_t max_accepted_request_bytes = 4 * kMiB;
  // Requests of at most this size do not count against it: their number is limited by that of the
  // connections, and large requests must not keep them out.
  std::size_t max_small_request_bytes = 2 * kKiB;
  // Incomplete answers of endpoints. Beyond it the attempt with the largest one ends.
  std::size_t max_endpoint_answer_bytes = 4 * kMiB;
  // Answers that clients have not read. Beyond it the connection that has waited longest is closed.
  std::size_t max_unread_answer_bytes = 4 * kMiB;
  // The receive buffer of a client connection in the kernel (SO_RCVBUF, see socket(7)).
  int client_receive_buffer_bytes = 64 * static_cast<int>(kKiB);

  // ---- Counts ----

  std::size_t max_client_connections = 448;
  std::size_t max_idle_client_connections = 128;
  std::size_t max_endpoint_connections = 448;
  // The backlog of listen(2).
  int accept_backlog = 1024;
  // Maximum number of ids of answered requests that are stored to reject a second request with the same id
  // (make_limits derives it from the memory limit).
  std::size_t max_remembered_request_ids = 16'384;
  // The part of it that the requests of one client connection may use whose effects must not happen twice.
  // Beyond it that connection's further ones are answered with 503.
  std::size_t max_remembered_request_ids_per_client = 2'048;
  // Maximum number of arrivals, or of attempts to one endpoint, that a sliding window of the routing policy
  // counts (make_limits derives it from the memory limit).
  std::size_t max_counted_events = std::size_t{1} << 16U;
  // Maximum number of sticky keys whose version is stored (make_limits derives it from the memory limit).
  std::size_t max_sticky_keys = std::size_t{1} << 17U;

  // ---- Connections to endpoints ----

  // The deployment's settings replace this value.
  Duration connect_timeout = Duration::ms(250);
  // After an answer a connection stays unused for this time, because the endpoint may send more bytes than
  // the answer, which would be read as the answer to the next request.
  Duration endpoint_settle_time = Duration::ms(50);
  // Used in place of `endpoint_settle_time` if at least `max_settling_connections` connections to the
  // endpoint are idle and it has sent no unsolicited bytes for `unsolicited_bytes_retention`: each connection
  // that is not reused would cost a new one.
  Duration busy_endpoint_settle_time = Duration::ms(4);
  std::size_t max_settling_connections = 8;
  Duration unsolicited_bytes_retention = Duration::s(60);
  // The index of a removed endpoint is not assigned again for this time, because outcomes of its last
  // attempts still refer to it.
  Duration removed_endpoint_retention = Duration::s(30);
  // An idle connection is closed after this time. It is shorter than the endpoints' own idle timeout.
  Duration endpoint_idle_timeout = Duration::s(24);

  // ---- Connections of clients ----

  // From accepting a connection to the last byte of its first request.
  Duration first_request_timeout = Duration::s(2);
  // From the first byte of a later request to its last byte.
  Duration request_read_timeout = Duration::s(2);
  // Between two requests of a connection.
  Duration client_idle_timeout = Duration::s(4);
  // Used in place of `client_idle_timeout` once half of `max_client_connections` are open.
  Duration crowded_client_idle_timeout = Duration::s(2);
  // After a 4xx answer the next request of that connection is read only after this delay, which slows down a
  // client that repeats a bad request at once.
  Duration bad_request_delay = Duration::ms(100);
  // These four hold while all client connections are in use and room is needed for a new one. A connection
  // that has sent an incomplete request may be closed after this time.
  Duration partial_request_timeout = Duration::s(1);
  // A connection whose client does not read its answer may be closed after this time.
  Duration unread_answer_timeout = Duration::s(1);
  // A connection that is idle between requests may be closed after this time.
  Duration min_idle_before_close = Duration::ms(200);
  // A connection that has had no answer yet is not closed before this time.
  Duration new_connection_grace_period = Duration::ms(50);
  // Before a connection is closed, its input is read and discarded for at most this time.
  Duration lingering_close_timeout = Duration::s(1);
  // The id of a request is stored for this time after the end of the request (make_limits adds the longest
  // client timeout).
  Duration request_id_retention = Duration::s(5);
  // Clients that name a longer time are answered within this one (make_limits raises it to the longest client
  // timeout of the settings).
  Duration max_time_left = Duration::s(10);
  // A request that the routing policy has not completed is failed by the router at this time after its client
  // timeout.
  Duration overdue_answer_delay = Duration::ms(20);
  // For writing an answer to a client that does not read it.
  Duration answer_write_timeout = Duration::s(5);

  // ---- Endpoint discovery ----

  // A watch is replaced if it has received no line for this time. Discovery sends a line at least every 2 s.
  // A change counts as notified 6 s after a watch fell silent, so this leaves time for two more watches.
  Duration watch_silence_timeout = Duration::ms(2500);
  // Until the first line of a watch that replaces a silent one.
  Duration replacement_watch_timeout = Duration::ms(1500);
  // Until the first line of any other call. It is longer because discovery queues calls.
  Duration discovery_call_timeout = Duration::ms(4500);
  // A call that discovery ends within this time, without an answer, has not waited in its queue.
  Duration max_unavailable_call_time = Duration::ms(200);
  // Maximum time without a byte within a line. It is short because a line whose first byte has arrived
  // already counts as notified, and longer than one TCP retransmission timeout (RFC 6298: 0.2 s on Linux).
  Duration watch_stall_timeout = Duration::ms(400);
  // The first call to discovery is delayed by a random fraction of this time, so that routers that start
  // together do not overload discovery.
  Duration max_initial_poll_delay;
  // If no endpoint list has arrived this long after the start, the router reports itself as ready all the
  // same, and rejects requests.
  Duration ready_without_list_timeout = Duration::ms(5500);
  // The endpoint list of the configuration may be used for this time without a confirmation by discovery. It
  // is limited because the age of that list is unknown.
  Duration configured_list_validity;

  // ---- Maximum delays before an attempt reaches its endpoint ----

  // Between reading the clock and writing the attempt to its connection.
  Duration max_processing_delay = Duration::ms(150);
  // For the first byte to cross the network.
  Duration max_network_delay = Duration::ms(50);

  // ---- Release platform ----

  Duration platform_connect_timeout = Duration::s(1);
  // The connection is closed after this time without a message. The platform sends a ping every second.
  Duration platform_silence_timeout = Duration::ms(3500);
  Duration platform_answer_timeout = Duration::s(2);
  // The delay between attempts to connect doubles from the minimum to the maximum.
  Duration min_platform_retry_delay = Duration::ms(100);
  Duration max_platform_retry_delay = Duration::s(2);

  // ---- Graceful shutdown, counted from the signal ----

  // New connections are accepted for at least this time, and until none has arrived for
  // `shutdown_quiet_period`.
  Duration shutdown_accept_period = Duration::ms(650);
  Duration shutdown_quiet_period = Duration::ms(100);
  // The orchestrator may kill the process from this time on: the longest client timeout, but at most 3 s,
  // plus 0.7 s.
  Duration min_kill_delay = Duration::ms(3700);
  // Requests that arrive after the signal are answered this long before `min_kill_delay`.
  Duration kill_margin = Duration::ms(100);
  // The process exits after this time, even with requests in progress. It is extended for longer client
  // timeouts.
  Duration shutdown_timeout = Duration::ms(3600);
};

}  // namespace ashbeam
