// Fixtures for tests of the policy: RouterActions that record their calls, and a router with simulated
// endpoints and simulated time.
#pragma once
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "policy/router_policy.hpp"

namespace ashbeam {

struct SentAttempt {
  RequestId request;
  EndpointIndex endpoint;
  unsigned attempt;
};

// Records the actions of the router.
struct RecordingActions : RouterActions {
  struct Cancelled {
    RequestId request;
    unsigned attempt;
  };
  struct CastVote {
    unsigned stage;
    Vote vote;
  };
  std::vector<SentAttempt> attempts;
  std::map<RequestId, unsigned> attempt_counts;
  std::vector<RequestId> rejected;
  std::vector<RequestId> failed;
  std::vector<Cancelled> cancelled;
  std::vector<CastVote> votes;
  std::vector<std::string> lines;
  unsigned watch_count = 0;                   // The number of calls of watch_endpoints().
  std::map<std::uint64_t, Duration> wakeups;  // The last delay of each token.

  void send_attempt(RequestId request, EndpointIndex endpoint) override {
    attempts.push_back({request, endpoint, attempt_counts[request]++});
  }
  void reject(RequestId request, Duration) override { rejected.push_back(request); }
  void fail(RequestId request) override { failed.push_back(request); }
  void cancel_attempt(RequestId request, unsigned attempt) override {
    cancelled.push_back({request, attempt});
  }
  void schedule_wakeup(Duration delay, std::uint64_t token) override { wakeups[token] = delay; }
  void watch_endpoints() override { ++watch_count; }
  void cast_vote(ReleaseVersion, unsigned stage, Vote vote) override { votes.push_back({stage, vote}); }
  void log(std::string_view line) override { lines.emplace_back(line); }

  bool voted(Vote vote) const {
    return std::any_of(votes.begin(), votes.end(), [&](const CastVote& cast) { return cast.vote == vote; });
  }
  // Returns whether a log line contains `part`.
  bool logged(const std::string& part) const {
    return std::any_of(lines.begin(), lines.end(),
                       [&](const std::string& line) { return line.find(part) != std::string::npos; });
  }
};

// Returns settings with three request classes: 0 is idempotent, 1 is keyed within a zone, and 2 is unsafe.
inline RouterSettings default_settings() {
  RouterSettings settings;
  for (const Idempotency idempotency :
       {Idempotency::kIdempotent, Idempotency::kKeyed, Idempotency::kUnsafe}) {
    RequestClass request_class;
    request_class.idempotency = idempotency;
    request_class.scope = IdempotencyScope::kZone;
    request_class.latency_objective = Duration::ms(600);
    request_class.client_timeout = Duration::s(2);
    request_class.key_retention = Duration::s(1);
    settings.request_classes.push_back(request_class);
  }
  settings.zone_count = 2;
  settings.router_count = 2;
  settings.may_cancel = true;
  settings.may_hedge = true;
  settings.max_attempts = 4;
  settings.drain_grace = Duration::s(1);
  settings.endpoint_poll_interval = Duration::s(10);
  settings.slow_start_window = Duration::s(1);
  settings.slow_start_duration = Duration::s(4);
  settings.clock_tolerance = Duration::ms(5);
  settings.initial_capacity_fraction = 0.33;
  settings.exposure_caps = {0.1, 0.4, 1.0};
  settings.stage_endpoint_fractions = {0.1, 0.3, 1.0};
  settings.exposure_allowance = 2;
  settings.exposure_window = Duration::s(2);
  settings.vote_ttl = Duration::s(10);
  settings.bake_time = Duration::s(2);
  settings.max_platform_calls_per_s = 50;
  return settings;
}

// How an endpoint answers an attempt.
struct Outcome {
  AttemptResult result = AttemptResult::kOk;
  Duration duration = Duration::ms(50);
  bool never_answers = false;  // If true, the endpoint never answers.
};

// One router with `stable` endpoints of version 1 and `canary` endpoints of version 2. All of them have their
// full capacity. Even endpoints are in zone 0 and odd ones in zone 1. Each attempt ends as `serve` returns.
struct SimulatedRouter {
  static constexpr Duration kStep = Duration::ms(5);
  static constexpr std::uint64_t kTickToken = 1;

  struct PendingAttempt {
    Instant ends_at;
    SentAttempt attempt;
    Outcome outcome;
  };

  RecordingActions actions;
  std::unique_ptr<RouterPolicy> policy;
  Instant now = Instant::at_us(0) + Duration::s(100);
  std::map<EndpointIndex, ReleaseVersion> versions;
  std::vector<PendingAttempt> pending;
  std::size_t processed_attempts = 0;       // The number of attempts that run() has passed to `serve`.
  std::size_t processed_cancellations = 0;  // The number of cancellations that run() has answered.
  RequestId next_request = 1;
  unsigned tenant_count = 1;  // The requests belong to these tenants in rotation.
  Outcome (*serve)(ReleaseVersion version, EndpointIndex endpoint) = [](ReleaseVersion, EndpointIndex) {
    return Outcome{};
  };

