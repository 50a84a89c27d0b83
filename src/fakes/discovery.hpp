// A fake discovery service. It holds one list of endpoints, which routers watch over a chunked HTTP answer
// that stays open.
//
// By default it answers each call at once and delivers every line. Options and faults simulate the discovery
// service of a large fleet: calls that queue, an outage, lines that stop half-way, and watches that stay open
// without further lines. It records when it wrote to each router.
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
  std::size_t router_count = 1;  // each router calls an address of its own
  Duration service_time;         // per call; calls are served one by one. Zero: each is answered at once
  std::uint64_t seed = 1;        // for the random choice of the lines that stall
};

class Discovery {
 public:
  // `loop` and `limits` must outlive this object.
  Discovery(EventLoop& loop, const Limits& limits, const DiscoveryOptions& options = {});
  ~Discovery();

  // Returns the address that this router has to call.
  std::string address(std::size_t router = 0) const;
  // Adds or replaces endpoints by their uid, and writes the change to all open watches.
  void put(const ListedEndpoint& endpoint) { put(std::vector{endpoint}); }
  void put(const std::vector<ListedEndpoint>& endpoints);
  // Returns the complete list, without removed endpoints, as one line of a watch.
  std::string list() const;

  // ---- Faults ----

  // Starts or ends an outage. During an outage, open watches are ended, calls are not answered and changes
  // are not written.
  void set_available(bool available);
  bool is_available() const { return available_; }
  // Returns when the last outage ended, or the far past if there was none.
  Instant available_since() const { return available_since_; }
  // Sets the fraction of lines that stop half-way. Their watch stays open and receives nothing further.
  void set_stall_fraction(double fraction) { stall_fraction_ = fraction; }
  // Writes nothing further to the watches that are open now, and keeps them open.
  void silence_watches();

  // Returns when the first line, complete or not, was written to the router at or after `since`, or
  // Instant::never() if none was.
  Instant first_write_since(std::size_t router, Instant since) const;

 private:
  class Watch;
  struct Call {
    const Watch* watch = nullptr;  // for comparison only: it may have been destroyed
    Instant received_at;
  };

  void on_call(Watch& watch);
  void write_to_watches(const std::string& line);
  bool draw_stall() { return stall_fraction_ > random_.next_double(); }
  void serve_waiting_calls();
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
  std::deque<Call> calls_;   // waiting; rejected calls stay queued, since they take the service as long
  Instant service_free_at_;  // when the current call has been served
  std::vector<std::vector<Instant>> written_at_;  // by router
  std::vector<std::unique_ptr<Watch>> watches_;
  Timer keep_alive_;
  Timer queue_timer_;
  std::vector<std::unique_ptr<Listener>> listeners_;  // by router
};

}  // namespace ashbeam::fakes
