// Logs when attempts begin to fail because this machine cannot make connections (no file descriptor, no
// port), and when such failures have stopped. One line is written for each, however many attempts fail.
#pragma once
#include <cstdint>
#include <string>

#include "routing/router_context.hpp"

namespace ashbeam {

class LocalFailureLog {
 public:
  explicit LocalFailureLog(RouterContext& context)
      : context_(context), quiet_timer_(context.loop, [this] { on_quiet_period_end(); }) {}

  // Called for each attempt that ends with AttemptResult::kLocalFailure.
  void on_failure() {
    if (failures_++ == 0)
      context_.log("attempts: local failures began, this machine cannot open connections to endpoints");
    quiet_timer_.schedule_after(kQuietPeriod);
  }

 private:
  // The failures have stopped once this time has passed without one.
  static constexpr Duration kQuietPeriod = Duration::s(1);

  void on_quiet_period_end() {
    context_.log("attempts: local failures stopped after " + std::to_string(failures_) + " failed attempts");
    failures_ = 0;
  }

  RouterContext& context_;
  std::uint64_t failures_ = 0;  // since the last quiet period
  Timer quiet_timer_;
};

}  // namespace ashbeam
