// The timers that the decisions ask for: one for each token, which is made once and then used again.
#pragma once
#include <cstdint>
#include <map>
#include <memory>

#include "routing/router_context.hpp"

namespace ashbeam {

class WakeupTimers {
 public:
  explicit WakeupTimers(RouterContext& context) : context_(context) {}

  // See RouterActions::schedule_wakeup().
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
