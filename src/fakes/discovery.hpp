// Fake discovery: one list of endpoints, watched over a chunked answer that stays open.
//
// As constructed it answers at once and loses nothing. Options and faults make it a service of a fleet: calls
// that queue, an outage, lines that stall half-way, watches that fall silent. What it wrote to each router is
// recorded.
#pragma once
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/limits.hpp"
#include "base/pcg.hpp"
#include "fakes/endpoint_list.hpp"
#include "transport/connection.hpp"
#include "transport/event_loop.hpp"
#include "transport/listener.hpp"

namespace ashbeam::fakes {

struct DiscoveryOptions {
  std::size_t router_count = 1;  // each has an address of its own
  Duration service_time;         // of a call, one after another; zero: all are answered at once
  std::uint64_t seed = 1;        // for which lines stall
};

class Discovery {
 public:
  // `limits` has to outlive it.
  Discovery(EventLoop& loop, const Limits& limits, const DiscoveryOptions& options = {});
  ~Discovery();

  // Where the router finds it.
  std::string address(std::size_t router = 0) const;
  // Adds or replaces endpoints by their uid, and notifies all open watches.
  void put(const ListedEndpoint& endpoint) { put(std::vector{endpoint}); }
  void put(const std::vector<ListedEndpoint>& endpoints);
  // The complete list, without removed endpoints, as a line of a watch.
  std::string list() const;

  // ---- Faults ----

  // An outage: open watches end, calls wait in vain and changes are not notified.
  void set_available(bool available);
  bool is_available() const { return available_; }
  // When the last outage ended; the far past where there was none.
  Instant available_since() const { return available_since_; }
  // The part of lines that stop half-way, with their watch silent from then on.
  void set_stall_fraction(double fraction) { stall_fraction_ = fraction; }
  // Nothing more comes on the watches that are open.
  void silence_watches();

  // When a line was first written to the router, complete or not, at or after `since`; never where none was.
  Instant first_write_since(std::size_t router, Instant since) const;

 private:
  class Watch;
  struct Call {
    const Watch* watch = nullptr;  // may be gone
    Instant received_at;
  };

  void on_call(Watch& watch);
  void write_to_watches(const std::string& line);
  bool draw_stall() { return stall_fraction_ > random_.next_double(); }
  void work_off_calls();
  void reject_overdue_calls(Instant now);
  void remove(Watch* watch);

  EventLoop& loop_;
  const Limits& limits_;
  Duration service_time_;
  Pcg random_;
  unsigned revision_ = 1;
  std::map<std::string, ListedEndpoint> endpoints_;  // by uid
  bool available_ = true;
  Instant available_since_;
  double stall_fraction_ = 0;
  std::deque<Call> calls_;                        // waiting, rejected ones as well: they cost as much
  Instant free_at_;                               // when the call at hand is done
  std::vector<std::vector<Instant>> written_at_;  // by router
  std::vector<std::unique_ptr<Watch>> watches_;
  Timer keep_alive_;
  Timer queue_tick_;
  std::vector<std::unique_ptr<Listener>> listeners_;  // by router
};

}  // namespace ashbeam::fakes
