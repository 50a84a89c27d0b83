// What a simulated fleet counts while it runs. Several fleets may add to the same counts.
#pragma once

namespace ashbeam {

struct FleetCounts {
  // Requests.
  double requests = 0;
  double answered = 0;
  double missing_answers = 0;   // none by the deadline
  double repeated_answers = 0;  // answered again, or sent after the answer
  double unsafe_sent = 0;       // attempts of unsafe requests
  double unsafe_retried = 0;
  double unsafe_repeated = 0;  // sent although an earlier attempt may have run

  // Endpoints.
  double cold_starts = 0;
  double cold_answered = 0;    // cold starts with an answer before the endpoint was warm
  double cold_overloads = 0;   // endpoints that failed under load before they were warm
  double cold_peak_ratio = 0;  // largest work of a window, as a part of what an endpoint fails at
  double drains_notified = 0;
  double sent_past_drain = 0;  // attempts to draining endpoints past the grace
  double routers_restarted = 0;

  // Releases.
  double canary_sent = 0;
  double canary_errors = 0;
  double over_exposure_cap = 0;  // attempts to the canary past the exposure cap
  double votes_accepted = 0;
  double votes_throttled = 0;
  double votes_out_of_date = 0;  // for another stage than the current one
  double released_after_s = 0;   // 0: never
  double rolled_back_after_s = 0;
};

}  // namespace ashbeam
