// What calls to a crowded discovery cost, in simulated time, with the router's own pacing of calls: one
// service works off the calls of all routers in turn; a call that has waited too long is turned away, and is
// worked off all the same. Seven in ten routers start anew at one moment while the others come back from an
// outage; then all from an outage. For 1, 30, 300 and 900 routers, with the service slow enough that all of
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

constexpr Span kPatience = Span::s(2), kOutage = Span::s(8), kEnd = Span::s(60), kUsualWait = Span::s(3);
constexpr Span kLease = Span::ms(6550);  // with a grace of 1 s

struct Event {
  Instant at;
  unsigned router = 0;
  bool failed = false;  // else a call
  bool operator<(const Event& other) const { return at > other.at; }
};

struct Outcome {
  std::vector<double> wait_s;  // until the list, or the end
  double calls = 0, worked_off_in_vain = 0;
};

// `starts`: when each router may first call; before `back` discovery is away.
Outcome play(const std::vector<Instant>& starts, Instant back, Span service, Span first_ask, Pcg& chance) {
  Outcome outcome;
  std::vector<policy::CallPacing> pacing(starts.size(), policy::CallPacing(kUsualWait));
  std::vector<bool> served(starts.size());
  std::priority_queue<Event> events;
  for (unsigned r = 0; r < starts.size(); ++r) events.push({starts[r] + first_ask * chance.unit(), r, false});
  Instant free_at = back;
  while (!events.empty() && events.top().at < Instant::at_us(0) + kEnd) {
    const Event event = events.top();
    events.pop();
    if (event.failed) {
      events.push({event.at + pacing[event.router].wait_after_failure(chance.unit()), event.router, false});
      continue;
    }
    ++outcome.calls;
    const Instant done = std::max(event.at, free_at) + service;
    const bool in_time = event.at >= back && done - event.at <= kPatience;
    if (event.at >= back) free_at = done;
    if (!in_time) {
      outcome.worked_off_in_vain += event.at >= back;
      events.push({event.at + kPatience, event.router, true});
      continue;
    }
    served[event.router] = true;
    outcome.wait_s.push_back((done - std::max(starts[event.router], back)).s());
  }
  for (const bool one : served) {
    if (!one) outcome.wait_s.push_back(kEnd.s());
  }
  std::sort(outcome.wait_s.begin(), outcome.wait_s.end());
  return outcome;
}

Span first_ask(unsigned routers) {
  RouterSettings terms;
  terms.router_count = routers;
  terms.endpoint_poll_interval = Span::s(10);
  return limits_for(1024, WireSettings{}, terms).max_initial_poll_delay;
}

void show(Proof& proof, const std::string& name, const Outcome& outcome, double most_late) {
  const std::vector<double>& wait = outcome.wait_s;
  const auto routers = static_cast<double>(wait.size());
  const auto late = static_cast<double>(wait.end() - std::upper_bound(wait.begin(), wait.end(), kLease.s()));
  proof.figure(name + "_median_s", wait[wait.size() / 2]);
  proof.figure(name + "_p90_s", wait[wait.size() * 9 / 10]);
  proof.figure(name + "_calls_per_router", outcome.calls / routers);
  proof.figure(name + "_worked_off_in_vain_share", outcome.worked_off_in_vain / outcome.calls);
  proof.at_most(name + "_without_list_past_the_lease", late / routers, most_late);
  proof.at_most(name + "_never", static_cast<double>(std::count(wait.begin(), wait.end(), kEnd.s())), 0);
}

int prove(int argc, char** argv) {
  Proof proof("discovery_queue", argc, argv);
  const Instant restart = Instant::at_us(0) + Span::s(10), back = restart - Span::ms(2500);
  for (const double all_take_s : {5.5, 8.0}) {
    // Where all take longer than the lease runs, not all can have a list in time.
    const double most_late = all_take_s < kLease.s() ? 0.3 : 0.8;
    for (const unsigned routers : {1U, 30U, 300U, 900U}) {
      Pcg chance(proof.seed * 1000 + routers);
      const Span service = Span::s(routers == 1 ? 0.02 : all_take_s / routers);
      const std::string suffix = std::to_string(routers) + (all_take_s < 6 ? "_at_5.5s" : "_at_8s");
      std::vector<Instant> starts(routers, restart);
      for (unsigned r = routers * 7 / 10; r < routers; ++r) starts[r] = back - kOutage;
      show(proof, "restarted_" + suffix, play(starts, back, service, first_ask(routers), chance), most_late);
      starts.assign(routers, back - kOutage);
      show(proof, "returned_" + suffix, play(starts, back, service, Span::ms(450), chance), most_late);
    }
  }
  return proof.verdict();
}

}  // namespace
}  // namespace ashbeam

int main(int argc, char** argv) { return ashbeam::run_proof("discovery_queue", argc, argv, ashbeam::prove); }
