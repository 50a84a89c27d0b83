// Fault test of the authorizer. Signing keys rotate every 2 s, certificates and keys are revoked throughout,
// and for a third of the run tokens with bad signatures arrive at ten times the usual rate. One router runs
// on its own thread, with files as an operator writes them; fakes stand for all its peers. Then quotas are
// simulated for 1,000 routers and 10^6 subjects, or for fewer in a short run.
#include <algorithm>
#include <csignal>
#include <vector>

#include "access_load.hpp"
#include "figures.hpp"
#include "operator_files.hpp"
#include "quota_simulation.hpp"

namespace ashbeam {
namespace {

constexpr double kMaxTimeToInForceMs = 200;  // limit for the time until a revocation takes effect

double p99(std::vector<double> values) {
  if (values.empty()) return 0;
  const auto at = values.begin() + static_cast<std::ptrdiff_t>(values.size() * 99 / 100);
  std::nth_element(values.begin(), at, values.end());
  return *at;
}

AccessCounts run_load(const Proof& proof) {
  OperatorFiles files;
  AccessLoad load(proof, files);
  return load.run();
}

void report(Proof& proof, const AccessCounts& counts) {
  const auto figure = [](std::uint64_t count) { return static_cast<double>(count); };
  proof.at_least("hits", figure(counts.sent), 1000);
  proof.timed_at_least("hits_per_s", figure(counts.sent) / proof.seconds, 500);
  for (const auto& [kind, served] : counts.served_by_kind) proof.figure("served_" + kind, figure(served));
  proof.figure("key_rotations", figure(counts.key_rotations));
  proof.figure("keys_revoked", figure(counts.keys_revoked));
  proof.figure("certificates_revoked", figure(counts.certificates_revoked));
  proof.figure("resumed_hits", figure(counts.resumed));
  proof.at_most("valid_refused", figure(counts.valid_refused), 0);
  proof.timed_at_most("valid_failed", figure(counts.valid_failed), figure(counts.sent) / 1000);
  proof.at_most("unproven_served", figure(counts.unauthenticated_served), 0);
  proof.at_least("revoked_refused", figure(counts.revoked_refused), 1);
  proof.at_most("revoked_served", figure(counts.revoked_served), 0);
  proof.timed_at_most("revoked_in_force_ms", counts.max_in_force_ms, kMaxTimeToInForceMs);
  proof.at_most("answers_missing", figure(counts.unanswered), 0);
  proof.at_most("answers_twice", figure(counts.answered_twice), 0);
  proof.at_most("duplicate_mutating", figure(counts.duplicates), 0);
  proof.figure("flood_per_s", figure(counts.flood.sent) / (proof.seconds / 3));
  proof.at_most("flood_served", figure(counts.flood.served), 0);
  const double normal_ms = p99(counts.normal_ms);
  const double flood_ms = p99(counts.flood_ms);
  proof.figure("innocent_p99_calm_ms", normal_ms);
  proof.timed_at_most("innocent_p99_ratio", flood_ms / normal_ms, 1.2);
  proof.figure("innocent_refused", figure(counts.valid_refused));
}

int prove(int argc, char** argv) {
  Proof proof("calling", argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  report(proof, run_load(proof));
  if (proof.is_long_run()) {
    simulate_quotas(proof, {.routers = 1000, .subjects = 1'000'000, .seconds = 30});
  } else {
    simulate_quotas(proof, {.routers = 100, .subjects = 50'000, .seconds = 20});
  }
  return proof.verdict();
}

}  // namespace
}  // namespace ashbeam

int main(int argc, char** argv) { return ashbeam::run_proof("calling", argc, argv, ashbeam::prove); }
