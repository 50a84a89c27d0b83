// The timers that the routing policy requests with RouterActions::schedule_wakeup(). Each token has one
// timer, which is made at its first use and then reused.
#pragma once
#include <cstdint>
#include <map>
#include <memory>

#include "routing/router_context.hpp"

namespace ashbeam {

class WakeupTimers {
 public:
  explicit WakeupTimers(RouterContext& context) : context_(context) {}

  // Calls RouterPolicy::on_wakeup() with `token` once, after `delay`. Replaces an earlier wakeup with the
  // same token.
  void schedule(Duration delay, std::uint64_t token) {
    auto& timer = timers_[token];
    if (!timer) {
      timer = std::make_unique<Timer>(context_.loop,
                                      [this, token] { context_.policy.at_now().on_wakeup(token); });
    }
    timer->schedule_after(delay);
  }

 private:
  RouterContext& context_;
  std::map<std::uint64_t, std::unique_ptr<Timer>> timers_;
};

}  // namespace ashbeam
