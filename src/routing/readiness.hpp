// Tracks whether the router reports itself as ready, which it does once discovery has confirmed the endpoint
// list. Before that the configured list may be old, and a change that discovery has sent to this machine
// counts as notified from the start of the process. If discovery does not answer, the router reports itself
// as ready after Limits::ready_without_list_timeout all the same, and rejects requests.
#pragma once
#include <string>

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
    context_.log("readiness: discovery has not confirmed the endpoint list within " +
                 std::to_string(context_.limits.ready_without_list_timeout.us() / 1000) +
                 " ms, reporting ready without it");
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
