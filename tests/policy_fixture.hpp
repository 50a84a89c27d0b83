// For tests of the decisions: actions that are recorded, and one router with simulated endpoints and time.
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

// Records what the router does.
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
  unsigned watches = 0;                       // opened
  std::map<std::uint64_t, Duration> wakeups;  // the last delay asked for, by token

  void send_attempt(RequestId request, EndpointIndex endpoint) override {
    attempts.push_back({request, endpoint, attempt_counts[request]++});
  }
  void reject(RequestId request, Duration) override { rejected.push_back(request); }
  void fail(RequestId request) override { failed.push_back(request); }
  void cancel_attempt(RequestId request, unsigned attempt) override {
    cancelled.push_back({request, attempt});
  }
  void schedule_wakeup(Duration delay, std::uint64_t token) override { wakeups[token] = delay; }
  void watch_endpoints() override { ++watches; }
  void cast_vote(ReleaseVersion, unsigned stage, Vote vote) override { votes.push_back({stage, vote}); }
  void log(std::string_view line) override { lines.emplace_back(line); }

  bool voted(Vote vote) const {
    return std::any_of(votes.begin(), votes.end(), [&](const CastVote& cast) { return cast.vote == vote; });
  }
  bool logged(const std::string& part) const {
    return std::any_of(lines.begin(), lines.end(),
                       [&](const std::string& line) { return line.find(part) != std::string::npos; });
  }
};

// Three request classes, one of each kind: 0 idempotent, 1 keyed within a zone, 2 unsafe.
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

// What an endpoint makes of an attempt.
struct Outcome {
  AttemptResult result = AttemptResult::kOk;
  Duration duration = Duration::ms(50);
  bool never = false;  // it is not answered at all
};

// One router before `stable` endpoints of version 1 and `canary` ones of version 2, all warm; each attempt
// ends as `serve` says. Endpoints are in two zones by turns.
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
  std::size_t served = 0;              // attempts taken up by run() so far
  std::size_t cancellations_seen = 0;  // the same of cancellations
  RequestId next_request = 1;
  unsigned tenant_count = 1;  // requests are theirs by turns
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

  // The complete list: so many stable endpoints, then canary ones that started at `canary_start`.
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

  // Runs for a while at so many requests a second, of the given classes by turns.
  void run(Duration length, int requests_per_s, std::vector<unsigned> request_classes = {0}) {
    double due = 0;
    for (const Instant until = now + length; now < until; now = now + kStep) {
      for (due += requests_per_s * kStep.s(); due >= 1; due -= 1)
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

  std::size_t sent_to(ReleaseVersion version, std::size_t from = 0) const {
    std::size_t count = 0;
    for (std::size_t i = from; i < actions.attempts.size(); ++i)
      if (versions.at(actions.attempts[i].endpoint) == version) ++count;
    return count;
  }

 private:
  void serve_new_attempts() {
    for (; served < actions.attempts.size(); ++served) {
      const SentAttempt& attempt = actions.attempts[served];
      const Outcome outcome = serve(versions[attempt.endpoint], attempt.endpoint);
      if (!outcome.never) pending.push_back({now + outcome.duration, attempt, outcome});
    }
  }

  void end_cancelled_attempts() {
    for (; cancellations_seen < actions.cancelled.size(); ++cancellations_seen) {
      const RecordingActions::Cancelled cancelled = actions.cancelled[cancellations_seen];
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

// A router some seconds after its start, with a canary that has just been offered.
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
