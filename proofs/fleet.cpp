// Fault test of hundreds of routers in simulated time, each of them the decision module alone (see
// fleet/fleet.hpp). Three fleets run without a release; a zone fails in the first two if they run long
// enough. Then one good and one bad release run, on a platform that accepts few calls per second and needs
// the votes of two fifths of the routers. All figures are simulated. `--seconds` is the simulated time of
// each of the first two fleets; the third runs for one second.
#include "fleet/fleet.hpp"

#include "figures.hpp"

namespace ashbeam {
namespace {

constexpr Duration kReleaseDuration = Duration::s(24);
constexpr unsigned kReleaseRouters = 200;
constexpr unsigned kReleaseEndpoints = 80;

void run_faults(Proof& proof) {
  FleetCounts counts;
  const Duration duration = Duration::s(proof.seconds);
  Fleet({350, 120, proof.seed}, counts).run(duration);
  Fleet({300, 60, proof.seed + 1}, counts).run(duration);
  Fleet({1024, 1024, proof.seed + 2}, counts)
      .run(Duration::s(1));  // 1,024 is a limit of neither routers nor endpoints
  proof.figure("hits_asked", counts.requests);
  proof.at_least("hits_served_part", counts.answered / counts.requests, 0.4);
  proof.figure("routers_started_anew", counts.routers_restarted);
  proof.figure("cold_starts", counts.cold_starts);
  proof.at_most("cold_fell", counts.cold_overloads, 0);
  proof.figure("cold_peak_ratio", counts.cold_peak_ratio);
  proof.at_least("cold_served", counts.cold_answered, counts.cold_starts * 0.5);
  proof.at_most("answers_missing", counts.missing_answers, 0);
  proof.at_most("answers_twice", counts.repeated_answers, 0);
  proof.figure("mutating_sent", counts.unsafe_sent);
  proof.at_least("mutating_sent_again", counts.unsafe_retried, 1);
  proof.at_most("mutating_twice", counts.unsafe_repeated, 0);
  proof.at_least("drains_told", counts.drains_notified, 1);
  proof.at_most("drained_sent", counts.sent_after_drain_grace, 0);
  proof.at_least("trial_sent", counts.canary_sent, 1);
  proof.at_most("over_cap", counts.over_exposure_cap, 0);
}

void run_good_release(Proof& proof) {
  FleetCounts counts;
  Fleet({kReleaseRouters, kReleaseEndpoints, proof.seed + 3, FleetRelease::kGood}, counts)
      .run(kReleaseDuration);
  proof.at_least("good_released_after_s", counts.released_after_s, 1);  // 0 if not released
  proof.at_most("good_sent_back", counts.rolled_back_after_s > 0, 0);
  proof.at_least("good_served_part", counts.answered / counts.requests, 0.8);
  proof.at_most("good_cold_fell", counts.cold_overloads, 0);
  proof.at_least("calls_taken", counts.votes_accepted, 3 * 80);
  proof.figure("calls_turned_away", counts.votes_throttled);
  proof.figure("calls_void", counts.votes_out_of_date);
}

void run_bad_release(Proof& proof) {
  FleetCounts counts;
  Fleet({kReleaseRouters, kReleaseEndpoints, proof.seed + 4, FleetRelease::kBad}, counts)
      .run(kReleaseDuration);
  proof.at_most("bad_released", counts.released_after_s > 0, 0);
  proof.at_least("bad_sent_back_after_s", counts.rolled_back_after_s, 1);
  proof.at_most("bad_hits_part", counts.canary_errors / counts.requests, 0.1);
}

int prove(int argc, char** argv) {
  Proof proof("fleet", argc, argv);
  run_faults(proof);
  run_good_release(proof);
  run_bad_release(proof);
  return proof.verdict();
}

}  // namespace
}  // namespace ashbeam

int main(int argc, char** argv) { return ashbeam::run_proof("fleet", argc, argv, ashbeam::prove); }
