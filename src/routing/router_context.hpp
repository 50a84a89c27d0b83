// The objects that all components of the router share: the event loop, the limits, the log and the routing
// policy.
#pragma once
#include <functional>
#include <memory>
#include <string_view>
#include <utility>

#include "base/detail_log.hpp"
#include "base/limits.hpp"
#include "policy/router_policy.hpp"
#include "transport/event_loop.hpp"

namespace ashbeam {

// Writes one log line, which has no line end.
using LogFunction = std::function<void(std::string_view)>;

// Holds the routing policy, and sets its time before each event, as RouterPolicy requires.
class TimedPolicy {
 public:
  explicit TimedPolicy(EventLoop& loop) : loop_(loop) {}
  // Must be called once before at_now().
  void attach(std::unique_ptr<RouterPolicy> policy) { policy_ = std::move(policy); }
  // Returns the policy with its time set to now. To be called anew for each event.
  RouterPolicy& at_now() {
    policy_->set_time(loop_.now());
    return *policy_;
  }

 private:
  EventLoop& loop_;
  std::unique_ptr<RouterPolicy> policy_;
};

struct RouterContext {
  RouterContext(EventLoop& event_loop, const Limits& program_limits, LogFunction log_function)
      : loop(event_loop), limits(program_limits), log(std::move(log_function)), detail_log(log),
        policy(event_loop) {}

  EventLoop& loop;
  const Limits& limits;
  LogFunction log;
  DetailLog detail_log;  // disabled at the start
  TimedPolicy policy;
};

}  // namespace ashbeam
