// What all parts of the router on sockets share: the event loop, the limits, the log, and the decisions.
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

// Writes one line.
using LogFunction = std::function<void(std::string_view)>;

// The decisions, which have to know the time of each event before the event.
class TimedPolicy {
 public:
  explicit TimedPolicy(EventLoop& loop) : loop_(loop) {}
  void attach(std::unique_ptr<RouterPolicy> policy) { policy_ = std::move(policy); }
  // For one event, which happens now.
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
  DetailLog detail_log;  // of requests, attempts and calls to discovery; off at the start
  TimedPolicy policy;
};

}  // namespace ashbeam
