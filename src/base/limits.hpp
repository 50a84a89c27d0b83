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
  std::size_t max_list_line_bytes = 4 * kMiB;
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
  std::size_t max_remembered_ids = 16'384;

  // ---- Connections to endpoints ----

  // The deployment's settings may say less.
  Span connect_timeout = Span::ms(250);
  // After an answer a connection settles before it is used again, since more bytes than the answer may come.
  // The busy time holds where more than `max_settling_connections` to an endpoint settle at once and it has
  // sent nothing unsolicited for `unsolicited_bytes_memory`.
  Span endpoint_settle_time = Span::ms(50);
  Span busy_endpoint_settle_time = Span::ms(4);
  std::size_t max_settling_connections = 8;
  Span unsolicited_bytes_memory = Span::s(60);
  // An endpoint's index is used again this long after its removal: late outcomes still name it.
  Span removed_endpoint_retention = Span::s(30);
  // Below the endpoints' own idle timeout.
  Span endpoint_idle_timeout = Span::s(24);

  // ---- Connections of clients ----

  // From connecting to the end of the first request.
  Span first_request_timeout = Span::s(2);
  // From a later request's first byte to its last.
  Span request_read_timeout = Span::s(2);
  // Between requests; the shorter one once half of the connections are taken.
  Span client_idle_timeout = Span::s(4);
  Span crowded_client_idle_timeout = Span::s(2);
  // After a 4xx answer, before the next request of that connection is read.
  Span bad_request_pause = Span::ms(100);
  // Where all connections are taken: one with half a request is closed after the first of these, an idle one
  // after the second, a new one not before the third.
  Span partial_request_timeout = Span::s(1);
  Span min_idle_before_close = Span::ms(200);
  Span new_connection_grace = Span::ms(50);
  // How long the bytes of a refused client are read and dropped before its connection is closed.
  Span lingering_close_timeout = Span::s(1);
  // Past the client timeout: a request's id is remembered this long.
  Span request_id_retention = Span::s(5);
  // Past the client timeout: a request that the decisions left open is failed then.
  Span overdue_answer_delay = Span::ms(20);
  // For a client that does not read its answer.
  Span answer_write_timeout = Span::s(5);

  // ---- Endpoint discovery ----

  // Discovery sends a line at least every 2 s, and a change counts as notified 6 s after a watch fell silent:
  // this leaves time for two more watches.
  Span watch_silence_timeout = Span::ms(2500);
  // For the first line of a watch that replaces a silent one.
  Span replacement_watch_timeout = Span::ms(1500);
  // For the first line of any other: discovery queues calls.
  Span discovery_call_timeout = Span::ms(4500);
  // Without a byte in the middle of a line. A line that has begun counts as notified. Longer than one TCP
  // retransmission (RFC 6298: 0.2 s on Linux).
  Span watch_stall_timeout = Span::ms(400);
  // The first call is delayed by a random part of this, so that routers started together do not overload
  // discovery.
  Span max_initial_poll_delay;
  // After the start: the router is ready then even without a list, and rejects.
  Span ready_without_list_after = Span::ms(5500);
  // How long the configuration's list may be used before discovery confirms it: its age is unknown.
  Span configured_list_validity;

  // ---- Delays on the way of an attempt ----

  // Between reading the clock and writing.
  Span max_processing_delay = Span::ms(150);
  // Of a first byte on the network.
  Span max_network_delay = Span::ms(50);

  // ---- Release platform ----

  Span platform_connect_timeout = Span::s(1);
  // It sends a ping every second.
  Span platform_silence_timeout = Span::ms(3500);
  Span platform_answer_timeout = Span::s(2);
  // Between attempts to connect.
  Span platform_retry_min = Span::ms(100);
  Span platform_retry_max = Span::s(2);

  // ---- Graceful shutdown, counted from the signal ----

  // New connections are accepted for this long, and until none has come for `shutdown_quiet_time`.
  Span shutdown_accept_time = Span::ms(650);
  Span shutdown_quiet_time = Span::ms(100);
  // When the machine may kill the process: the longest client timeout (3 s at most) and 0.7 s.
  Span earliest_kill = Span::ms(3700);
  // What came after the signal has its answer this long before the kill.
  Span kill_margin = Span::ms(100);
  // The program ends then, whatever is still open; more where client timeouts are longer.
  Span shutdown_timeout = Span::ms(3600);
};

}  // namespace ashbeam
