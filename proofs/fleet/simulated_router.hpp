// A router of a simulated fleet: the decision module, its requests, and what the checks record of the
// router's notifications and attempts. It forwards the module's actions to the fleet's network.
#pragma once
#include <array>
#include <deque>
#include <memory>
#include <string_view>
#include <vector>

#include "event_queue.hpp"
#include "policy/router_policy.hpp"
#include "simulated_platform.hpp"

namespace ashbeam {

class SimulatedRouter;

// Carries out the actions of the routers.
class SimulatedNetwork {
 public:
  virtual ~SimulatedNetwork() = default;
  virtual void send_attempt(SimulatedRouter& router, RequestId request, EndpointIndex endpoint) = 0;
  virtual void cancel_attempt(SimulatedRouter& router, RequestId request, unsigned attempt) = 0;
  // The router answers the request itself, by rejecting or failing it. `retry_after` is zero if the answer
  // has none.
  virtual void end_request(SimulatedRouter& router, RequestId request, Duration retry_after) = 0;
  virtual void schedule_wakeup(SimulatedRouter& router, Duration delay, std::uint64_t token) = 0;
  virtual void cast_vote(SimulatedRouter& router, unsigned stage, Vote vote) = 0;
};

struct SimulatedAttempt {
  EndpointIndex endpoint = 0;
  Instant sent_at;
  bool in_flight = true;
  bool may_have_run = true;
};

struct SimulatedRequest {
  unsigned request_class = 0;
  unsigned client_retries = 0;  // retries that its client has left
  Instant deadline;
  bool done = false;
  std::vector<SimulatedAttempt> attempts;
};

class SimulatedRouter : public RouterActions {
 public:
  SimulatedNetwork* network = nullptr;
  unsigned index = 0;
  unsigned incarnation = 0;  // incremented by each start and each loss of the process
  double requests_per_s = 0;
  double requests_due = 0;
  std::unique_ptr<RouterPolicy> policy;  // null while the router is down
  std::vector<SimulatedRequest> requests;
  std::vector<Instant> drain_notified_at;  // by endpoint; Instant::never() if not notified
  // Arrivals and canary attempts within the exposure window, by request class.
  std::array<std::deque<Instant>, kRequestClasses> requests_at;
  std::array<std::deque<Instant>, kRequestClasses> canary_attempts_at;

  RouterProcess process() const { return {index, incarnation}; }

  // Clears the state of the previous process.
  void reset(std::size_t endpoints) {
    ++incarnation;
    requests.clear();
    drain_notified_at.assign(endpoints, Instant::never());
    for (auto& times : requests_at) times.clear();
    for (auto& times : canary_attempts_at) times.clear();
  }

  void send_attempt(RequestId request, EndpointIndex endpoint) override {
    network->send_attempt(*this, request, endpoint);
  }
  void reject(RequestId request, Duration retry_after) override {
    network->end_request(*this, request, retry_after);
  }
  void fail(RequestId request) override { network->end_request(*this, request, Duration()); }
  void cancel_attempt(RequestId request, unsigned attempt) override {
    network->cancel_attempt(*this, request, attempt);
  }
  void schedule_wakeup(Duration delay, std::uint64_t token) override {
    network->schedule_wakeup(*this, delay, token);
  }
  void watch_endpoints() override {}
  void cast_vote(ReleaseVersion, unsigned stage, Vote vote) override {
    network->cast_vote(*this, stage, vote);
  }
  void log(std::string_view) override {}
};

}  // namespace ashbeam
