// Simulates the quotas of many routers in simulated time. Each subject of one tenant uses two routers, as a
// load balancer assigns its two connections, and two others every 15 s. One subject in a thousand cheats by
// using fifty routers at once. Half of the subjects send less than their limit, half three times as much. The
// tenant's limit is the sum of its subjects' limits.
#pragma once
#include "figures.hpp"

namespace ashbeam {

struct QuotaSimulationSettings {
  unsigned routers = 0;
  unsigned subjects = 0;
  double seconds = 0;  // simulated time
};

// Runs the simulation, prints its figures and checks their bounds with `proof`.
void simulate_quotas(Proof& proof, const QuotaSimulationSettings& settings);

}  // namespace ashbeam
