// What the decision module spends on a hit and on a beat, by the number of hosts listed: one of 300 routers,
// a tenth of the hosts on trial, a twentieth cold. Times by Google Benchmark; instruction counts, which
// repeat, by
//   valgrind --tool=callgrind --toggle-collect='ashbeam::one_hit*' build/ashbeam_choice_bench
//   --benchmark_filter=hit/1024
// divided by the iterations that it names (and one_beat alike).
#include "choice.hpp"

#include <benchmark/benchmark.h>

#include <memory>

#include "../proofs/fleet_settings.hpp"

namespace ashbeam {

struct Bench : RouterActions {
  std::unique_ptr<RouterPolicy> router;
  Instant now = Instant::at_us(100'000'000);
  RequestId hit = 0;
  EndpointIndex host = 0;
  bool sent = false;

  explicit Bench(unsigned hosts) {
    RouterSettings terms = fleet_settings(300, 0);
    terms.customer_per_s.clear();  // no beat ends this router's youth: none of its bounds
    router = make_router_policy(terms, 7, *this);
    router->clock(now);
    router->started();
    router->list_begin(true);
    for (EndpointIndex h = 0; h < hosts; ++h)
      router->list_host(h, EndpointState::kReady, h % 10 == 0 ? 2 : 1, h % 2, h / 8, h / 2 % 2,
                        h % 20 == 0 ? now + Span::s(3600) : Instant());
    router->list_end();
    router->stage_told(2, 1, ReleasePhase::kCanary, false, VoteOutcome::kAccepted, 0.3, Span());
  }
  void forward(RequestId, EndpointIndex h, Span) override { sent = true, host = h; }
  void bounce(RequestId, Span) override {}
  void error(RequestId) override {}
  void cancel(RequestId, unsigned) override {}
  void wake(Span, std::uint64_t) override {}
  void ask_load(EndpointIndex) override {}
  void follow_list() override {}
  void vote(ReleaseVersion, unsigned, Vote) override {}
  void tell_peers(std::span<const std::uint8_t>) override {}
  void log(std::string_view) override {}
};

// A hit and its answer 100 ms later, one every 100 ms: taken, placed, ended.
[[gnu::noinline]] void one_hit(Bench& b) {
  b.sent = false;
  b.router->clock(b.now);
  ++b.hit;
  b.router->taken(b.hit, b.hit % 3, 0, 0, b.now + Span::ms(2400), 0);
  b.now = b.now + Span::ms(100);
  b.router->clock(b.now);
  if (b.sent) b.router->ended(b.hit, 0, b.host, AttemptResult::kOk, Span::ms(100), true, {});
}

[[gnu::noinline]] void one_beat(Bench& b) {
  b.now = b.now + Span::ms(20);
  b.router->clock(b.now);
  b.router->woken(1);
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
