// Is the router ready to serve? It is once discovery has confirmed the endpoint list: the configured list may
// be old, and a change that discovery has sent to the machine counts from a process' first moment. Where
// discovery does not answer it is ready after a while all the same, and rejects.
#pragma once
#include "routing/router_context.hpp"

namespace ashbeam {

class Readiness {
 public:
  explicit Readiness(RouterContext& context)
      : context_(context), timeout_timer_(context.loop, [this] { on_timeout(); }) {}

  void start() { timeout_timer_.schedule_after(context_.limits.ready_without_list_timeout); }
  void on_list_confirmed() {
    if (!ready_) set_ready();
  }
  bool is_ready() const { return ready_; }

 private:
  void on_timeout() {
    context_.log("ready without a list from discovery");
    set_ready();
  }
  void set_ready() {
    timeout_timer_.cancel();
    ready_ = true;
  }

  RouterContext& context_;
  bool ready_ = false;
  Timer timeout_timer_;
};

}  // namespace ashbeam
