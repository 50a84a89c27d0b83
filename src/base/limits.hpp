// What the program may hold and how long it waits: filled once at start, handed down by reference.
#pragma once
#include <cstddef>

#include "base/time.hpp"

namespace ashbeam {

struct Limits {
  // Bytes.
  std::size_t head = 16 * 1024;             // of a request or an answer
  std::size_t body = 64 * 1024;             // as plain bytes; chunk framing may take as much again
  std::size_t desk_line = 8 * 1024;         // of the release desk
  std::size_t list_line = 4 * 1024 * 1024;  // of discovery: a whole list stands on one line
  std::size_t read_at_once = 16 * 1024;
  std::size_t discard_at_once = 1024 * 1024;  // of what is not wanted
  std::size_t id = 128;                       // a request's
  std::size_t unread = 16 * 1024;             // read from a connection and not taken yet: then reading stops
  // Counts of connections.
  std::size_t clients = 448;
  std::size_t idle_clients = 128;  // of those, between requests
  std::size_t to_hosts = 448;
  int backlog = 1024;
  std::size_t ids = 16 * 1024;  // remembered, so that no id is taken twice
  // Times.
  Span connect = Span::ms(250);  // to a host; the settings may say less
  // After an answer, in which more than it may still come: as time limits' slack; the shorter one where so
  // many connections to a server rest at a time, and it has sent nothing unasked for so long.
  Span host_settle = Span::ms(50), host_settle_busy = Span::ms(4);
  std::size_t resting_at_once = 8;
  Span unasked_remembered = Span::s(60);
  Span host_forgotten = Span::s(30);  // after it is gone; outcomes and judgements name it for a while
  Span host_idle = Span::s(24);       // kept connections are closed before the host does so
  Span first_request = Span::s(2);    // from a client's connecting to the end of its first request
  Span request_read = Span::s(2);     // from a later request's first byte to its last
  Span client_idle = Span::s(4);      // between requests, then the connection is closed; at a table more
  Span crowded_idle = Span::s(2);     // than half full, already then
  Span turned_away = Span::ms(100);   // after an answer to a bad request, before more is read from there
  Span half_request = Span::s(1);     // one that takes longer to come gives way at a full table
  Span settle = Span::ms(200);        // a kept connection idle so long may give way at a full table
  Span young = Span::ms(50);          // one this young is about to bring its whole first request
  Span linger = Span::s(1);           // for a client that still sends what was refused
  Span id_kept = Span::s(5);          // past the client timeout, in which no other may come with a hit's id
  Span overdue = Span::ms(20);        // past the client timeout: by then the module has long answered
  Span answer_written = Span::s(5);   // a client that does not read its answer
  // A line at least comes every 2 s; what a silent watch misses counts as told 6 s after it fell silent. So
  // another is begun a quarter late, and once more if that one is silent, too.
  Span discovery_silence = Span::ms(2500);
  Span discovery_first_line = Span::ms(1500);  // of a watch begun in place of a silent one
  Span discovery_call = Span::ms(4500);        // of any other: discovery may let a call wait for its turn
  // Without a byte in the middle of a line: what has begun counts as notified, and the grace runs. Longer
  // than one retransmission takes (RFC 6298: 0.2 s here).
  Span discovery_stall = Span::ms(400);
  // After the start, jittered: many routers may have been started anew at once, and calls that wait too long
  // at discovery cost it as much as those that it serves.
  Span first_ask;
  // After the start; ready then without a list: nine in ten restarted routers have to be ready within 6 s.
  Span first_list = Span::ms(5500);
  // How long the list of the configuration may be sent to before discovery confirms it: nothing says how old
  // it is.
  Span known_list;
  // For which a router may be held up between reading its clock and writing, and a first byte on its way.
  Span held_up = Span::ms(150), on_its_way = Span::ms(50);
  Span desk_connect = Span::s(1);
  Span desk_silence = Span::ms(3500);  // a ping comes every second
  Span desk_answer = Span::s(2);
  Span retry_first = Span::ms(100), retry_longest = Span::s(2);  // of the release desk's connection
  Span stop_accepting = Span::ms(650);  // after the signal to stop new connections go on coming for a while
  Span door_quiet = Span::ms(100);      // with none for so long the door may close
  Span killed_soonest =
      Span::ms(3700);                 // after the signal: the longest client timeout, 3 s at most, and 0.7 s
  Span killed_early = Span::ms(100);  // by then what came after the signal has its answer, and it is read
  Span stop_at_latest =
      Span::ms(3600);  // then the program ends whatever is left; more for longer client timeouts
};

}  // namespace ashbeam
