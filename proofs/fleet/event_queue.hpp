// The event queue of a simulated fleet. Events are ordered by time, and events of the same time by the order
// in which they were scheduled.
#pragma once
#include <queue>
#include <variant>
#include <vector>

#include "policy/router_policy.hpp"

namespace ashbeam {

// Identifies one run of a router's process. An event for a process that has ended meanwhile is dropped.
struct RouterProcess {
  unsigned router = 0;
  unsigned incarnation = 0;
};

// An attempt ends with its result.
struct AttemptEnded {
  RouterProcess process;
  RequestId request = 0;
  unsigned attempt = 0;
  AttemptResult result = AttemptResult::kOk;
};

// A wakeup that the router scheduled is due.
struct Wakeup {
  RouterProcess process;
  std::uint64_t token = 0;
};

// A client sends a request again that the router rejected or failed.
struct ClientRetry {
  RouterProcess process;
  unsigned retries_left = 0;
};

// The release platform's answer to a vote reaches the router.
struct VoteAnswered {
  RouterProcess process;
  VoteOutcome outcome = VoteOutcome::kAccepted;
};

// The release state reaches the router.
struct ReleaseStateNotice {
  RouterProcess process;
};

// The platform's latest outcome samples reach the router.
struct OutcomeSampleNotice {
  RouterProcess process;
};

// A change of an endpoint reaches the router. It applies to the process that the router has at that time.
struct EndpointNotice {
  unsigned router = 0;
  EndpointIndex endpoint = 0;
};

// A newly deployed endpoint starts.
struct EndpointStarted {
  EndpointIndex endpoint = 0;
};

using EventBody = std::variant<AttemptEnded, Wakeup, ClientRetry, VoteAnswered, ReleaseStateNotice,
                               OutcomeSampleNotice, EndpointNotice, EndpointStarted>;

class EventQueue {
 public:
  void schedule(Instant at, const EventBody& body) { events_.push({at, ++last_order_, body}); }
  bool has_due(Instant now) const { return !events_.empty() && events_.top().at <= now; }
  EventBody pop() {
    const EventBody body = events_.top().body;
    events_.pop();
    return body;
  }

 private:
  struct Event {
    Instant at;
    std::uint64_t order = 0;
    EventBody body;
  };
  struct Later {
    bool operator()(const Event& left, const Event& right) const {
      return left.at == right.at ? left.order > right.order : left.at > right.at;
    }
  };

  std::priority_queue<Event, std::vector<Event>, Later> events_;
  std::uint64_t last_order_ = 0;
};

}  // namespace ashbeam
