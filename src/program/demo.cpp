#include "program/demo.hpp"

#include <Poco/Exception.h>

#include <csignal>
#include <cstdio>
#include <iterator>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fakes/client.hpp"
#include "fakes/discovery.hpp"
#include "fakes/endpoint.hpp"
#include "fakes/release_platform.hpp"
#include "program/router_limits.hpp"
#include "program/startup_configuration.hpp"
#include "protocol/json.hpp"
#include "terms/router_settings_reader.hpp"
#include "tokens/jws.hpp"

namespace ashbeam {

namespace {

using fakes::ReleaseProgress;

// Set by the signal handlers.
volatile std::sig_atomic_t stop_requested = 0;

constexpr unsigned kEndpointCount = 6;
constexpr unsigned kClientCount = 16;
constexpr std::uint64_t kSeed = 7;

constexpr unsigned kStableVersion = 1;
constexpr unsigned kFaultyVersion = 2;  // answers a third of its requests with status 500
constexpr unsigned kWorkingVersion = 3;
constexpr double kExposureCaps[] = {0.2, 0.5, 1.0};                   // by stage
constexpr unsigned kCanaryEndpointCounts[] = {1, 3, kEndpointCount};  // by stage

constexpr double kRequestsPerS = 240;
constexpr Duration kSendInterval = Duration::ms(5);
constexpr Duration kSignalPollInterval = Duration::ms(50);
constexpr Duration kFirstReleaseDelay = Duration::s(1.5);
constexpr Duration kDelayBetweenReleases = Duration::s(2);

// A configuration file as the deployment platform writes it; the addresses are replaced by those of the
// fakes.
constexpr const char* kConfiguration = R"({"seed":"7","release_api":{"address":"127.0.0.1:1"},"settings":{
  "allowed":{"cancel":true,"connectTimeoutMs":250,"connIdleMs":20000,"maxAttempts":3,"retryAfter":true,
             "maxRetryAfterMs":2000},
  "discovery":"subscribe",
  "familyInfo":{"mostShares":[0.2,0.5,1.0],"rings":[0.16,0.5,1.0],"spanMs":1000,"ballotTtlMs":8000,
                "decidedBy":"majority","spareTries":2,"callsPerS":10,"bakeMs":600},
  "grades":[{"name":"look","effect":"idempotent","goalTimeMs":300,"deadlineMs":1500,"worth":1},
            {"name":"book","effect":"deduplicated","group":"zone","memorySpanMs":4000,"goalTimeMs":300,
             "deadlineMs":1500,"worth":3},
            {"name":"pay","effect":"at_most_once","goalTimeMs":300,"deadlineMs":1500,"worth":2}],
  "kinds":["usual"],"myNumber":0,"parties":[{"name":"shop","allowancePerS":1000}],"replicasOfMe":1,
  "rules":{"drainGraceMs":500,"fallMs":400,"fallMultiple":2,"startCapacity":0.5,"warmAfterMs":800},
  "stats":{"how":"off"},"tickMs":5,"zone":0,"zones":["one"]}})";

StartupConfiguration configuration_for(std::uint16_t port) {
  InstanceSettings instance;
  instance.name = "demo";
  instance.listen_address = "127.0.0.1:" + std::to_string(port);
  instance.seed = kSeed;
  return parse_startup_configuration(kConfiguration, instance);
}

const char* outcome_text(const std::optional<ReleaseProgress>& outcome) {
  return outcome ? fakes::wire_name(*outcome) : "still in progress";
}

class Demo {
 public:
  explicit Demo(const DemoOptions& options)
      : configuration_(configuration_for(options.port)),
        router_settings_(read_router_settings(configuration_.settings)),
        wire_settings_(read_wire_settings(configuration_.settings)),
        limits_(make_limits({}, wire_settings_, router_settings_)), discovery_(loop_, limits_),
        platform_(loop_, limits_, {std::begin(kExposureCaps), std::end(kExposureCaps)},
                  [this](const fakes::ReleasePlatform::State& state) { on_release_change(state); }),
        has_end_time_(options.seconds > 0), release_timer_(loop_, [this] { start_next_release(); }),
        request_timer_(loop_, [this] { send_requests(); }), end_timer_(loop_, [this] { loop_.stop(); }),
        signal_timer_(loop_, [this] { check_signals(); }) {
    start_endpoints();
    start_router();
    for (unsigned i = 0; i < kClientCount; ++i) {
      clients_.push_back(std::make_unique<fakes::Client>(loop_, limits_, address()));
    }
    if (has_end_time_) end_timer_.schedule_after(Duration::s(options.seconds));
  }

