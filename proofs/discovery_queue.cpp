// Simulates how long routers wait for an overloaded discovery service with the router's own pacing of calls.
// One service serves the calls of all routers in order of arrival. A call that waits too long times out, and
// still takes the service its full time. In the first scenario, seven in ten routers restart at the same time
// while the others return from an outage of discovery; in the second, all return from the outage. Both run
// with 1, 30, 300 and 900 routers, and with a service that takes 5.5 or 8 s for one call of each. All figures
// are simulated.
#include <algorithm>
#include <queue>
#include <string>
#include <vector>

#include "base/pcg.hpp"
#include "figures.hpp"
#include "policy/call_pacing.hpp"
#include "program/router_limits.hpp"
#include "program/startup_configuration.hpp"

namespace ashbeam {
namespace {

constexpr Instant kBegin = Instant::at_us(0);
constexpr Duration kCallTimeout = Duration::s(2);
constexpr Duration kOutage = Duration::s(8);
constexpr Duration kEnd = Duration::s(60);
constexpr Duration kUsualWait = Duration::s(3);
constexpr Duration kLease = Duration::ms(6550);  // the endpoint lease with a drain grace of 1 s
constexpr Duration kRetryDelayAfterOutage = Duration::ms(450);

enum class CallEventKind { kCall, kFailure };

struct CallEvent {
  Instant at;
  unsigned router = 0;
  CallEventKind kind = CallEventKind::kCall;
  // Orders std::priority_queue by time, the earliest first.
  bool operator<(const CallEvent& other) const { return at > other.at; }
};

struct Outcome {
  std::vector<double> wait_s;  // by router, until it had the list; kEnd if it never had; sorted
  double calls = 0;
  double served_after_timeout = 0;  // calls that were served after their timeout
};

struct QueueSettings {
  std::vector<Instant> starts;  // when each router may first call
  Instant outage_end;           // end of the outage of discovery
  Duration service_time;        // per call
  Duration max_first_delay;     // latest first call of a router after its start
};

class DiscoveryQueue {
 public:
  DiscoveryQueue(const QueueSettings& settings, Pcg& random)
      : settings_(settings), random_(random), service_free_at_(settings.outage_end),
        pacing_(settings.starts.size(), policy::CallPacing(kUsualWait)), has_list_(settings.starts.size()) {}

  Outcome run() {
    for (unsigned router = 0; router < settings_.starts.size(); ++router)
      schedule_call(settings_.starts[router] + settings_.max_first_delay * random_.next_double(), router);
    while (!events_.empty() && events_.top().at < kBegin + kEnd) {
      const CallEvent event = events_.top();
      events_.pop();
      if (event.kind == CallEventKind::kCall) {
        on_call(event);
      } else {
        on_failure(event);
      }
    }
    for (const bool has_list : has_list_) {
      if (!has_list) outcome_.wait_s.push_back(kEnd.s());
    }
    std::sort(outcome_.wait_s.begin(), outcome_.wait_s.end());
    return outcome_;
  }

 private:
  void schedule_call(Instant at, unsigned router) { events_.push({at, router, CallEventKind::kCall}); }

  void on_failure(const CallEvent& event) {
    const Duration wait = pacing_[event.router].on_failure(random_.next_double());
    schedule_call(event.at + wait, event.router);
  }

  void on_call(const CallEvent& event) {
    ++outcome_.calls;
    const bool reached = event.at >= settings_.outage_end;
    const Instant done = std::max(event.at, service_free_at_) + settings_.service_time;
    if (reached) service_free_at_ = done;
    if (!reached || done - event.at > kCallTimeout) {
      if (reached) ++outcome_.served_after_timeout;
      events_.push({event.at + kCallTimeout, event.router, CallEventKind::kFailure});
      return;
    }
    has_list_[event.router] = true;
    const Instant wanted_since = std::max(settings_.starts[event.router], settings_.outage_end);
    outcome_.wait_s.push_back((done - wanted_since).s());
  }

  const QueueSettings& settings_;
  Pcg& random_;
  Instant service_free_at_;  // when all calls that have arrived will have been served
  std::vector<policy::CallPacing> pacing_;
  std::vector<bool> has_list_;
  std::priority_queue<CallEvent> events_;
  Outcome outcome_;
};

Duration max_initial_poll_delay(unsigned routers) {
  RouterSettings settings;
  settings.router_count = routers;
  settings.endpoint_poll_interval = Duration::s(10);
  return make_limits({}, WireSettings{}, settings).max_initial_poll_delay;
}

void report(Proof& proof, const std::string& name, const Outcome& outcome, double max_late_share) {
  const std::vector<double>& wait = outcome.wait_s;
  const auto routers = static_cast<double>(wait.size());
  const auto late = static_cast<double>(wait.end() - std::upper_bound(wait.begin(), wait.end(), kLease.s()));
  const auto never = static_cast<double>(std::count(wait.begin(), wait.end(), kEnd.s()));
  proof.figure(name + "_median_s", wait[wait.size() / 2]);
  proof.figure(name + "_p90_s", wait[wait.size() * 9 / 10]);
  proof.figure(name + "_calls_per_router", outcome.calls / routers);
  proof.figure(name + "_worked_off_in_vain_share", outcome.served_after_timeout / outcome.calls);
  proof.at_most(name + "_without_list_past_the_lease", late / routers, max_late_share);
  proof.at_most(name + "_never", never, 0);
}

// Runs both scenarios. `all_take_s` is the time in which the service serves one call of each router.
void run_scenarios(Proof& proof, unsigned routers, double all_take_s) {
  constexpr double kSingleCallS = 0.02;
  const Instant restart = kBegin + Duration::s(10);
  const Instant outage_end = restart - Duration::ms(2500);
  const Instant outage_begin = outage_end - kOutage;
  // If serving all routers takes longer than the lease, not all can have a list in time.
  const double max_late_share = all_take_s < kLease.s() ? 0.3 : 0.8;
  const std::string suffix = std::to_string(routers) + (all_take_s < 6 ? "_at_5.5s" : "_at_8s");
  Pcg random(proof.seed * 1000 + routers);

  QueueSettings settings;
  settings.outage_end = outage_end;
  settings.service_time = Duration::s(routers == 1 ? kSingleCallS : all_take_s / routers);
  settings.max_first_delay = max_initial_poll_delay(routers);
  settings.starts.assign(routers, restart);
  std::fill(settings.starts.begin() + routers * 7 / 10, settings.starts.end(), outage_begin);
  report(proof, "restarted_" + suffix, DiscoveryQueue(settings, random).run(), max_late_share);

  settings.max_first_delay = kRetryDelayAfterOutage;
  settings.starts.assign(routers, outage_begin);
  report(proof, "returned_" + suffix, DiscoveryQueue(settings, random).run(), max_late_share);
}

int prove(int argc, char** argv) {
  Proof proof("discovery_queue", argc, argv);
  for (const double all_take_s : {5.5, 8.0}) {
    for (const unsigned routers : {1U, 30U, 300U, 900U}) run_scenarios(proof, routers, all_take_s);
  }
  return proof.verdict();
}

}  // namespace
}  // namespace ashbeam

int main(int argc, char** argv) { return ashbeam::run_proof("discovery_queue", argc, argv, ashbeam::prove); }
