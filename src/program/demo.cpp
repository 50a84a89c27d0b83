#include "program/demo.hpp"

#include <Poco/Exception.h>

#include <csignal>
#include <cstdio>
#include <memory>
#include <string>
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

volatile std::sig_atomic_t demo_stopped = 0;

constexpr unsigned kHosts = 6, kClients = 16, kBad = 2, kGood = 3;
constexpr double kPerS = 240;

// The deployment's terms, as an operator of the platform would write them.
constexpr const char* kSettings = R"({"seed":"7","release_api":{"address":"127.0.0.1:1"},"settings":{
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

class Demo {
 public:
  explicit Demo(const DemoOptions& options)
      : start_(parse_startup_configuration(kSettings,
                          Site{"demo", "127.0.0.1:" + std::to_string(options.port), "", "", 7, "", ""})),
        terms_(read_router_settings(start_.settings)), door_(read_wire_settings(start_.settings)),
        limits_(limits_for(1024, door_, terms_)), discovery_(loop_, limits_),
        desk_(loop_, limits_, {0.2, 0.5, 1.0},
              [this](const fakes::ReleasePlatform::State& s) { changed(s); }),
        next_(loop_, [this] { next(); }), load_(loop_, [this] { hits(); }),
        end_(loop_, [this] { loop_.stop(); }), signals_(loop_, [this] { look(); }) {
    for (unsigned i = 0; i < kHosts; ++i) {
      builds_.push_back(1);
      hosts_.push_back(std::make_unique<fakes::Endpoint>(
          loop_, limits_, [this, i](const http::Head& head, const std::string&) { return serve(i, head); }));
      place(i, 1, Instant());
    }
    start_.site.discovery = discovery_.address();
    start_.site.desk = desk_.address();
    start_.site.known = discovery_.list();
    start_.site.news = desk_.news();
    service_ =
        std::make_unique<Service>(loop_, limits_, terms_, door_, start_.site, [](std::string_view line) {
          std::printf("router: %.*s\n", static_cast<int>(line.size()), line.data());
        });
    guard();
    service_->start();
    for (unsigned i = 0; i < kClients; ++i) {
      clients_.push_back(std::make_unique<fakes::Client>(loop_, limits_, address()));
    }
    if (options.seconds > 0) end_.in(Span::s(options.seconds));
    ends_ = options.seconds > 0;
  }

  int run() {
    std::printf(
        "demo: the router serves at %s: %u hosts, discovery %s, desk %s, all stand-ins in this process\n"
        "try: curl -i -H 'X-Correlation-Id: me-1' -H 'X-Time-Left-Ms: 1500' http://%s/look/1\n"
        "who: curl -i -H 'X-Correlation-Id: me-2' -H 'X-Time-Left-Ms: 1500' -H 'Authorization: Bearer %s' "
        "http://%s/look/1\n",
        address().c_str(), kHosts, discovery_.address().c_str(), desk_.address().c_str(), address().c_str(),
        token_.c_str(), address().c_str());
    std::fflush(stdout);
    load_.in(Span());
    signals_.in(Span());
    next_.in(Span::s(1.5));
    loop_.run();
    std::printf("demo: %u answers 200, %u others; release %u %s, release %u %s\n", good_answers_,
                other_answers_, kBad, bad_end_.empty() ? "not over" : bad_end_.c_str(), kGood,
                good_end_.empty() ? "not over" : good_end_.c_str());
    return (bad_end_ == "withdrawn" && good_end_ == "released") || !ends_ ? 0 : 1;
  }

 private:
  std::string address() const { return "127.0.0.1:" + std::to_string(service_->port()); }

  void guard() {
    calling::CallingSettings terms;
    terms.audience = "ashbeam";
    terms.path_groups = door_.request_classes, terms.customers = door_.tenants;
    calling::TenantSettings shop;
    shop.name = "shop";
    shop.each = {20, 10, 0};
    terms.tenants = {shop};
    auto gate = std::make_unique<calling::Authorizer>(terms, 7, loop_.now());
    tokens::Listed key;
    key.key = tokens::Key::fresh(tokens::Algorithm::kEdDsa), key.kid = "demo";
    gate->keys(std::vector{key}, loop_.now());
    const auto now = loop_.now().us() / 1000000;
    token_ = tokens::issue(key.key, key.kid,
                           R"({"aud":"ashbeam","tenant":"shop","sub":"you","iat":)" + std::to_string(now) +
                               R"(,"exp":)" + std::to_string(now + 3600) + "}");
    service_->guard(std::move(gate), false);
  }

