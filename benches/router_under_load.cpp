#include "router_under_load.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <utility>

#include "calling/authorizer.hpp"
#include "tokens/jws.hpp"

namespace ashbeam {

namespace {

constexpr unsigned kEndpoints = 4;
constexpr unsigned kClients = 16;
constexpr Duration kCpuReadInterval = Duration::ms(2);

constexpr const char* kConfiguration = R"({"seed":"7","release_api":{"address":"127.0.0.1:1"},"settings":{
  "allowed":{"cancel":true,"connectTimeoutMs":250,"connIdleMs":20000,"maxAttempts":2,"retryAfter":true,
             "maxRetryAfterMs":2000},
  "discovery":"subscribe",
  "familyInfo":{"mostShares":[1.0],"rings":[1.0],"spanMs":1000,"ballotTtlMs":8000,"decidedBy":"majority",
                "spareTries":2,"callsPerS":10},
  "grades":[{"name":"look","effect":"idempotent","goalTimeMs":500,"deadlineMs":2000,"worth":1}],
  "kinds":["usual"],"myNumber":0,"parties":[{"name":"shop","allowancePerS":1000000}],"replicasOfMe":1,
  "rules":{"drainGraceMs":500,"fallMs":400,"fallMultiple":2,"startCapacity":0.5,"warmAfterMs":800},
  "stats":{"how":"off"},"tickMs":5,"zone":0,"zones":["one"]}})";

std::int64_t thread_cpu_us() {
  rusage usage{};
  ::getrusage(RUSAGE_THREAD, &usage);
  const auto us = [](const timeval& time) {
    return static_cast<std::int64_t>(time.tv_sec) * 1'000'000 + time.tv_usec;
  };
  return us(usage.ru_utime) + us(usage.ru_stime);
}

}  // namespace

calling::CallingSettings benchmark_settings() {
  calling::CallingSettings settings;
  settings.requires_authentication = true;
  settings.audience = "ashbeam";
  settings.request_classes = {"look"};
  settings.verifications_per_s = 1e5;
  calling::TenantSettings shop;
  shop.name = "shop";
  settings.tenants = {shop};
  return settings;
}

std::string benchmark_token(const tokens::Key& key, const std::string& subject, Instant now) {
  const std::int64_t now_s = now.us() / 1'000'000;
  return tokens::sign_token(key, "k",
                            R"({"aud":"ashbeam","tenant":"shop","sub":")" + subject + R"(","iat":)" +
                                std::to_string(now_s) + R"(,"exp":)" + std::to_string(now_s + 3600) + "}");
}

RouterUnderLoad::Result& RouterUnderLoad::Result::operator+=(const Result& other_result) {
  good += other_result.good;
  other += other_result.other;
  resumed += other_result.resumed;
  cpu_us += other_result.cpu_us;
  seconds += other_result.seconds;
  return *this;
}

double RouterUnderLoad::Result::good_per_cpu_s() const {
  return static_cast<double>(good) * 1e6 / static_cast<double>(std::max<std::int64_t>(1, cpu_us));
}

RouterUnderLoad::RouterUnderLoad(LoadKind kind)
    : kind_(kind), key_(tokens::Key::generate(tokens::Algorithm::kEs256)) {
  const StartupConfiguration start = parse_startup_configuration(
      kConfiguration, InstanceSettings{"bench", "127.0.0.1:0", "", "", 7, "", ""});
  settings_ = read_router_settings(start.settings);
  wire_settings_ = read_wire_settings(start.settings);
  limits_ = make_limits({}, wire_settings_, settings_);
  add_fakes();
  thread_ = std::thread([this] { run_router(); });
  while (port_ == 0) std::this_thread::yield();
  add_clients();
}

RouterUnderLoad::~RouterUnderLoad() {
  stopping_ = true;
  thread_.join();
}

void RouterUnderLoad::add_fakes() {
  for (unsigned i = 0; i < kEndpoints; ++i) {
    endpoints_.push_back(
        std::make_unique<fakes::Endpoint>(loop_, limits_, [](const http::Head&, const std::string&) {
          fakes::EndpointAnswer served;
          served.delay = Duration();
          return served;
        }));
  }
  discovery_ = std::make_unique<fakes::Discovery>(loop_, limits_);
  release_platform_ = std::make_unique<fakes::ReleasePlatform>(loop_, limits_, std::vector<double>{1},
                                                               [](const fakes::ReleasePlatform::State&) {});
  for (std::size_t i = 0; i < endpoints_.size(); ++i)
    discovery_->put(
        {"h" + std::to_string(i), endpoints_[i]->address(), fakes::ListedState::kUp, 1, Instant()});
}

