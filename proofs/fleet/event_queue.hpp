// The events of a simulated fleet, by time; those of one time in the order in which they were scheduled.
#pragma once
#include <queue>
#include <variant>
#include <vector>

#include "policy/router_policy.hpp"

namespace ashbeam {

// A router's process: events for one that has ended since are dropped.
struct RouterProcess {
  unsigned router = 0;
  unsigned incarnation = 0;
};

struct AttemptEnded {
  RouterProcess process;
  RequestId request = 0;
  unsigned attempt = 0;
  AttemptResult result = AttemptResult::kOk;
};

struct Wakeup {
  RouterProcess process;
  std::uint64_t token = 0;
};

struct ClientRetry {
  RouterProcess process;
  unsigned retries_left = 0;
};

struct VoteAnswered {
  RouterProcess process;
  VoteOutcome outcome = VoteOutcome::kAccepted;
};

struct ReleaseStateNotice {
  RouterProcess process;
};

struct OutcomeSampleNotice {
  RouterProcess process;
};

// For whichever process the router has then.
struct EndpointNotice {
  unsigned router = 0;
  EndpointIndex endpoint = 0;
};

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
