// Benchmarks of the authorizer: quota decisions, token verifications, and requests and TLS handshakes through
// a whole router on loopback, compared with a router without authorization in the same run.
#include <benchmark/benchmark.h>

#include <csignal>
#include <string>
#include <vector>

#include "base/pcg.hpp"
#include "calling/authorizer.hpp"
#include "router_under_load.hpp"
#include "tokens/key_set.hpp"

namespace ashbeam {
namespace {

using namespace calling;

const Instant kBegin = Instant::at_us(1'700'000'000'000'000);

std::uint64_t hash_of(std::uint64_t subject) { return (subject + 1) * 0x9e3779b97f4a7c15ULL; }

// ---- Quota decisions, each for a tenant and a random subject ----

void quota_decision(benchmark::State& state) {
  const auto subjects = static_cast<std::uint32_t>(state.range(0));
  SubjectTable table(static_cast<std::size_t>(subjects));
  const RouterLimit subject_rate = RouterLimit::share_of({5, 5, 4}, 2, 4, Duration::s(10));
  const RouterLimit tenant_rate = RouterLimit::share_of({1e6, 1e4, 0}, 8, 4, Duration::s(10));
  std::int64_t now_ns = nanoseconds_of(kBegin);
  Bucket tenant;
  tenant.reset(now_ns, Bucket::kUnset, Bucket::kUnset);
  Pcg random(3);
  std::uint64_t admitted = 0;
  for (std::uint32_t i = 0; i < subjects; ++i) table.find_or_insert(hash_of(i), kBegin);
  std::uint64_t next = hash_of(random.next_below(subjects));
  for (auto _ : state) {
    const std::uint64_t hash = next;
    next = hash_of(random.next_below(subjects));
    table.prefetch(next);  // as the authorizer does between the token and the quota
    now_ns += 1000;
    const std::uint32_t slot = table.find_or_insert(hash, Instant::at_us(now_ns / 1000));
    if (slot == SubjectTable::kNone) continue;
    Bucket& own = table.bucket(slot);
    if (own.wait_ns(subject_rate, now_ns) == 0 && tenant.wait_ns(tenant_rate, now_ns) == 0) {
      own.consume(subject_rate, now_ns);
      tenant.consume(tenant_rate, now_ns);
      ++admitted;
    } else {
      benchmark::DoNotOptimize(own.assign_retry_slot_ns(subject_rate, now_ns));
    }
  }
  benchmark::DoNotOptimize(admitted);
  state.counters["bytes_per_subject"] = static_cast<double>(table.size_bytes()) / subjects;
}
BENCHMARK(quota_decision)->Arg(100)->Arg(10'000)->Arg(1'000'000);

// ---- Tokens ----

void token(benchmark::State& state, tokens::Algorithm algorithm, bool cached) {
  tokens::KeyEntry entry;
  entry.key = tokens::Key::generate(algorithm);
  entry.kid = "k";
  CallingSettings settings = benchmark_settings();
  settings.max_cached_tokens = 4096;
  Authorizer authorizer(settings, 7, kBegin);
  authorizer.update_keys(std::vector{entry}, kBegin);
  std::vector<std::string> fields;
  for (int i = 0; i < (cached ? 512 : 8192); ++i)
    fields.push_back("Bearer " + benchmark_token(entry.key, "s" + std::to_string(i), kBegin));
  ConnectionHistory history{true};
  Identity identity;
  Duration retry_after;
  Instant now = kBegin;
  std::size_t at = 0;
  for (auto _ : state) {
    now = now + Duration::us(100);
    at = (at + 1) % fields.size();
    Credentials credentials;
    credentials.authorization = fields[at];
    if (authorizer.authenticate(credentials, history, now, identity, retry_after) != Refusal::kNone)
      state.SkipWithError("the authorizer refused a valid token");
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK_CAPTURE(token, ed25519_verified, tokens::Algorithm::kEdDsa, false)->Iterations(30000);
BENCHMARK_CAPTURE(token, es256_verified, tokens::Algorithm::kEs256, false)->Iterations(30000);
BENCHMARK_CAPTURE(token, cached, tokens::Algorithm::kEs256, true);

// ---- A whole router on loopback ----

// Counts requests per CPU time of the router's thread, since the fakes would limit the rate of plain
// requests. Alternates with plain requests in the same run, since the machine's speed changes from second to
// second.
void router(benchmark::State& state, LoadKind kind) {
  constexpr int kRounds = 5;
  constexpr double kRoundSeconds = 1;
  for (auto _ : state) {
    RouterUnderLoad::Result plain;
    RouterUnderLoad::Result own;
    for (int i = 0; i < kRounds; ++i) {
      plain += RouterUnderLoad(LoadKind::kPlain).run(kRoundSeconds);
      own += RouterUnderLoad(kind).run(kRoundSeconds);
    }
    state.counters["per_s"] = static_cast<double>(own.good) / own.seconds;
    state.counters["per_cpu_s"] = own.good_per_cpu_s();
    state.counters["ratio_to_plain"] = own.good_per_cpu_s() / plain.good_per_cpu_s();
    state.counters["not_200"] = static_cast<double>(own.other);
    if (kind == LoadKind::kResumedHandshake)
      state.counters["resumed"] = static_cast<double>(own.resumed) / static_cast<double>(own.good);
  }
}
BENCHMARK_CAPTURE(router, hits_plain, LoadKind::kPlain)->Iterations(1)->Unit(benchmark::kMillisecond);
BENCHMARK_CAPTURE(router, hits_token_cached, LoadKind::kToken)->Iterations(1)->Unit(benchmark::kMillisecond);
BENCHMARK_CAPTURE(router, hits_mtls, LoadKind::kMtls)->Iterations(1)->Unit(benchmark::kMillisecond);
BENCHMARK_CAPTURE(router, full_handshakes, LoadKind::kFullHandshake)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);
BENCHMARK_CAPTURE(router, resumed_handshakes, LoadKind::kResumedHandshake)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace ashbeam

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  benchmark::Initialize(&argc, argv);
  if (benchmark::ReportUnrecognizedArguments(argc, argv)) return 2;
  benchmark::RunSpecifiedBenchmarks();
  return 0;
}
