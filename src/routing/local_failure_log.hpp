// Logs when attempts begin to fail because of this machine (no descriptor, no port), and when that is over.
#pragma once
#include <cstdint>
#include <string>

#include "routing/router_context.hpp"

namespace ashbeam {

class LocalFailureLog {
 public:
  explicit LocalFailureLog(RouterContext& context)
      : context_(context), quiet_timer_(context.loop, [this] { on_quiet_period_end(); }) {}

  void on_failure() {
    if (failures_++ == 0) context_.log("attempts fail on this machine: no connection can be made");
    quiet_timer_.schedule_after(kQuietPeriod);
  }

 private:
  static constexpr Duration kQuietPeriod = Duration::s(1);  // without a failure

  void on_quiet_period_end() {
    context_.log("attempts no longer fail on this machine: " + std::to_string(failures_) + " did");
    failures_ = 0;
  }

  RouterContext& context_;
  std::uint64_t failures_ = 0;  // since there were none for a while
  Timer quiet_timer_;
};

}  // namespace ashbeam