  // Returns the exit code of the program.
  int run() {
    print_introduction();
    request_timer_.schedule_after(Duration());
    signal_timer_.schedule_after(Duration());
    release_timer_.schedule_after(kFirstReleaseDelay);
    loop_.run();
    std::printf("demo: %u answers with status 200, %u with other status; release %u %s, release %u %s\n",
                answers_200_, other_answers_, kFaultyVersion, outcome_text(faulty_outcome_), kWorkingVersion,
                outcome_text(working_outcome_));
    const bool as_expected =
        faulty_outcome_ == ReleaseProgress::kWithdrawn && working_outcome_ == ReleaseProgress::kReleased;
    return as_expected || !has_end_time_ ? 0 : 1;
  }

 private:
  // ---- Setup ----

  std::string address() const { return "127.0.0.1:" + std::to_string(service_->port()); }

  void start_endpoints() {
    versions_.assign(kEndpointCount, kStableVersion);
    for (unsigned endpoint = 0; endpoint < kEndpointCount; ++endpoint) {
      const auto handler = [this, endpoint](const http::Head& head, const std::string&) {
        return answer(endpoint, head);
      };
      endpoints_.push_back(std::make_unique<fakes::Endpoint>(loop_, limits_, handler));
      install(endpoint, kStableVersion, Instant());
    }
  }

  void start_router() {
    configuration_.instance.discovery_address = discovery_.address();
    configuration_.instance.release_platform_address = platform_.address();
    configuration_.instance.configured_endpoint_list = discovery_.list();
    configuration_.instance.configured_release_state = platform_.state_json();
    service_ = std::make_unique<Service>(
        loop_, limits_, router_settings_, wire_settings_, configuration_.instance, [](std::string_view line) {
          std::printf("router: %.*s\n", static_cast<int>(line.size()), line.data());
        });
    install_authorizer();
    service_->start();
  }

  // Configures one tenant and one key, and signs a token with the key for print_introduction().
  void install_authorizer() {
    calling::CallingSettings settings;
    settings.audience = "ashbeam";
    settings.request_classes = wire_settings_.request_classes;
    settings.policy_tenants = wire_settings_.tenants;
    calling::TenantSettings shop;
    shop.name = "shop";
    shop.subject_limit = {20, 10, 0};
    settings.tenants = {shop};
    auto authorizer = std::make_unique<calling::Authorizer>(settings, kSeed, loop_.now());
    tokens::KeyEntry key;
    key.key = tokens::Key::generate(tokens::Algorithm::kEdDsa);
    key.kid = "demo";
    authorizer->update_keys(std::vector{key}, loop_.now());
    const auto now_s = loop_.now().us() / 1000000;
    token_ =
        tokens::sign_token(key.key, key.kid,
                           R"({"aud":"ashbeam","tenant":"shop","sub":"you","iat":)" + std::to_string(now_s) +
                               R"(,"exp":)" + std::to_string(now_s + 3600) + "}");
    service_->set_authorizer(std::move(authorizer), false);
  }

  void print_introduction() const {
    const std::string router = address();
    std::printf(
        "demo: router listens at %s, with %u endpoints, discovery at %s and release platform at %s, "
        "all fakes in this process\n"
        "anonymous request: curl -i -H 'X-Correlation-Id: me-1' -H 'X-Time-Left-Ms: 1500' http://%s/look/1\n"
        "authenticated request: curl -i -H 'X-Correlation-Id: me-2' -H 'X-Time-Left-Ms: 1500' "
        "-H 'Authorization: Bearer %s' "
        "http://%s/look/1\n",
        router.c_str(), kEndpointCount, discovery_.address().c_str(), platform_.address().c_str(),
        router.c_str(), token_.c_str(), router.c_str());
    std::fflush(stdout);
  }

  // ---- Endpoints and releases ----

  fakes::EndpointAnswer answer(unsigned endpoint, const http::Head& head) {
    const unsigned version = versions_[endpoint];
    fakes::EndpointAnswer answer;
    answer.delay = Duration::ms(8 + random_.next_below(12));
    if (version == kFaultyVersion && random_.next_below(3) == 0) answer.status = 500;
    answer.body = "endpoint " + std::to_string(endpoint) + " release " + std::to_string(version) + " for " +
                  std::string(head.find("X-Caller").value_or("nobody known")) + "\n";
    return answer;
  }

  void install(unsigned endpoint, unsigned version, Instant started_at) {
    versions_[endpoint] = version;
    discovery_.put({"h" + std::to_string(endpoint), endpoints_[endpoint]->address(), fakes::ListedState::kUp,
                    version, started_at});
  }

