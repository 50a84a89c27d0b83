// The counts of a simulated fleet's run. Several fleets may add to the same counts.
#pragma once

namespace ashbeam {

struct FleetCounts {
  // Requests.
  double requests = 0;
  double answered = 0;
  double missing_answers = 0;   // requests without an answer by their deadline
  double repeated_answers = 0;  // second answers, and attempts sent after the answer
  double unsafe_sent = 0;       // attempts of unsafe requests
  double unsafe_retried = 0;
  double unsafe_repeated = 0;  // attempts sent although an earlier one may have run

  // Endpoints.
  double cold_starts = 0;
  double cold_answered = 0;    // cold starts after which the endpoint answered before it was warm
  double cold_overloads = 0;   // endpoints that failed under load before they were warm
  double cold_peak_ratio = 0;  // largest ratio of a window's work to the work at which the endpoint fails
  double drains_notified = 0;
  double sent_after_drain_grace = 0;  // attempts to draining endpoints after the drain grace
  double routers_restarted = 0;

  // Releases.
  double canary_sent = 0;
  double canary_errors = 0;
  double over_exposure_cap = 0;  // attempts to the canary beyond the exposure cap
  double votes_accepted = 0;
  double votes_throttled = 0;
  double votes_out_of_date = 0;    // for another stage than the current one
  double released_after_s = 0;     // since the release started; 0 if not released
  double rolled_back_after_s = 0;  // since the release started; 0 if not rolled back
};

}  // namespace ashbeam