void RouterUnderLoad::add_clients() {
  for (unsigned i = 0; i < kClients; ++i)
    identities_.push_back(authority_.issue("shop", "c" + std::to_string(i), Duration::s(3600)));
  const std::string address = "127.0.0.1:" + std::to_string(port_);
  for (const fakes::Identity& identity : identities_) {
    std::shared_ptr<fakes::ClientTls> tls;
    if (uses_tls())
      tls = std::make_shared<fakes::ClientTls>(&identity, nullptr, kind_ == LoadKind::kResumedHandshake);
    clients_.push_back(std::make_unique<fakes::Client>(loop_, limits_, address, tls));
  }
}

void RouterUnderLoad::run_router() {
  EventLoop loop;
  const InstanceSettings instance{
      "bench", "127.0.0.1:0",      discovery_->address(),          release_platform_->address(),
      7,       discovery_->list(), release_platform_->state_json()};
  Service service(loop, limits_, settings_, wire_settings_, instance, [](std::string_view) {});
  if (kind_ != LoadKind::kPlain) add_access_control(loop, service);
  service.start();
  port_ = uses_tls() ? service.tls_port() : service.port();
  Timer read_cpu(loop, [&] {
    if (stopping_) return loop.stop();
    cpu_us_ = thread_cpu_us();
    read_cpu.schedule_after(kCpuReadInterval);
  });
  read_cpu.schedule_after(Duration());
  loop.run();
}

void RouterUnderLoad::add_access_control(EventLoop& loop, Service& service) {
  if (uses_tls()) {
    TlsSettings tls;
    tls.listen_address = "127.0.0.1:0";
    tls.client_certificates = TlsSettings::ClientCertificates::kOptional;
    tls.max_handshake_cpu_fraction = 1;
    const fakes::Identity server = authority_.issue("", "router", Duration::s(3600), true);
    const TlsFiles files{server.certificate_pem, server.key_pem, authority_.pem(), "", ""};
    service.listen_with_tls(tls, std::make_shared<TlsCredentials>(tls, files));
  }
  auto authorizer = std::make_unique<calling::Authorizer>(benchmark_settings(), 7, loop.now());
  tokens::KeyEntry entry;
  entry.key = key_;
  entry.kid = "k";
  authorizer->update_keys(std::vector{entry}, loop.now());
  service.set_authorizer(std::move(authorizer), false);
}

RouterUnderLoad::Result RouterUnderLoad::run(double seconds) {
  result_ = {};
  for (std::size_t client = 0; client < clients_.size(); ++client) send(client);
  const std::int64_t cpu_before_us = cpu_us_;
  const Instant begin = loop_.now();
  Timer end(loop_, [this] { loop_.stop(); });
  end.schedule_after(Duration::s(seconds));
  loop_.run();
  result_.cpu_us = cpu_us_ - cpu_before_us;
  result_.seconds = (loop_.now() - begin).s();
  return result_;
}

void RouterUnderLoad::send(std::size_t client) {
  std::string request =
      "GET /look/1 HTTP/1.1\r\nHost: b\r\nX-Account: shop\r\nX-Time-Left-Ms: 1500\r\nX-Correlation-Id: b" +
      std::to_string(++request_ids_) + "\r\n";
  if (kind_ == LoadKind::kToken) {
    if (tokens_.size() <= client)
      tokens_.push_back(benchmark_token(key_, "c" + std::to_string(client), loop_.now()));
    request += "Authorization: Bearer " + tokens_[client] + "\r\n";
  }
  clients_[client]->send(request + "\r\n", [this, client](const fakes::Client::Answer& answer) {
    ++(answer.status == 200 ? result_.good : result_.other);
    if (clients_[client]->has_resumed_session()) ++result_.resumed;
    if (kind_ >= LoadKind::kFullHandshake) clients_[client]->disconnect();
    loop_.post([this, client] { send(client); });
  });
}

}  // namespace ashbeam
