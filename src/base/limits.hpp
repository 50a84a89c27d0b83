// The program's limits and timeouts: filled once at start, handed down by reference. Sizes are in bytes.
#pragma once
#include <cstddef>

#include "base/time.hpp"

namespace ashbeam {

inline constexpr std::size_t kKiB = 1024;
inline constexpr std::size_t kMiB = 1024 * kKiB;

struct Limits {
  // ---- Sizes, in bytes ----

  // Of the head of a request or an answer.
  std::size_t max_head_bytes = 16 * kKiB;
  // Of a decoded body; chunk framing may take as much again.
  std::size_t max_body_bytes = 64 * kKiB;
  // Of a line from the release platform.
  std::size_t max_platform_line_bytes = 8 * kKiB;
  // Of a line from discovery: a complete endpoint list is one line.
  std::size_t max_discovery_line_bytes = 4 * kMiB;
  std::size_t max_request_id_bytes = 128;
  std::size_t read_chunk_bytes = 16 * kKiB;
  // Read at once from a connection whose bytes are dropped.
  std::size_t discard_chunk_bytes = kMiB;
  // Read from a connection and not yet consumed by its owner; reading pauses there.
  std::size_t max_unread_bytes = 16 * kKiB;

  // ---- Counts ----

  std::size_t max_client_connections = 448;
  std::size_t max_idle_client_connections = 128;
  std::size_t max_endpoint_connections = 448;
  int accept_backlog = 1024;
  // Request ids remembered, so that none is accepted twice.
  std::size_t max_remembered_request_ids = 16'384;

  // ---- Connections to endpoints ----

  // The deployment's settings may say less.
  Duration connect_timeout = Duration::ms(250);
  // After an answer a connection settles before it is used again, since more bytes than the answer may come.
  // The busy time holds where more than `max_settling_connections` to an endpoint settle at once and it has
  // sent nothing unsolicited for `unsolicited_bytes_retention`.
  Duration endpoint_settle_time = Duration::ms(50);
  Duration busy_endpoint_settle_time = Duration::ms(4);
  std::size_t max_settling_connections = 8;
  Duration unsolicited_bytes_retention = Duration::s(60);
  // An endpoint's index is used again this long after its removal: late outcomes still name it.
  Duration removed_endpoint_retention = Duration::s(30);
  // Below the endpoints' own idle timeout.
  Duration endpoint_idle_timeout = Duration::s(24);

  // ---- Connections of clients ----

  // From connecting to the end of the first request.
  Duration first_request_timeout = Duration::s(2);
  // From a later request's first byte to its last.
  Duration request_read_timeout = Duration::s(2);
  // Between requests; the shorter one once half of the connections are taken.
  Duration client_idle_timeout = Duration::s(4);
  Duration crowded_client_idle_timeout = Duration::s(2);
  // After a 4xx answer, before the next request of that connection is read.
  Duration bad_request_delay = Duration::ms(100);
  // Where all connections are taken: one with half a request is closed after the first of these, an idle one
  // after the second, a new one not before the third.
  Duration partial_request_timeout = Duration::s(1);
  Duration min_idle_before_close = Duration::ms(200);
  Duration new_connection_grace_period = Duration::ms(50);
  // How long the bytes of a refused client are read and dropped before its connection is closed.
  Duration lingering_close_timeout = Duration::s(1);
  // Past the client timeout: a request's id is remembered this long.
  Duration request_id_retention = Duration::s(5);
  // Past the client timeout: a request that the decisions left open is failed then.
  Duration overdue_answer_delay = Duration::ms(20);
  // For a client that does not read its answer.
  Duration answer_write_timeout = Duration::s(5);

  // ---- Endpoint discovery ----

  // Discovery sends a line at least every 2 s, and a change counts as notified 6 s after a watch fell silent:
  // this leaves time for two more watches.
  Duration watch_silence_timeout = Duration::ms(2500);
  // For the first line of a watch that replaces a silent one.
  Duration replacement_watch_timeout = Duration::ms(1500);
  // For the first line of any other: discovery queues calls.
  Duration discovery_call_timeout = Duration::ms(4500);
  // Without a byte in the middle of a line. A line that has begun counts as notified. Longer than one TCP
  // retransmission (RFC 6298: 0.2 s on Linux).
  Duration watch_stall_timeout = Duration::ms(400);
  // The first call is delayed by a random part of this, so that routers started together do not overload
  // discovery.
  Duration max_initial_poll_delay;
  // After the start: the router is ready then even without a list, and rejects.
  Duration ready_without_list_timeout = Duration::ms(5500);
  // How long the configuration's list may be used before discovery confirms it: its age is unknown.
  Duration configured_list_validity;

  // ---- Delays on the way of an attempt ----

  // Between reading the clock and writing.
  Duration max_processing_delay = Duration::ms(150);
  // Of a first byte on the network.
  Duration max_network_delay = Duration::ms(50);

  // ---- Release platform ----

  Duration platform_connect_timeout = Duration::s(1);
  // It sends a ping every second.
  Duration platform_silence_timeout = Duration::ms(3500);
  Duration platform_answer_timeout = Duration::s(2);
  // Between attempts to connect.
  Duration min_platform_retry_delay = Duration::ms(100);
  Duration max_platform_retry_delay = Duration::s(2);

  // ---- Graceful shutdown, counted from the signal ----

  // New connections are accepted for this long, and until none has come for `shutdown_quiet_period`.
  Duration shutdown_accept_period = Duration::ms(650);
  Duration shutdown_quiet_period = Duration::ms(100);
  // When the machine may kill the process: the longest client timeout (3 s at most) and 0.7 s.
  Duration min_kill_delay = Duration::ms(3700);
  // What came after the signal has its answer this long before the kill.
  Duration kill_margin = Duration::ms(100);
  // The program ends then, whatever is still open; more where client timeouts are longer.
  Duration shutdown_timeout = Duration::ms(3600);
};

}  // namespace ashbeam
