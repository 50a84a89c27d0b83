// Ends the program without losing a request: the router is not ready any more, all that still comes is
// answered, and `done` is called once nothing is left, or after Limits::shutdown_timeout.
//
// Connections between requests stay open until the listeners are closed: clients go on using them, and new
// ones still come here. Then they are ended, and the program ends once the last answer has been read.
#pragma once
#include <functional>

#include "routing/client_connections.hpp"
#include "routing/request_lifecycle.hpp"
#include "routing/router_context.hpp"

namespace ashbeam {

class GracefulShutdown {
 public:
  GracefulShutdown(RouterContext& context, ClientConnections& clients, RequestLifecycle& requests);

  // Nothing happens where it has begun already.
  void begin(std::function<void()> done);
  bool has_begun() const { return begun_; }
  // The deadline of a request that comes now: what comes after the signal is answered before the machine may
  // kill this process.
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
