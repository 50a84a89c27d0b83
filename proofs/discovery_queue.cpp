// What calls to a crowded discovery cost, in simulated time, with the router's own pacing of calls: one
// service serves the calls of all routers in turn; a call that has waited too long times out, and is served
// all the same. First seven in ten routers restart at one moment while the others come back from an outage;
// then all come back from an outage. For 1, 30, 300 and 900 routers, with the service slow enough that all of
// them take it 5.5 or 8 s. Figures are simulated.
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
constexpr Duration kLease = Duration::ms(6550);  // with a grace of 1 s
constexpr Duration kRetryDelayAfterOutage = Duration::ms(450);

enum class CallEventKind { kCall, kFailure };

struct CallEvent {
  Instant at;
  unsigned router = 0;
  CallEventKind kind = CallEventKind::kCall;
  // For std::priority_queue: the earliest first.
  bool operator<(const CallEvent& other) const { return at > other.at; }
};

struct Outcome {
  std::vector<double> wait_s;  // until a router had the list, or the end; sorted
  double calls = 0;
  double served_in_vain = 0;  // calls that had timed out
};

struct QueueSettings {
  std::vector<Instant> starts;  // when each router may first call
  Instant discovery_back;       // discovery is away until then
  Duration service_time;        // of a call
  Duration max_first_delay;     // a router's first call comes within that
};

class DiscoveryQueue {
 public:
  DiscoveryQueue(const QueueSettings& settings, Pcg& random)
      : settings_(settings), random_(random), free_at_(settings.discovery_back),
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
    const bool reached = event.at >= settings_.discovery_back;
    const Instant done = std::max(event.at, free_at_) + settings_.service_time;
    if (reached) free_at_ = done;
    if (!reached || done - event.at > kCallTimeout) {
      if (reached) ++outcome_.served_in_vain;
      events_.push({event.at + kCallTimeout, event.router, CallEventKind::kFailure});
      return;
    }
    has_list_[event.router] = true;
    const Instant wanted_since = std::max(settings_.starts[event.router], settings_.discovery_back);
    outcome_.wait_s.push_back((done - wanted_since).s());
  }

  const QueueSettings& settings_;
  Pcg& random_;
  Instant free_at_;  // when the service will have served all calls that have come
  std::vector<policy::CallPacing> pacing_;
  std::vector<bool> has_list_;
  std::priority_queue<CallEvent> events_;
  Outcome outcome_;
};

Duration max_initial_poll_delay(unsigned routers) {
  RouterSettings settings;
  settings.router_count = routers;
  settings.endpoint_poll_interval = Duration::s(10);
  return make_limits(1024, WireSettings{}, settings).max_initial_poll_delay;
}

void report(Proof& proof, const std::string& name, const Outcome& outcome, double max_late_share) {
  const std::vector<double>& wait = outcome.wait_s;
  const auto routers = static_cast<double>(wait.size());
  const auto late = static_cast<double>(wait.end() - std::upper_bound(wait.begin(), wait.end(), kLease.s()));
  const auto never = static_cast<double>(std::count(wait.begin(), wait.end(), kEnd.s()));
  proof.figure(name + "_median_s", wait[wait.size() / 2]);
  proof.figure(name + "_p90_s", wait[wait.size() * 9 / 10]);
  proof.figure(name + "_calls_per_router", outcome.calls / routers);
  proof.figure(name + "_worked_off_in_vain_share", outcome.served_in_vain / outcome.calls);
  proof.at_most(name + "_without_list_past_the_lease", late / routers, max_late_share);
  proof.at_most(name + "_never", never, 0);
}

// `all_take_s`: how long the service takes for a call of each router.
void play(Proof& proof, unsigned routers, double all_take_s) {
  constexpr double kSingleCallS = 0.02;
  const Instant restart = kBegin + Duration::s(10);
  const Instant discovery_back = restart - Duration::ms(2500);
  const Instant outage_begin = discovery_back - kOutage;
  // Where all take longer than the lease runs, not all can have a list in time.
  const double max_late_share = all_take_s < kLease.s() ? 0.3 : 0.8;
  const std::string suffix = std::to_string(routers) + (all_take_s < 6 ? "_at_5.5s" : "_at_8s");
  Pcg random(proof.seed * 1000 + routers);

  QueueSettings settings;
  settings.discovery_back = discovery_back;
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
    for (const unsigned routers : {1U, 30U, 300U, 900U}) play(proof, routers, all_take_s);
  }
  return proof.verdict();
}

}  // namespace
}  // namespace ashbeam

int main(int argc, char** argv) { return ashbeam::run_proof("discovery_queue", argc, argv, ashbeam::prove); }
