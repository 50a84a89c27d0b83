// Shuts the router down without losing a request. After begin() the router reports itself as not ready but
// still answers every request. `done` is called once no request and no connection is left, or after
// Limits::shutdown_timeout.
//
// Connections between requests stay open until the listeners are closed, because clients go on using them and
// still open new ones. They are closed after that, and `done` is called once the last answer has been read.
#pragma once
#include <functional>

#include "routing/client_connections.hpp"
#include "routing/request_lifecycle.hpp"
#include "routing/router_context.hpp"

namespace ashbeam {

class GracefulShutdown {
 public:
  GracefulShutdown(RouterContext& context, ClientConnections& clients, RequestLifecycle& requests);

  // Starts the shutdown. Does nothing if it has begun already.
  void begin(std::function<void()> done);
  bool has_begun() const { return begun_; }
  // Returns the deadline to use for a request that arrives now with the deadline given. During a shutdown it
  // is limited, so that the request is answered before the orchestrator may kill the process.
  Instant bound_deadline(Instant deadline) const;

 private:
  void check_progress();
  void finish();

  RouterContext& context_;
  ClientConnections& clients_;
  RequestLifecycle& requests_;
  bool begun_ = false;
  Instant begun_at_;
  std::function<void()> done_;
  Timer check_timer_;
};

}  // namespace ashbeam
