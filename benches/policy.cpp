// Benchmarks of the decision module: the cost of a request (`hit`) and of a wakeup (`beat`) by the number of
// listed endpoints. The router is one of 300; a tenth of the endpoints run the canary, a twentieth are cold.
// Google Benchmark measures times. For instruction counts, which are repeatable, run
//   valgrind --tool=callgrind --toggle-collect='ashbeam::one_hit*' build/ashbeam_policy_bench
//   --benchmark_filter=hit/1024
// and divide by the number of iterations that it prints; likewise for `one_beat`.
#include <benchmark/benchmark.h>

#include <memory>

#include "../proofs/fleet/fleet_settings.hpp"
#include "policy/router_policy.hpp"

namespace ashbeam {

constexpr unsigned kRouters = 300;
constexpr Duration kRequestDuration = Duration::ms(100);
constexpr Duration kWakeupInterval = Duration::ms(20);
constexpr Duration kClientTimeout = Duration::ms(2400);
constexpr std::uint64_t kPolicySeed = 7;
constexpr std::uint64_t kWakeupToken = 1;

// A router that records the endpoint of its latest attempt.
struct BenchmarkRouter : RouterActions {
  std::unique_ptr<RouterPolicy> policy;
  Instant now = Instant::at_us(100'000'000);
  RequestId request = 0;
  EndpointIndex endpoint = 0;
  bool sent = false;

  explicit BenchmarkRouter(unsigned endpoints) {
    RouterSettings settings = fleet_settings(kRouters, 0);
    settings.tenant_quota_per_s.clear();  // without quotas, no limit depends on the time since the start
    policy = make_router_policy(settings, kPolicySeed, *this);
    policy->set_time(now);
    policy->start();
    policy->begin_endpoint_update(true);
    for (EndpointIndex i = 0; i < endpoints; ++i) policy->update_endpoint(listed_endpoint(i));
    policy->end_endpoint_update();
    policy->on_release_state({2, 1, ReleasePhase::kCanary, 0.3, Duration()});
  }

  void send_attempt(RequestId, EndpointIndex chosen) override {
    sent = true;
    endpoint = chosen;
  }
  void reject(RequestId, Duration) override {}
  void fail(RequestId) override {}
  void cancel_attempt(RequestId, unsigned) override {}
  void schedule_wakeup(Duration, std::uint64_t) override {}
  void watch_endpoints() override {}
  void cast_vote(ReleaseVersion, unsigned, Vote) override {}
  void log(std::string_view) override {}

 private:
  // An endpoint whose start lies in the future stays cold.
  EndpointUpdate listed_endpoint(EndpointIndex index) const {
    const ReleaseVersion version = index % 10 == 0 ? 2 : 1;
    const Instant started_at = index % 20 == 0 ? now + Duration::s(3600) : Instant();
    return {index, EndpointState::kReady, version, index % 2, index / 8, index / 2 % 2, started_at};
  }
};

// Processes one request: accepts it, sends an attempt, and ends the attempt 100 ms later, when the next
// request is due.
[[gnu::noinline]] void one_hit(BenchmarkRouter& router) {
  router.sent = false;
  router.policy->set_time(router.now);
  ++router.request;
  router.policy->on_request({router.request, router.request % 3, 0, 0, router.now + kClientTimeout});
  router.now = router.now + kRequestDuration;
  router.policy->set_time(router.now);
  if (!router.sent) return;
  router.policy->on_attempt_end(
      {router.request, 0, router.endpoint, AttemptResult::kOk, kRequestDuration, true});
}

[[gnu::noinline]] void one_beat(BenchmarkRouter& router) {
  router.now = router.now + kWakeupInterval;
  router.policy->set_time(router.now);
  router.policy->on_wakeup(kWakeupToken);
}

namespace {

void hit(benchmark::State& state) {
  BenchmarkRouter router(static_cast<unsigned>(state.range(0)));
  for (auto _ : state) one_hit(router);
}

void beat(benchmark::State& state) {
  constexpr int kRequestsBefore = 50;
  BenchmarkRouter router(static_cast<unsigned>(state.range(0)));
  for (int i = 0; i < kRequestsBefore; ++i) one_hit(router);
  for (auto _ : state) one_beat(router);
}

BENCHMARK(hit)->Arg(20)->Arg(60)->Arg(300)->Arg(1024)->Iterations(2000);
BENCHMARK(beat)->Arg(20)->Arg(60)->Arg(300)->Arg(1024)->Iterations(2000);

}  // namespace
}  // namespace ashbeam

BENCHMARK_MAIN();
