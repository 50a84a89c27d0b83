// What the decision module spends on a hit and on a beat, by the number of hosts listed: one of 300 routers,
// a tenth of the hosts on trial, a twentieth cold. Times by Google Benchmark; instruction counts, which
// repeat, by
//   valgrind --tool=callgrind --toggle-collect='ashbeam::one_hit*' build/ashbeam_policy_bench
//   --benchmark_filter=hit/1024
// divided by the iterations that it names (and one_beat alike).
#include <benchmark/benchmark.h>

#include <memory>

#include "../proofs/fleet/fleet_settings.hpp"
#include "policy/router_policy.hpp"

namespace ashbeam {

struct Bench : RouterActions {
  std::unique_ptr<RouterPolicy> router;
  Instant now = Instant::at_us(100'000'000);
  RequestId hit = 0;
  EndpointIndex host = 0;
  bool sent = false;

  explicit Bench(unsigned hosts) {
    RouterSettings terms = fleet_settings(300, 0);
    terms.tenant_quota_per_s.clear();  // no beat ends this router's youth: none of its bounds
    router = make_router_policy(terms, 7, *this);
    router->set_time(now);
    router->start();
    router->begin_endpoint_update(true);
    for (EndpointIndex h = 0; h < hosts; ++h)
      router->update_endpoint({h, EndpointState::kReady, h % 10 == 0 ? 2U : 1U, h % 2, h / 8, h / 2 % 2,
                               h % 20 == 0 ? now + Span::s(3600) : Instant()});
    router->end_endpoint_update();
    router->on_release_state({2, 1, ReleasePhase::kCanary, 0.3, Span()});
  }
  void send_attempt(RequestId, EndpointIndex h) override { sent = true, host = h; }
  void reject(RequestId, Span) override {}
  void fail(RequestId) override {}
  void cancel_attempt(RequestId, unsigned) override {}
  void schedule_wakeup(Span, std::uint64_t) override {}
  void watch_endpoints() override {}
  void cast_vote(ReleaseVersion, unsigned, Vote) override {}
  void log(std::string_view) override {}
};

// A hit and its answer 100 ms later, one every 100 ms: taken, placed, ended.
[[gnu::noinline]] void one_hit(Bench& b) {
  b.sent = false;
  b.router->set_time(b.now);
  ++b.hit;
  b.router->on_request({b.hit, b.hit % 3, 0, 0, b.now + Span::ms(2400)});
  b.now = b.now + Span::ms(100);
  b.router->set_time(b.now);
  if (b.sent) b.router->on_attempt_end({b.hit, 0, b.host, AttemptResult::kOk, Span::ms(100), true});
}

[[gnu::noinline]] void one_beat(Bench& b) {
  b.now = b.now + Span::ms(20);
  b.router->set_time(b.now);
  b.router->on_wakeup(1);
}

namespace {

void hit(benchmark::State& state) {
  Bench b(static_cast<unsigned>(state.range(0)));
  for (auto _ : state) one_hit(b);
}
void beat(benchmark::State& state) {
  Bench b(static_cast<unsigned>(state.range(0)));
  for (int i = 0; i < 50; ++i) one_hit(b);
  for (auto _ : state) one_beat(b);
}
BENCHMARK(hit)->Arg(20)->Arg(60)->Arg(300)->Arg(1024)->Iterations(2000);
BENCHMARK(beat)->Arg(20)->Arg(60)->Arg(300)->Arg(1024)->Iterations(2000);

}  // namespace
}  // namespace ashbeam

BENCHMARK_MAIN();
