// Simulates a fleet of routers that share their endpoints, in simulated time.
//
// Without a release, a zone fails with its routers and returns with cold endpoints, some endpoints restart
// before they are warm, some drain, and one in twelve runs the canary throughout. With a release, each stage
// starts cold endpoints of different sizes and zones beside the stable ones. In both cases notifications
// reach the routers late and at different times, traffic is spread unevenly, and clients retry.
#pragma once
#include <vector>

#include "base/pcg.hpp"
#include "event_queue.hpp"
#include "fleet_counts.hpp"
#include "simulated_endpoint.hpp"
#include "simulated_platform.hpp"
#include "simulated_router.hpp"

namespace ashbeam {

enum class FleetRelease { kNone, kGood, kBad };

struct FleetSettings {
  unsigned routers = 0;
  unsigned endpoints = 0;
  std::uint64_t seed = 0;
  FleetRelease release = FleetRelease::kNone;
};

class Fleet : private SimulatedNetwork, private PlatformActions {
 public:
  // Adds to `counts`, which must outlive this object.
  Fleet(const FleetSettings& fleet, FleetCounts& counts);
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;
  // Runs the fleet for this much simulated time. To be called once.
  void run(Duration duration);

 private:
  using Fault = void (Fleet::*)();
  struct SimulatedAnswer {
    Instant at;
    AttemptResult result = AttemptResult::kOk;
  };

  // Setup.
  double create_endpoints();  // returns the number of cores of the deployed endpoints
  void distribute_traffic();
  void start_router(SimulatedRouter& router);

  // Faults, injected only without a release.
  void run_faults(Duration elapsed);
  void lose_zone();
  void restore_zone();
  void restart_cold_endpoints();
  void drain_endpoints();
  void start_endpoint(EndpointIndex endpoint);
  void drain_endpoint(EndpointIndex endpoint);
  void notify_endpoint(EndpointIndex endpoint);

  // Clients.
  void send_due_requests();
  void send_request(SimulatedRouter& router, unsigned client_retries);
  void count_missing_answers();

  // Attempts.
  void count_attempt(SimulatedRouter& router, const SimulatedRequest& request, EndpointIndex endpoint);
  void count_canary_attempt(SimulatedRouter& router, unsigned request_class);
  void count_overload(SimulatedEndpoint& endpoint);
  AttemptResult attempt_result(const SimulatedEndpoint& endpoint, Instant end, Instant deadline);
  SimulatedAnswer serve(SimulatedEndpoint& endpoint, const SimulatedRequest& request);

  // Events.
  void run_due_events();
  SimulatedRouter* running_router(const RouterProcess& process);
  void handle(const AttemptEnded& event);
  void handle(const Wakeup& event);
  void handle(const ClientRetry& event);
  void handle(const VoteAnswered& event);
  void handle(const ReleaseStateNotice& event);
  void handle(const OutcomeSampleNotice& event);
  void handle(const EndpointNotice& event);
  void handle(const EndpointStarted& event);

  void send_attempt(SimulatedRouter& router, RequestId id, EndpointIndex index) override;
  void cancel_attempt(SimulatedRouter& router, RequestId request, unsigned attempt) override;
  void end_request(SimulatedRouter& router, RequestId id, Duration retry_after) override;
  void schedule_wakeup(SimulatedRouter& router, Duration delay, std::uint64_t token) override;
  void cast_vote(SimulatedRouter& router, unsigned stage, Vote vote) override;

  void notify_release_state() override;
  void notify_outcome_samples() override;
  Duration start_canary_endpoints(double fraction) override;
  void drain_canary_endpoints() override;

  const FleetRelease release_;
  FleetCounts& counts_;
  Pcg random_;
  Instant now_ = Instant::at_us(1'000'000'000);
  RouterSettings settings_;
  double capacity_per_s_ = 0;  // requests that all deployed endpoints can serve per second
  std::vector<SimulatedEndpoint> endpoints_;
  std::vector<SimulatedRouter> routers_;
  SimulatedPlatform platform_;
  EventQueue events_;
  std::size_t next_fault_ = 0;
  bool zone_lost_ = false;
};

}  // namespace ashbeam