  // Installs the canary on the endpoints of its stage. Installs the stable version on them again when the
  // release is withdrawn.
  void on_release_change(const fakes::ReleasePlatform::State& state) {
    std::printf("release platform: release %u is %s, stage %u, exposure cap %.2f\n", state.version,
                fakes::wire_name(state.progress), state.stage, state.exposure_cap);
    std::fflush(stdout);
    if (state.progress == ReleaseProgress::kCanary) {
      for (unsigned endpoint = 0; endpoint < kCanaryEndpointCounts[state.stage]; ++endpoint) {
        if (versions_[endpoint] != state.version) install(endpoint, state.version, loop_.now());
      }
    } else if (state.progress == ReleaseProgress::kWithdrawn) {
      for (unsigned endpoint = 0; endpoint < kEndpointCount; ++endpoint) {
        if (versions_[endpoint] == state.version) install(endpoint, kStableVersion, loop_.now());
      }
    }
    const bool has_ended =
        state.progress == ReleaseProgress::kWithdrawn || state.progress == ReleaseProgress::kReleased;
    if (!has_ended) return;
    (state.version == kFaultyVersion ? faulty_outcome_ : working_outcome_) = state.progress;
    release_timer_.schedule_after(kDelayBetweenReleases);
  }

  void start_next_release() {
    if (!faulty_outcome_) platform_.start_release(kFaultyVersion);
    else if (!working_outcome_) platform_.start_release(kWorkingVersion);
    else if (has_end_time_) loop_.stop();
  }

  // ---- Clients ----

  void send_requests() {
    request_timer_.schedule_after(kSendInterval);
    // Doubled, because busy clients send nothing.
    const double send_probability = kRequestsPerS * kSendInterval.s() / kClientCount * 2;
    for (const auto& client : clients_) {
      if (client->is_busy() || random_.next_double() > send_probability) continue;
      client->send(make_random_request(), [this](const fakes::Client::Answer& answer) {
        ++(answer.status == 200 ? answers_200_ : other_answers_);
      });
    }
  }

  // Returns an idempotent request with probability 0.7, one with an idempotency key with probability 0.2, and
  // an unsafe one with probability 0.1.
  std::string make_random_request() {
    const std::string id = "demo-" + std::to_string(++last_request_id_);
    const std::string fields = " HTTP/1.1\r\nHost: demo\r\nX-Account: shop\r\nX-Correlation-Id: " + id +
                               "\r\nX-Time-Left-Ms: 1500\r\n";
    const unsigned number = random_.next_below(10);
    if (number < 7) return "GET /look/1" + fields + "\r\n";
    if (number < 9)
      return "POST /book" + fields + "Idempotency-Key: " + id + "\r\nContent-Length: 2\r\n\r\nhi";
    return "POST /pay" + fields + "Content-Length: 2\r\n\r\nhi";
  }

  void check_signals() {
    if (stop_requested != 0) return loop_.stop();
    signal_timer_.schedule_after(kSignalPollInterval);
  }

  EventLoop loop_;
  StartupConfiguration configuration_;
  RouterSettings router_settings_;
  WireSettings wire_settings_;
  Limits limits_;
  std::vector<unsigned> versions_;  // by endpoint
  std::vector<std::unique_ptr<fakes::Endpoint>> endpoints_;
  fakes::Discovery discovery_;
  fakes::ReleasePlatform platform_;
  std::unique_ptr<Service> service_;
  std::vector<std::unique_ptr<fakes::Client>> clients_;
  Pcg random_{kSeed};
  std::string token_;
  std::optional<ReleaseProgress> faulty_outcome_;
  std::optional<ReleaseProgress> working_outcome_;
  unsigned last_request_id_ = 0;
  unsigned answers_200_ = 0;
  unsigned other_answers_ = 0;
  bool has_end_time_;
  Timer release_timer_;
  Timer request_timer_;
  Timer end_timer_;
  Timer signal_timer_;
};

}  // namespace

int demo(const DemoOptions& options) {
  std::signal(SIGPIPE, SIG_IGN);
  for (const int signal : {SIGTERM, SIGINT}) std::signal(signal, [](int) { stop_requested = 1; });
  try {
    return Demo(options).run();
  } catch (const Poco::Exception& error) {
    std::fprintf(stderr, "ashbeam demo: %s\n", error.displayText().c_str());
  } catch (const std::exception& error) {
    std::fprintf(stderr, "ashbeam demo: %s\n", error.what());
  }
  return 1;
}

}  // namespace ashbeam