  explicit SimulatedRouter(const RouterSettings& settings, unsigned stable = 8, unsigned canary = 0,
                           std::uint64_t seed = 7) {
    policy = make_router_policy(settings, seed, actions);
    policy->set_time(now);
    policy->start();
    set_endpoints(stable, canary);
    set_release(1, 2, ReleasePhase::kReleased, 1);
  }

  // Replaces the endpoint list by `stable` stable endpoints, followed by `canary` canary endpoints that
  // started at `canary_start`.
  void set_endpoints(unsigned stable, unsigned canary, Instant canary_start = Instant(),
                     unsigned canary_machine_type = 0) {
    versions.clear();
    policy->set_time(now);
    policy->begin_endpoint_update(true);
    for (EndpointIndex endpoint = 0; endpoint < stable + canary; ++endpoint) {
      const bool is_stable = endpoint < stable;
      versions[endpoint] = is_stable ? 1 : 2;
      EndpointUpdate update;
      update.endpoint = endpoint;
      update.state = EndpointState::kReady;
      update.version = versions[endpoint];
      update.zone = endpoint % 2;
      update.cell = endpoint;
      update.machine_type = is_stable ? 0 : canary_machine_type;
      update.started_at = is_stable ? Instant() : canary_start;
      policy->update_endpoint(update);
    }
    policy->end_endpoint_update();
  }

  void set_release(ReleaseVersion version, unsigned stage, ReleasePhase phase, double exposure_cap) {
    policy->set_time(now);
    policy->on_release_state({version, stage, phase, exposure_cap, Duration()});
  }

  // Passes a new request to the router and returns its id.
  RequestId request(unsigned request_class = 0, std::uint64_t sticky_key = 0,
                    Duration time_left = Duration::s(2)) {
    policy->set_time(now);
    policy->on_request(
        {next_request, request_class, next_request % tenant_count, sticky_key, now + time_left});
    return next_request++;
  }

  void end_attempt(const SentAttempt& attempt, AttemptResult result, Duration duration = Duration::ms(50),
                   bool answered_client = false) {
    policy->set_time(now);
    policy->on_attempt_end({attempt.request, attempt.attempt, attempt.endpoint, result, duration,
                            answered_client || result == AttemptResult::kOk});
  }

  // Advances the time by `length` and passes `requests_per_s` requests per second to the router, of the given
  // classes in rotation.
  void run(Duration length, int requests_per_s, std::vector<unsigned> request_classes = {0}) {
    double due_requests = 0;
    for (const Instant until = now + length; now < until; now = now + kStep) {
      for (due_requests += requests_per_s * kStep.s(); due_requests >= 1; due_requests -= 1)
        request(request_classes[next_request % request_classes.size()]);
      serve_new_attempts();
      end_cancelled_attempts();
      end_due_attempts();
      tick();
    }
  }

  void tick() {
    policy->set_time(now);
    policy->on_wakeup(kTickToken);
  }

  // Returns the number of attempts to endpoints of a version, from the attempt with index `from` on.
  std::size_t sent_to(ReleaseVersion version, std::size_t from = 0) const {
    std::size_t count = 0;
    for (std::size_t i = from; i < actions.attempts.size(); ++i)
      if (versions.at(actions.attempts[i].endpoint) == version) ++count;
    return count;
  }

 private:
  void serve_new_attempts() {
    for (; processed_attempts < actions.attempts.size(); ++processed_attempts) {
      const SentAttempt& attempt = actions.attempts[processed_attempts];
      const Outcome outcome = serve(versions[attempt.endpoint], attempt.endpoint);
      if (!outcome.never_answers) pending.push_back({now + outcome.duration, attempt, outcome});
    }
  }

  void end_cancelled_attempts() {
    for (; processed_cancellations < actions.cancelled.size(); ++processed_cancellations) {
      const RecordingActions::Cancelled cancelled = actions.cancelled[processed_cancellations];
      const auto attempt =
          std::find_if(actions.attempts.begin(), actions.attempts.end(), [&](const SentAttempt& sent) {
            return sent.request == cancelled.request && sent.attempt == cancelled.attempt;
          });
      end_attempt(SentAttempt(*attempt), AttemptResult::kCancelled, Duration::ms(250));
    }
  }

  void end_due_attempts() {
    for (std::size_t i = 0; i < pending.size();) {
      if (pending[i].ends_at > now) {
        ++i;
        continue;
      }
      const PendingAttempt due = pending[i];
      pending.erase(pending.begin() + static_cast<std::ptrdiff_t>(i));
      end_attempt(due.attempt, due.outcome.result, due.outcome.duration);
    }
  }
};

// Returns a router 5 s after its start, at the moment when a canary release begins.
inline SimulatedRouter router_with_canary(const RouterSettings& settings = default_settings(),
                                          double exposure_cap = 0.4, unsigned stable = 8,
                                          unsigned canary = 3) {
  SimulatedRouter router(settings, stable, 0);
  router.run(Duration::s(5), 100);
  router.set_endpoints(stable, canary);
  router.set_release(2, 0, ReleasePhase::kCanary, exposure_cap);
  return router;
}

}  // namespace ashbeam
