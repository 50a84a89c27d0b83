// Kept connections to hosts. A forward goes out on one of them and comes to exactly one end; nothing here
// sends it again.
#pragma once
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/limits.hpp"
#include "policy/router_policy.hpp"
#include "protocol/http.hpp"
#include "transport/event_loop.hpp"

namespace ashbeam {

class HostPools {
 public:
  class Link;  // one connection
  // What comes next for a forward. The answer stands during the call only; there is none where none came.
  using Next = std::function<void(AttemptResult, const http::MessageParser*)>;

  // `connect` bounds how long a forward waits to be written.
  HostPools(EventLoop& loop, const Limits& limits, Span connect);
  ~HostPools();
  HostPools(const HostPools&) = delete;
  HostPools& operator=(const HostPools&) = delete;

  // What the list says of a host. `fresh`: another process than the one that kept connections lead to. One
  // that takes no more gets nothing that is not written yet.
  void place(EndpointIndex host, const std::string& address, bool fresh, bool takes_more);
  // Never calls `next` before it returns. The link, for `cancel`, stands until then; it may be null. `bytes`
  // is asked once, when the connection is there.
  using Bytes = std::function<std::string(Instant until)>;
  Link* send(EndpointIndex host, Bytes bytes, Instant until, Next next);
  void cancel(Link* link);  // `next` is told after this returns
  // Ends a forward that is not written whole as moot, since it has never run: `next` is told after this
  // returns, and the link must not be named again. False, and nothing done, where it is too late.
  bool recall(Link* link);
  // When the connection opened; far in the future where it has not.
  static Instant opened_at(const Link* link);
  Span connect() const { return connect_; }

 private:
  struct Host {
    std::string address;
    std::vector<Link*> idle;  // the last used one last: it is taken first, the others may grow old
    Instant unasked_at;       // when it last sent something that was not asked for
  };
  Span rest(const Host& host) const;
  Link* idle_link(EndpointIndex host);
  bool make_room();
  void remove(Link* link);
  EventLoop& loop_;
  const Limits& limits_;
  Span connect_;
  std::vector<Host> hosts_;
  std::vector<std::unique_ptr<Link>> links_;
};

}  // namespace ashbeam
