// Quotas of many routers in simulated time. Subjects of one tenant are on two routers each, as a front deals
// out two connections, and on two others every 15 s; a thousandth cheat, on fifty at once. Half ask for less
// than their limit, half for three times as much. The tenant's own limit is what all its subjects' limits
// come to.
#pragma once
#include "figures.hpp"

namespace ashbeam {

struct QuotaSimulationSettings {
  unsigned routers = 0;
  unsigned subjects = 0;
  double seconds = 0;  // of simulated time
};

// Adds its figures and their bounds to `proof`.
void simulate_quotas(Proof& proof, const QuotaSimulationSettings& settings);

}  // namespace ashbeam
