// Who is calling, with and without it, in one run: decisions, verifications, handshakes, and hits over kept
// connections through a whole router on loopback.
#include <benchmark/benchmark.h>
#include <sys/resource.h>

#include <atomic>
#include <csignal>
#include <memory>
#include <thread>

#include "calling/authorizer.hpp"
#include "fakes/certificate_authority.hpp"
#include "fakes/client.hpp"
#include "fakes/discovery.hpp"
#include "fakes/endpoint.hpp"
#include "fakes/release_platform.hpp"
#include "program/router_limits.hpp"
#include "program/startup_configuration.hpp"
#include "terms/router_settings_reader.hpp"
#include "tokens/jws.hpp"

namespace ashbeam {
namespace {

using namespace calling;

const Instant kBegin = Instant::at_us(1'700'000'000'000'000);

std::string token_of(const tokens::Key& key, const std::string& subject, Instant now,
                     const std::string& more = "") {
  const auto s = now.us() / 1'000'000;
  return tokens::sign_token(key, "k",
                            R"({"aud":"ashbeam","tenant":"shop","sub":")" + subject + R"(","iat":)" +
                                std::to_string(s) + R"(,"exp":)" + std::to_string(s + 3600) + more + "}");
}

CallingSettings terms_of() {
  CallingSettings t;
  t.required = true;
  t.audience = "ashbeam";
  t.request_classes = {"look"};
  t.verifications_per_s = 1e5;
  TenantSettings shop;
  shop.name = "shop";
  t.tenants = {shop};
  return t;
}

// ---- Quota decisions: tenant and subject together, subjects drawn at random ----

void quota_decision(benchmark::State& state) {
  const auto subjects = static_cast<std::uint32_t>(state.range(0));
  SubjectTable table(static_cast<std::size_t>(subjects));
  const Rate each = Rate::per_router({5, 5, 4}, 2, 4, Span::s(10)),
             all = Rate::per_router({1e6, 1e4, 0}, 8, 4, Span::s(10));
  Bucket tenant;
  tenant.start(kBegin.us() * 1000, INT64_MIN, INT64_MIN);
  Pcg chance(3);
  std::int64_t ns = kBegin.us() * 1000;
  std::uint64_t in = 0;
  const auto hash = [&] { return (chance.below(subjects) + 1) * 0x9e3779b97f4a7c15ULL; };
  for (std::uint32_t i = 0; i < subjects; ++i) table.find_or_insert((i + 1) * 0x9e3779b97f4a7c15ULL, kBegin);
  std::uint64_t next = hash();
  for (auto _ : state) {
    const std::uint64_t h = next;
    next = hash();
    table.prefetch(next);  // as the gate does between the token and the quota
    ns += 1000;
    const std::uint32_t place = table.find_or_insert(h, Instant::at_us(ns / 1000));
    if (place == SubjectTable::kNone) continue;
    Bucket& own = table.bucket(place);
    if (own.wait_ns(each, ns) == 0 && tenant.wait_ns(all, ns) == 0)
      own.take(each, ns), tenant.take(all, ns), ++in;
    else benchmark::DoNotOptimize(own.promise_ns(each, ns));
  }
  benchmark::DoNotOptimize(in);
  state.counters["bytes_per_subject"] = static_cast<double>(table.bytes()) / subjects;
}
BENCHMARK(quota_decision)->Arg(100)->Arg(10'000)->Arg(1'000'000);

// ---- Tokens ----

void token(benchmark::State& state, tokens::Algorithm algorithm, bool cached) {
  const tokens::Key key = tokens::Key::generate(algorithm);
  CallingSettings terms = terms_of();
  terms.max_cached_tokens = 4096;
  Authorizer gate(terms, 7, kBegin);
  tokens::KeyEntry listed;
  listed.key = key, listed.kid = "k";
  gate.update_keys(std::vector{listed}, kBegin);
  std::vector<std::string> fields;
  for (int i = 0; i < (cached ? 512 : 8192); ++i)
    fields.push_back("Bearer " + token_of(key, "s" + std::to_string(i), kBegin));
  ConnectionHistory history{true};
  Identity who;
  Span wait;
  Instant now = kBegin;
  std::size_t at = 0;
  for (auto _ : state) {
    now = now + Span::us(100);
    Credentials credentials;
    credentials.authorization = fields[at = (at + 1) % fields.size()];
    if (gate.authenticate(credentials, history, now, who, wait) != Refusal::kNone)
      state.SkipWithError("refused");
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK_CAPTURE(token, ed25519_verified, tokens::Algorithm::kEdDsa, false)->Iterations(30000);
BENCHMARK_CAPTURE(token, es256_verified, tokens::Algorithm::kEs256, false)->Iterations(30000);
BENCHMARK_CAPTURE(token, cached, tokens::Algorithm::kEs256, true);

// ---- A whole router on loopback ----

constexpr const char* kSettings = R"({"seed":"7","release_api":{"address":"127.0.0.1:1"},"settings":{
  "allowed":{"cancel":true,"connectTimeoutMs":250,"connIdleMs":20000,"maxAttempts":2,"retryAfter":true,
             "maxRetryAfterMs":2000},
  "discovery":"subscribe",
  "familyInfo":{"mostShares":[1.0],"rings":[1.0],"spanMs":1000,"ballotTtlMs":8000,"decidedBy":"majority",
                "spareTries":2,"callsPerS":10},
  "grades":[{"name":"look","effect":"idempotent","goalTimeMs":500,"deadlineMs":2000,"worth":1}],
  "kinds":["usual"],"myNumber":0,"parties":[{"name":"shop","allowancePerS":1000000}],"replicasOfMe":1,
  "rules":{"drainGraceMs":500,"fallMs":400,"fallMultiple":2,"startCapacity":0.5,"warmAfterMs":800},
  "stats":{"how":"off"},"tickMs":5,"zone":0,"zones":["one"]}})";

enum class Kind { kPlain, kToken, kMtls, kFull, kResumed };

// The router's thread alone is what is measured: its CPU by the hit, or by the handshake.
class Whole {
 public:
  explicit Whole(Kind kind) : kind_(kind), key_(tokens::Key::generate(tokens::Algorithm::kEs256)) {
    const StartupConfiguration start =
        parse_startup_configuration(kSettings, InstanceSettings{"bench", "127.0.0.1:0", "", "", 7, "", ""});
    terms_ = read_router_settings(start.settings), door_ = read_wire_settings(start.settings);
    limits_ = limits_for(1024, door_, terms_);
    for (int i = 0; i < 4; ++i) {
      hosts_.push_back(
          std::make_unique<fakes::Endpoint>(theirs_, limits_, [](const http::Head&, const std::string&) {
            fakes::EndpointAnswer s;
            s.delay = Span();
            return s;
          }));
    }
    discovery_ = std::make_unique<fakes::Discovery>(theirs_, limits_);
    desk_ = std::make_unique<fakes::ReleasePlatform>(theirs_, limits_, std::vector<double>{1},
                                                     [](const fakes::ReleasePlatform::State&) {});
    for (std::size_t i = 0; i < hosts_.size(); ++i)
      discovery_->put({"h" + std::to_string(i), hosts_[i]->address(), fakes::ListedState::kUp, 1, Instant()});
    thread_ = std::thread([this] {
      EventLoop loop;
      Service service(loop, limits_, terms_, door_,
                      InstanceSettings{"bench", "127.0.0.1:0", discovery_->address(), desk_->address(), 7,
                                       discovery_->list(), desk_->state_json()},
                      [](std::string_view) {});
      if (kind_ != Kind::kPlain) secure(loop, service);
      service.start();
      port_ = kind_ == Kind::kPlain || kind_ == Kind::kToken ? service.port() : service.tls_port();
      Timer look(loop, [&] {
        if (stopping_) return loop.stop();
        rusage use{};
        ::getrusage(RUSAGE_THREAD, &use);
        const auto us = [](const timeval& t) {
          return static_cast<std::int64_t>(t.tv_sec) * 1'000'000 + t.tv_usec;
        };
        cpu_us_ = us(use.ru_utime) + us(use.ru_stime);
        look.in(Span::ms(2));
      });
      look.in(Span());
      loop.run();
    });
    while (port_ == 0) std::this_thread::yield();
    const bool veiled = kind_ >= Kind::kMtls;
    for (int i = 0; i < 16; ++i) {
      identities_.push_back(authority_.issue("shop", "c" + std::to_string(i), Span::s(3600)));
    }
    for (int i = 0; i < 16; ++i) {
      clients_.push_back(std::make_unique<fakes::Client>(
          theirs_, limits_, "127.0.0.1:" + std::to_string(port_),
          veiled ? std::make_shared<fakes::ClientTls>(&identities_[static_cast<std::size_t>(i)], nullptr,
                                                      kind_ == Kind::kResumed)
                 : nullptr));
    }
    hits_ = Counted{};
  }
  ~Whole() {
    stopping_ = true;
    thread_.join();
  }
  Whole(const Whole&) = delete;
  Whole& operator=(const Whole&) = delete;

  struct Counted {
    std::uint64_t good = 0, other = 0, resumed = 0;
    std::int64_t cpu_us = 0;
    double seconds = 0;
  };
  // All clients ask, each again at once, for so long.
  Counted run(double seconds) {
    hits_ = {};
    for (std::size_t i = 0; i < clients_.size(); ++i) ask(i);
    const std::int64_t before = cpu_us_;
    const Instant begin = theirs_.now();
    Timer end(theirs_, [this] { theirs_.stop(); });
    end.in(Span::s(seconds));
    theirs_.run();
    hits_.cpu_us = cpu_us_ - before;
    hits_.seconds = (theirs_.now() - begin).s();
    return hits_;
  }

 private:
  void secure(EventLoop& loop, Service& service) {
    if (kind_ != Kind::kToken) {
      TlsSettings tls;
      tls.listen = "127.0.0.1:0", tls.client_certificates = TlsSettings::ClientCertificates::kOptional,
      tls.handshake_cpu_per_second = 1;
      const fakes::Identity server = authority_.issue("", "router", Span::s(3600), true);
      service.listen_with_tls(
          tls, std::make_shared<TlsCredentials>(
                   tls, TlsFiles{server.certificate_pem, server.key_pem, authority_.pem(), "", ""}));
    }
    auto gate = std::make_unique<Authorizer>(terms_of(), 7, loop.now());
    tokens::KeyEntry listed;
    listed.key = key_, listed.kid = "k";
    gate->update_keys(std::vector{listed}, loop.now());
    service.set_authorizer(std::move(gate), false);
  }
  void ask(std::size_t i) {
    std::string request =
        "GET /look/1 HTTP/1.1\r\nHost: b\r\nX-Account: shop\r\nX-Time-Left-Ms: 1500\r\nX-Correlation-Id: b" +
        std::to_string(++ids_) + "\r\n";
    if (kind_ == Kind::kToken) {
      if (tokens_.size() <= i) tokens_.push_back(token_of(key_, "c" + std::to_string(i), theirs_.now()));
      request += "Authorization: Bearer " + tokens_[i] + "\r\n";
    }
    clients_[i]->send(request + "\r\n", [this, i](const fakes::Client::Answer& a) {
      ++(a.status == 200 ? hits_.good : hits_.other);
      hits_.resumed += clients_[i]->resumed();
      if (kind_ >= Kind::kFull) clients_[i]->disconnect();
      theirs_.post([this, i] { ask(i); });
    });
  }

  Kind kind_;
  tokens::Key key_;
  fakes::CertificateAuthority authority_{"authority"};
  std::vector<fakes::Identity> identities_;
  EventLoop theirs_;
  RouterSettings terms_;
  WireSettings door_;
  Limits limits_;
  std::vector<std::unique_ptr<fakes::Endpoint>> hosts_;
  std::unique_ptr<fakes::Discovery> discovery_;
  std::unique_ptr<fakes::ReleasePlatform> desk_;
  std::vector<std::unique_ptr<fakes::Client>> clients_;
  std::vector<std::string> tokens_;
  Counted hits_;
  std::uint64_t ids_ = 0;
  std::atomic<std::int64_t> cpu_us_ = 0;
  std::atomic<std::uint16_t> port_ = 0;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

// By the router's own CPU: the stand-ins would bound the plain rate otherwise. Turn by turn with plain, in
// the same run: the machine's pace changes from one second to the next.
void router(benchmark::State& state, Kind kind) {
  for (auto _ : state) {
    Whole::Counted plain, own;
    const auto turn = [](Kind k, Whole::Counted& sum) {
      Whole whole(k);
      const Whole::Counted c = whole.run(1);
      sum.good += c.good, sum.other += c.other, sum.resumed += c.resumed;
      sum.cpu_us += c.cpu_us, sum.seconds += c.seconds;
    };
    for (int i = 0; i < 5; ++i) turn(Kind::kPlain, plain), turn(kind, own);
    const auto per_cpu_s = [](const Whole::Counted& c) {
      return static_cast<double>(c.good) * 1e6 / static_cast<double>(std::max<std::int64_t>(1, c.cpu_us));
    };
    state.counters["per_s"] = static_cast<double>(own.good) / own.seconds;
    state.counters["per_cpu_s"] = per_cpu_s(own);
    state.counters["ratio_to_plain"] = per_cpu_s(own) / per_cpu_s(plain);
    state.counters["not_200"] = static_cast<double>(own.other);
    if (kind == Kind::kResumed)
      state.counters["resumed"] = static_cast<double>(own.resumed) / static_cast<double>(own.good);
  }
}
BENCHMARK_CAPTURE(router, hits_plain, Kind::kPlain)->Iterations(1)->Unit(benchmark::kMillisecond);
BENCHMARK_CAPTURE(router, hits_token_cached, Kind::kToken)->Iterations(1)->Unit(benchmark::kMillisecond);
BENCHMARK_CAPTURE(router, hits_mtls, Kind::kMtls)->Iterations(1)->Unit(benchmark::kMillisecond);
BENCHMARK_CAPTURE(router, full_handshakes, Kind::kFull)->Iterations(1)->Unit(benchmark::kMillisecond);
BENCHMARK_CAPTURE(router, resumed_handshakes, Kind::kResumed)->Iterations(1)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace ashbeam

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  benchmark::Initialize(&argc, argv);
  if (benchmark::ReportUnrecognizedArguments(argc, argv)) return 2;
  benchmark::RunSpecifiedBenchmarks();
  return 0;
}