  fakes::Served serve(unsigned host, const http::Head& head) {
    fakes::Served s;
    s.takes = Span::ms(8 + chance_.below(12));
    if (builds_[host] == kBad && chance_.below(3) == 0) s.status = 500;
    s.body = "host " + std::to_string(host) + " build " + std::to_string(builds_[host]) + " for " +
             std::string(head.find("X-Caller").value_or("nobody known")) + "\n";
    return s;
  }

  void place(unsigned host, unsigned build, Instant booted) {
    builds_[host] = build;
    discovery_.put({"h" + std::to_string(host), hosts_[host]->address(), "up", build, booted});
  }

  // As an installer does: so many hosts of the stage get the build on trial, and the earlier one when it goes
  // back.
  void changed(const fakes::ReleasePlatform::State& s) {
    std::printf("desk: release %u %s, stage %u, cap %.2f\n", s.build, s.progress.c_str(), s.stage, s.cap);
    std::fflush(stdout);
    const unsigned hosts[] = {1, 3, 6};
    if (s.progress == "trial") {
      for (unsigned i = 0; i < hosts[s.stage]; ++i) {
        if (builds_[i] != s.build) place(i, s.build, loop_.now());
      }
    } else if (s.progress == "withdrawn") {
      for (unsigned i = 0; i < kHosts; ++i) {
        if (builds_[i] == s.build) place(i, 1, loop_.now());
      }
    }
    if (s.progress != "withdrawn" && s.progress != "released") return;
    (s.build == kBad ? bad_end_ : good_end_) = s.progress;
    next_.in(Span::s(2));
  }

  void next() {
    if (bad_end_.empty()) return desk_.offer(kBad);
    if (good_end_.empty()) return desk_.offer(kGood);
    if (ends_) loop_.stop();
  }

  void hits() {
    for (auto& client : clients_) {
      if (client->busy() || chance_.unit() > kPerS / 200 / kClients * 2) continue;
      const std::string id = "demo-" + std::to_string(++ids_);
      const unsigned kind = chance_.below(10);
      const std::string fields = " HTTP/1.1\r\nHost: demo\r\nX-Account: shop\r\nX-Correlation-Id: " + id +
                                 "\r\nX-Time-Left-Ms: 1500\r\n";
      const std::string request =
          kind < 7   ? "GET /look/1" + fields + "\r\n"
          : kind < 9 ? "POST /book" + fields + "Idempotency-Key: " + id + "\r\nContent-Length: 2\r\n\r\nhi"
                     : "POST /pay" + fields + "Content-Length: 2\r\n\r\nhi";
      client->ask(request, [this](const fakes::Client::Answer& a) {
        ++(a.status == 200 ? good_answers_ : other_answers_);
      });
    }
    load_.in(Span::ms(5));
  }

  void look() {
    if (demo_stopped != 0) return loop_.stop();
    signals_.in(Span::ms(50));
  }

  EventLoop loop_;
  StartupConfiguration start_;
  RouterSettings terms_;
  WireSettings door_;
  Limits limits_;
  std::vector<unsigned> builds_;
  std::vector<std::unique_ptr<fakes::Endpoint>> hosts_;
  fakes::Discovery discovery_;
  fakes::ReleasePlatform desk_;
  std::unique_ptr<Service> service_;
  std::vector<std::unique_ptr<fakes::Client>> clients_;
  Pcg chance_{7};
  std::string token_, bad_end_, good_end_;
  unsigned ids_ = 0, good_answers_ = 0, other_answers_ = 0;
  bool ends_ = false;
  Timer next_, load_, end_, signals_;
};

}  // namespace

int demo(const DemoOptions& options) {
  std::signal(SIGPIPE, SIG_IGN);
  for (const int signal : {SIGTERM, SIGINT}) std::signal(signal, [](int) { demo_stopped = 1; });
  try {
    return Demo(options).run();
  } catch (const Poco::Exception& e) {
    std::fprintf(stderr, "ashbeam demo: %s\n", e.displayText().c_str());
  } catch (const std::exception& e) {
    std::fprintf(stderr, "ashbeam demo: %s\n", e.what());
  }
  return 1;
}

}  // namespace ashbeam
