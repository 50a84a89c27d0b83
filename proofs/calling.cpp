// Who is calling, with everything turning at once: signing keys rotate every 2 s, certificates and keys are
// revoked all along, a third of the time tokens with bad signatures come at ten times the usual rate. One
// router on a thread of its own, with the files that an operator would write; stand-ins for all others on
// another. Then quotas in simulated time: 1,000 routers, 10^6 subjects.
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <csignal>
#include <filesystem>
#include <map>
#include <memory>
#include <set>
#include <thread>
#include <utility>
#include <vector>

#include "calling/subject_table.hpp"
#include "fakes/client.hpp"
#include "fakes/discovery.hpp"
#include "fakes/endpoint.hpp"
#include "fakes/release_platform.hpp"
#include "figures.hpp"
#include "program/access_config_loader.hpp"
#include "program/router_limits.hpp"
#include "program/startup_configuration.hpp"
#include "terms/router_settings_reader.hpp"
#include "tokens/base64url.hpp"
#include "tokens/jws.hpp"
#include "tokens/key_set.hpp"

namespace ashbeam {
namespace {

constexpr const char* kSettings = R"({"seed":"7","release_api":{"address":"127.0.0.1:1"},"settings":{
  "allowed":{"cancel":true,"connectTimeoutMs":250,"connIdleMs":20000,"maxAttempts":3,"retryAfter":true,
             "maxRetryAfterMs":2000},
  "discovery":"subscribe",
  "familyInfo":{"mostShares":[0.2,1.0],"rings":[0.2,1.0],"spanMs":1000,"ballotTtlMs":8000,
                "decidedBy":"majority","spareTries":2,"callsPerS":10},
  "grades":[{"name":"look","effect":"idempotent","goalTimeMs":300,"deadlineMs":1500,"worth":1},
            {"name":"pay","effect":"at_most_once","goalTimeMs":300,"deadlineMs":1500,"worth":2}],
  "kinds":["usual"],"myNumber":0,"parties":[{"name":"shop","allowancePerS":1000000}],"replicasOfMe":1,
  "rules":{"drainGraceMs":500,"fallMs":400,"fallMultiple":2,"startCapacity":0.5,"warmAfterMs":800},
  "stats":{"how":"off"},"tickMs":5,"zone":0,"zones":["one"]}})";

constexpr double kToldMs = 200;  // by then a change of what counts is in force

// Of a caller whose key or certificate was revoked: it has been told, and is in force at the router.
struct Revoked {
  Instant told;
  std::uint64_t reading = 0;  // the one that brings it
  std::atomic<std::int64_t> in_force_us{0};
};

// The folder that an operator and an identity service would write into.
class Files {
 public:
  Files() {
    char name[] = "/tmp/ashbeam-proof-XXXXXX";
    folder_ = ::mkdtemp(name);
    ::mkdir(at("keys").c_str(), 0755);
    const fakes::Identity server = authority.issue("", "router", Span::s(86400), true);
    write_file(at("chain.pem"), server.certificate_pem, 0644);
    write_file(at("key.pem"), server.key_pem, 0600);
    write_file(at("ca.pem"), authority.pem(), 0644);
    revoked("");
    write_file(at("ashbeam.cue"), R"(calling: {
	prove: "required"
	tokens: {keys: "keys", reread: "100ms", audience: "ashbeam", leeway: "1s", overlap: "6s", verifications_per_s: 1500}
	tenants: [{name: "shop"}]
}
tls: {
	listen: "127.0.0.1:0", certificate: "chain.pem", key: "key.pem"
	clients: "optional", trust: "ca.pem", revoked: "revoked"
	handshake_cpu: 0.5
}
)",
               0644);
  }
  ~Files() { std::filesystem::remove_all(folder_); }
  Files(const Files&) = delete;
  Files& operator=(const Files&) = delete;
  std::string at(const std::string& name) const { return folder_ + "/" + name; }
  void keys(const std::vector<tokens::KeyEntry>& keys) const {
    write_file(at("keys/ring.json"), tokens::key_set_text(keys), 0644);
  }
  void revoked(const std::string& lines) const { write_file(at("revoked"), lines, 0644); }

  fakes::CertificateAuthority authority{"authority"};

 private:
  std::string folder_;
};

// The router on a thread of its own.
class Running {
 public:
  Running(const Files& files, InstanceSettings site) {
    thread_ = std::thread([this, &files, site] {
      EventLoop loop;
      const StartupConfiguration start = parse_startup_configuration(kSettings, site);
      InstanceSettings full = start.site;
      full.release_platform_address = site.release_platform_address;
      full.discovery_address = site.discovery_address;
      full.configured_endpoint_list = site.configured_endpoint_list;
      full.configured_release_state = site.configured_release_state;
      const RouterSettings terms = read_router_settings(start.settings);
      const WireSettings door = read_wire_settings(start.settings);
      const Limits limits = limits_for(1024, door, terms);
      Service service(loop, limits, terms, door, full, [](std::string_view line) {
        if (std::getenv("PROOF_LOG"))
          std::fprintf(stderr, "%.*s\n", static_cast<int>(line.size()), line.data());
      });
      AccessConfigLoader guardian(
          loop, service, door, terms, files.at("ashbeam.cue"), 7, [this](std::string_view line) {
            if (std::getenv("PROOF_LOG"))
              std::fprintf(stderr, "%.*s\n", static_cast<int>(line.size()), line.data());
            look();
          });
      service.start();
      plain_ = service.port(), veiled_ = service.tls_port();
      loop_ = &loop, guardian_ = &guardian;
      up_ = true;
      loop.run();
    });
    while (!up_) ::usleep(1000);
  }
  ~Running() {
    loop_->post_from_thread([this] { loop_->stop(); });
    thread_.join();
  }
  Running(const Running&) = delete;
  Running& operator=(const Running&) = delete;
  // What the files say now is in force for every hit that comes after the time that `revoked` is then given.
  void reread(const std::shared_ptr<Revoked>& revoked) {
    loop_->post_from_thread([this, revoked] {
      revoked->reading = guardian_->reload();
      waiting_.push_back(revoked);
    });
  }
  std::string plain() const { return "127.0.0.1:" + std::to_string(plain_); }
  std::string veiled() const { return "127.0.0.1:" + std::to_string(veiled_); }

 private:
  // At each line of the guardian, on the router's thread: no hit is looked at before the reading is all
  // taken.
  void look() {
    if (!guardian_) return;
    std::erase_if(waiting_, [this](const auto& r) {
      if (r->reading > guardian_->completed_loads()) return false;
      r->in_force_us = loop_->now().us();
      return true;
    });
  }
  std::vector<std::shared_ptr<Revoked>> waiting_;
  std::thread thread_;
  std::atomic<bool> up_ = false;
  std::uint16_t plain_ = 0, veiled_ = 0;
  EventLoop* loop_ = nullptr;
  AccessConfigLoader* guardian_ = nullptr;
};

struct Counts {
  std::uint64_t asked = 0, served = 0, valid_refused = 0, valid_failed = 0, revoked_served = 0,
                revoked_refused = 0, unproven_served = 0, missing = 0, twice = 0, duplicates = 0, flood = 0,
                flood_served = 0, key_rotations = 0, certificates_revoked = 0, keys_revoked = 0, resumed = 0;
  std::map<std::string, std::uint64_t> by_kind;
  std::vector<double> calm_ms, flood_ms;
  double in_force_ms = 0;  // the longest from a revocation's file to its being in force
};

double p99(std::vector<double>& all) {
  if (all.empty()) return 0;
  const auto at = all.begin() + static_cast<std::ptrdiff_t>(all.size() * 99 / 100);
  std::nth_element(all.begin(), at, all.end());
  return *at;
}

// On a third thread: tokens in the form of good ones, signed with nothing, each another one, each on a new
// connection since a kept one would have to wait a tenth of a second. The names are made up.
class Flood {
 public:
  Flood(const std::string& address, const std::string& kid, std::uint64_t seed)
      : address_(address), chance_(seed), signer_(tokens::Key::generate(tokens::Algorithm::kEdDsa)),
        kid_(kid), thread_([this] { run(); }) {}
  // Returns once it is over.
  void stop(Counts& into) {
    stopping_ = true;
    thread_.join();
    into.flood = asked_, into.flood_served = served_;
  }

 private:
  struct One {
    One(Flood& flood, const Limits& limits, EventLoop& loop)
        : client(loop, limits, flood.address_), timer(loop, [this, &flood] { flood.ask(*this); }) {}
    fakes::Client client;
    Timer timer;
  };
  void run() {
    EventLoop loop;
    const Limits limits;
    std::vector<std::unique_ptr<One>> all;
    const auto now = std::to_string(loop.now().us() / 1000000 + 60);
    for (unsigned i = 0; i < 128; ++i) {
      const std::string whole =
          tokens::sign_token(signer_, kid_,
                             R"({"aud":"ashbeam","tenant":"shop","sub":"f)" + std::to_string(i) +
                                 R"(","iat":1700000000,"exp":)" + now + "}");
      begun_.push_back(whole.substr(0, whole.rfind('.') + 1));
      all.push_back(std::make_unique<One>(*this, limits, loop));
      all.back()->timer.in(Span::ms(chance_.below(20)));
    }
    Timer look(loop, [&] {
      if (stopping_) return loop.stop();
      look.in(Span::ms(10));
    });
    look.in(Span());
    loop.run();
  }
  void ask(One& o) {
    o.timer.in(Span::ms(15 + chance_.below(18)));
    if (o.client.busy()) return;
    std::string noise(64, '\0');
    for (char& b : noise) b = static_cast<char>(chance_.below(256));
    const std::string token =
        begun_[chance_.below(static_cast<std::uint32_t>(begun_.size()))] + tokens::encode_base64url(noise);
    ++asked_;
    o.client.send("GET /look/1 HTTP/1.1\r\nX-Correlation-Id: f" + std::to_string(asked_) +
                      "\r\nX-Time-Left-Ms: 1500\r\nAuthorization: Bearer " + token + "\r\n\r\n",
                  [this, &o](const fakes::Client::Answer& a) {
                    served_ += a.status == 200;
                    o.client.disconnect();
                  });
  }
  std::string address_;
  Pcg chance_;
  tokens::Key signer_;
  std::string kid_;
  std::vector<std::string> begun_;
  std::uint64_t asked_ = 0, served_ = 0;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

class Crowd {
 public:
  Crowd(Proof& proof, Files& files)
      : proof_(proof), files_(files), chance_(proof.seed), discovery_(loop_, limits_),
        desk_(loop_, limits_, {0.2, 1.0}, [](const fakes::ReleasePlatform::State&) {}),
        rotate_(loop_, [this] { rotate(); }), doom_(loop_, [this] { doom(); }),
        end_(loop_, [this] { loop_.stop(); }),
        flood_begin_(loop_,
                     [this] { flood_ = std::make_unique<Flood>(router_->plain(), signs_.kid, proof_.seed); }),
        flood_end_(loop_, [this] { std::exchange(flood_, nullptr)->stop(counts_); }) {
    for (unsigned i = 0; i < 4; ++i) {
      hosts_.push_back(std::make_unique<fakes::Endpoint>(
          loop_, limits_, [this](const http::Head& head, const std::string&) { return serve(head); }));
      discovery_.put(
          {"h" + std::to_string(i), hosts_.back()->address(), fakes::ListedState::kUp, 1, Instant()});
    }
    rotate();
    rotate();  // one that signs, and one that is coming
    InstanceSettings site{"proof", "127.0.0.1:0",     discovery_.address(), desk_.address(),
                          7,       discovery_.list(), desk_.state_json()};
    router_ = std::make_unique<Running>(files, site);
  }

  Counts& run() {
    begin_ = loop_.now();
    const auto tls = [&](const fakes::Identity* id, bool resume) {
      return std::make_shared<fakes::ClientTls>(id, nullptr, resume);
    };
    for (unsigned i = 0; i < 32; ++i) {
      const std::string name = "caller" + std::to_string(i);
      auto c = std::make_unique<One>(*this);
      c->subject = name;
      c->kind = i % 4 == 0 ? "none" : i % 4 == 1 ? "token" : i % 4 == 2 ? "mtls" : "bound";
      if (i % 4 >= 2) c->identity = files_.authority.issue("shop", name, Span::s(3600));
      const bool veiled = i % 4 >= 2;
      c->client =
          std::make_unique<fakes::Client>(loop_, limits_, veiled ? router_->veiled() : router_->plain(),
                                          veiled ? tls(&c->identity, i % 8 >= 4) : nullptr);
      c->timer.in(Span::ms(10 + 3 * i));
      all_.push_back(std::move(c));
    }
    flood_begin_.in(Span::s(proof_.seconds / 3));
    flood_end_.in(Span::s(proof_.seconds * 2 / 3));
    rotate_.in(Span::s(2));
    doom_.in(Span::ms(300));
    end_.in(Span::s(proof_.seconds));
    loop_.run();
    for (auto& c : all_) {
      counts_.twice += c->client->unexpected();
      // Whoever asked less than the longest time ago may still be waiting.
      if (c->client->busy() && loop_.now() - c->asked_at > Span::s(2)) ++counts_.missing;
    }
    return counts_;
  }

 private:
  struct One {
    explicit One(Crowd& crowd) : timer(crowd.loop_, [this, &crowd] { crowd.ask(*this); }) {}
    std::string kind, subject, token, id;
    fakes::Identity identity;
    std::unique_ptr<fakes::Client> client;
    Instant token_until, asked_at;
    std::shared_ptr<Revoked> revoked;
    bool again = false, asked_revoked = false;
    Timer timer;
  };

  fakes::EndpointAnswer serve(const http::Head& head) {
    fakes::EndpointAnswer s;
    s.delay = Span::ms(10 + chance_.below(10));
    if (head.target().starts_with("/pay") &&
        !paid_.insert(std::string(*head.find("X-Correlation-Id"))).second)
      ++counts_.duplicates;
    s.body = std::string(head.find("X-Caller").value_or("-"));
    return s;
  }

  bool flooding() const { return flood_ != nullptr; }

  // ---- Keys and certificates ----

  void write_keys() { files_.keys(listed_); }

  // The next key is listed a turn before it signs; the one before retires, and is taken off the list two
  // turns later, some of them at once: the ring must then remember it.
  void rotate() {
    rotate_.in(Span::s(2));
    const double now = static_cast<double>(loop_.now().us()) / 1e6;
    if (!listed_.empty()) signs_ = listed_.back();
    for (auto& l : listed_) {
      if (signs_.kid != l.kid && l.retired_at_unix_s == 0 && l.kid[0] == 'k')
        l.retired_at_unix_s = std::ceil(now);
    }
    std::erase_if(listed_, [&](const auto& l) {
      return l.retired_at_unix_s > 0 && l.retired_at_unix_s + (rotations_ % 2 == 0 ? 0 : 4) < now;
    });
    tokens::KeyEntry fresh;
    fresh.kid = "k" + std::to_string(++rotations_);
    fresh.key =
        tokens::Key::generate(rotations_ % 2 == 0 ? tokens::Algorithm::kEdDsa : tokens::Algorithm::kEs256);
    listed_.push_back(fresh);
    ++counts_.key_rotations;
    write_keys();
  }

  // Now a certificate is revoked, now a key, each of a caller that has just begun to be served.
  void doom() {
    doom_.in(Span::ms(400));
    const Instant now = loop_.now();
    for (auto& c : all_) {
      if (c->kind == "doomed-cert" && !c->revoked) {
        revoked_ +=
            (counts_.certificates_revoked % 2 == 0 ? "serial:" : "serial: ") + c->identity.serial + "\n";
        files_.revoked(revoked_);
        ++counts_.certificates_revoked;
        tell(*c);
      }
      if (c->kind == "doomed-key" && !c->revoked) {
        for (auto& l : listed_) {
          if (l.kid == "d" + c->subject) l.revoked = true;
        }
        ++counts_.keys_revoked;
        write_keys();
        tell(*c);
      }
    }
    // For some seconds they go on to be refused; a revoked key is then taken off the list, and must stay
    // revoked.
    std::erase_if(all_, [&](auto& c) {
      if (!c->revoked || c->revoked->in_force_us == 0) return false;
      const bool over = c->revoked->told < now - Span::s(5) && !c->client->busy();
      if (!over) return false;
      const Span took = Instant::at_us(c->revoked->in_force_us) - c->revoked->told;
      counts_.in_force_ms = std::max(counts_.in_force_ms, took.ms());
      std::erase_if(listed_, [&](const auto& l) { return l.kid == "d" + c->subject; });
      return true;
    });
    const unsigned doomed = ++doomed_;
    auto c = std::make_unique<One>(*this);
    c->subject = std::to_string(doomed);
    const bool certificate = doomed % 2 == 0;
    c->kind = certificate ? "doomed-cert" : "doomed-key";
    if (certificate) {
      c->identity = files_.authority.issue("shop", "doomed", Span::s(3600));
    } else {
      tokens::KeyEntry l;
      l.kid = "d" + c->subject;
      l.key = tokens::Key::generate(tokens::Algorithm::kEdDsa);
      listed_.insert(listed_.begin(), l);
      c->token = token(l, *c, Span::s(3600));
      c->token_until = Instant::never();
      write_keys();
    }
    c->client = std::make_unique<fakes::Client>(
        loop_, limits_, certificate ? router_->veiled() : router_->plain(),
        certificate ? std::make_shared<fakes::ClientTls>(&c->identity, nullptr, doomed % 4 == 0) : nullptr);
    c->timer.in(Span::ms(250));  // by then its key is known
    all_.push_back(std::move(c));
  }

  // The file is there whole: from now on it is told.
  void tell(One& c) {
    c.revoked = std::make_shared<Revoked>();
    c.revoked->told = loop_.now();
    router_->reread(c.revoked);
  }

  std::string token(const tokens::KeyEntry& with, const One& c, Span life) {
    const auto now = loop_.now().us() / 1000000;
    std::string claims = R"({"aud":"ashbeam","tenant":"shop","sub":")" + c.subject + R"(","iat":)" +
                         std::to_string(now) + R"(,"exp":)" +
                         std::to_string(now + static_cast<std::int64_t>(life.s()));
    if (c.kind == "bound") claims += R"(,"cnf":{"x5t#S256":")" + c.identity.thumbprint + "\"}";
    return tokens::sign_token(with.key, with.kid, claims + "}");
  }

  // ---- Asking ----

  void ask(One& c) {
    const Instant now = loop_.now();
    c.timer.in(Span::ms(30 + chance_.below(30)));
    if (c.client->busy()) return;
    if ((c.kind == "token" || c.kind == "bound") && c.token_until < now) {
      c.token = token(signs_, c, Span::s(5));
      c.token_until = now + Span::s(3);
    }
    c.id = "p" + std::to_string(++ids_);
    c.again = false;
    c.asked_at = now;
    c.asked_revoked = c.revoked && c.revoked->in_force_us > 0;
    ++counts_.asked;
    send(c);
  }

  void send(One& c) {
    const bool mutating = chance_.below(4) == 0;
    std::string fields = " HTTP/1.1\r\nHost: p\r\nX-Account: shop\r\nX-Correlation-Id: " + c.id +
                         "\r\nX-Time-Left-Ms: 1500\r\n";
    if (!c.token.empty()) fields += "Authorization: Bearer " + c.token + "\r\n";
    c.client->send(
        mutating ? "POST /pay" + fields + "Content-Length: 2\r\n\r\nhi" : "GET /look/1" + fields + "\r\n",
        [this, &c](const fakes::Client::Answer& a) { answered(c, a); });
  }

  void answered(One& c, const fakes::Client::Answer& a) {
    const Instant now = loop_.now();
    if (a.status == 200) ++counts_.by_kind[c.kind];
    if (c.kind == "none") {
      counts_.unproven_served += a.status == 200;
      if (a.status == 0) ++counts_.missing;
      return;
    }
    if (c.kind.starts_with("doomed")) {
      if (c.asked_revoked) ++(a.status == 200 ? counts_.revoked_served : counts_.revoked_refused);
      if (chance_.below(3) == 0)
        c.client->disconnect();  // so that new handshakes and resumed sessions try, too
      return;
    }
    if (a.status == 200) {
      ++counts_.served;
      counts_.resumed += c.client->resumed();
      (flooding() ? counts_.flood_ms : counts_.calm_ms).push_back((now - c.asked_at).ms());
      if (chance_.below(20) == 0) c.client->disconnect();
      return;
    }
    if (a.status == 0) {  // closed as the request crossed it: once more, on a new connection
      if (c.again) return void(++counts_.missing);
      c.again = true;
      return send(c);
    }
    const bool refused = a.status == 401 || a.status == 403 || a.status == 429;
    ++(refused ? counts_.valid_refused : counts_.valid_failed);
    if (refused && counts_.valid_refused <= 5) {
      std::printf("# %s refused: %u %s\n", c.kind.c_str(), a.status,
                  std::string(a.message->head().find("WWW-Authenticate").value_or("")).c_str());
    }
  }

  Proof& proof_;
  Files& files_;
  Pcg chance_;
  EventLoop loop_;
  Limits limits_;
  Counts counts_;
  std::vector<std::unique_ptr<fakes::Endpoint>> hosts_;
  fakes::Discovery discovery_;
  fakes::ReleasePlatform desk_;
  std::vector<tokens::KeyEntry> listed_;
  tokens::KeyEntry signs_;
  unsigned rotations_ = 0, ids_ = 0, doomed_ = 0;
  std::string revoked_;
  std::set<std::string> paid_;
  Instant begin_;
  std::vector<std::unique_ptr<One>> all_;
  Timer rotate_, doom_, end_, flood_begin_, flood_end_;
  std::unique_ptr<Flood> flood_;
  std::unique_ptr<Running> router_;
};

// ---- Quotas in simulated time ----

// SubjectTable of one tenant on two routers each, as a front deals out two connections, and on two others
// every 15 s; a thousandth cheat, on fifty at once. Half ask for less than their limit, half for three times
// as much. The tenant's own limit is what all its subjects' limits come to.
void quotas(Proof& proof, unsigned routers, unsigned subjects, double seconds) {
  using namespace calling;
  constexpr double kPerS = 0.5, kBurst = 4, kReach = 2;
  const Span bank = Span::s(10);
  const double lend = 4;
  const Rate each = Rate::per_router({kPerS, kBurst, 0}, kReach, lend, bank);
  const Limit tenant_limit{kPerS * subjects, 1000.0 * routers, 0};
  const Rate all = Rate::per_router(tenant_limit, routers, lend, bank);
  Pcg chance(proof.seed);
  const Instant begin = Instant::at_us(1'700'000'000'000'000);
  std::vector<SubjectTable> tables;
  std::vector<Bucket> tenant(routers);
  for (unsigned r = 0; r < routers; ++r) {
    tables.emplace_back(std::max(64U, subjects * 3 / routers));
    tenant[r].start(begin.us() * 1000, INT64_MIN, INT64_MIN);
  }
  struct Waiting {
    std::uint32_t subject = 0, router = 0;
  };
  std::vector<std::uint16_t> admitted(subjects, 0);
  std::uint64_t tenant_admitted = 0, waited = 0, waited_taken = 0, asked = 0;
  std::map<std::int64_t, std::vector<Waiting>> back;  // by millisecond: those who come back as they were told
  const auto ask = [&](unsigned s, unsigned r, Instant now) {
    const std::int64_t ns = now.us() * 1000;
    const std::uint64_t hash = (s + 1) * 0x9e3779b97f4a7c15ULL;
    Bucket& own = tables[r].bucket(tables[r].find_or_insert(hash, now));
    const std::int64_t own_wait = own.wait_ns(each, ns), all_wait = tenant[r].wait_ns(all, ns);
    if (own_wait == 0 && all_wait == 0) {
      own.take(each, ns), tenant[r].take(all, ns);
      ++admitted[s], ++tenant_admitted;
      return std::int64_t(0);
    }
    return std::max(own_wait > 0 ? own.promise_ns(each, ns) : 0,
                    all_wait > 0 ? tenant[r].promise_ns(all, ns) : 0);
  };
  const auto cheats = [&](unsigned s) { return s % 1000 == 7; };
  const auto greedy = [&](unsigned s) { return s % 2 == 0 || cheats(s); };
  const auto router_of = [&](unsigned s, unsigned connection, double t) {
    const auto dealt = static_cast<std::uint64_t>((t + s % 15) / 15);
    std::uint64_t x =
        ((dealt << 40U) + static_cast<std::uint64_t>(s) * 64 + connection + 1) * 0xbf58476d1ce4e5b9ULL;
    x ^= x >> 29U;
    return static_cast<unsigned>((x * 0x94d049bb133111ebULL >> 32U) % routers);
  };
  // Steps of 20 ms; in each, so many subjects drawn by chance ask, the greedy three times as often as they
  // may.
  const double step = 0.02;
  double due = 0;
  const double mean_per_s = subjects * kPerS * (0.5 * 3 + 0.5 * 0.5);
  for (double t = 0; t < seconds; t += step) {
    const Instant now = begin + Span::s(t);
    while (!back.empty() && back.begin()->first <= (now - begin).us() / 1000) {
      for (const Waiting& w : back.begin()->second)
        ++waited, waited_taken += ask(w.subject, w.router, now) == 0;
      back.erase(back.begin());
    }
    for (due += mean_per_s * step; due >= 1; due -= 1) {
      unsigned s = chance.below(subjects / 2) * 2;
      if (chance.below(7) == 0) s += 1;  // 3 : 0.5
      if (cheats(s)) continue;
      const unsigned r = router_of(s, chance.below(2), t);
      ++asked;
      const std::int64_t wait = ask(s, r, now);
      // One in twenty comes back when it was told to, the others give up.
      if (wait > 0 && chance.below(20) == 0)
        back[((now - begin).us() + wait / 1000) / 1000 + 1].push_back({s, r});
    }
    for (unsigned s = 7; s < subjects; s += 1000) {  // ten times their limit each
      if (chance.unit() < kPerS * 10 * step) ask(s, router_of(s, chance.below(50), 0), now);
    }
  }
  const double fair = kPerS * seconds + kBurst;
  double got = 0, most = 0, cheated = 0;
  std::uint64_t fair_subjects = 0, cheating = 0;
  for (unsigned s = 0; s < subjects; ++s) {
    if (cheats(s)) ++cheating, cheated += admitted[s];
    if (!greedy(s) || cheats(s)) continue;
    ++fair_subjects;
    got += admitted[s];
    most = std::max(most, static_cast<double>(admitted[s]));
  }
  proof.figure("sim_routers", routers);
  proof.figure("sim_subjects", subjects);
  proof.figure("sim_hits", static_cast<double>(asked));
  proof.figure("sim_bytes_per_subject", static_cast<double>(tables[0].bytes()) * routers / subjects);
  // Stated: each router that is met lets in r (T + bank) + burst at most; here two at a time, dealt anew 1 +
  // T / 15 times, each time with what a fresh bucket gives.
  const double deals = 1 + std::ceil(seconds / 15);
  proof.at_most("over_limit_ratio", got / (static_cast<double>(fair_subjects) * fair),
                (kPerS * seconds + deals * kBurst) / fair);
  proof.at_most("over_limit_worst_ratio", most / fair,
                (kPerS * (seconds + bank.s()) + deals * kBurst) / fair);
  proof.at_most("room_unused_ratio", std::max(0.0, 1 - got / (static_cast<double>(fair_subjects) * fair)),
                0.25);
  proof.at_most("cheats_ratio", cheated / (static_cast<double>(cheating) * fair), 50 / kReach);
  proof.at_most("tenant_over_limit_ratio",
                static_cast<double>(tenant_admitted) /
                    (tenant_limit.requests_per_s * seconds + tenant_limit.burst_requests),
                (tenant_limit.requests_per_s * (seconds + bank.s()) + tenant_limit.burst_requests) /
                    (tenant_limit.requests_per_s * seconds + tenant_limit.burst_requests));
  if (waited > 0)
    proof.at_least("waited_taken_ratio", static_cast<double>(waited_taken) / static_cast<double>(waited),
                   0.6);
}

int prove(int argc, char** argv) {
  Proof proof("calling", argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  Files files;
  Counts c;
  {
    Crowd crowd(proof, files);
    c = crowd.run();
  }
  const double s = proof.seconds;
  proof.at_least("hits", static_cast<double>(c.asked), 1000);
  proof.timed_at_least("hits_per_s", static_cast<double>(c.asked) / s, 500);
  for (const auto& [kind, n] : c.by_kind) proof.figure("served_" + kind, static_cast<double>(n));
  proof.figure("key_rotations", static_cast<double>(c.key_rotations));
  proof.figure("keys_revoked", static_cast<double>(c.keys_revoked));
  proof.figure("certificates_revoked", static_cast<double>(c.certificates_revoked));
  proof.figure("resumed_hits", static_cast<double>(c.resumed));
  proof.at_most("valid_refused", static_cast<double>(c.valid_refused), 0);
  proof.timed_at_most("valid_failed", static_cast<double>(c.valid_failed),
                      static_cast<double>(c.asked) / 1000);
  proof.at_most("unproven_served", static_cast<double>(c.unproven_served), 0);
  proof.at_least("revoked_refused", static_cast<double>(c.revoked_refused), 1);
  proof.at_most("revoked_served", static_cast<double>(c.revoked_served), 0);
  proof.timed_at_most("revoked_in_force_ms", c.in_force_ms, kToldMs);
  proof.at_most("answers_missing", static_cast<double>(c.missing), 0);
  proof.at_most("answers_twice", static_cast<double>(c.twice), 0);
  proof.at_most("duplicate_mutating", static_cast<double>(c.duplicates), 0);
  proof.figure("flood_per_s", static_cast<double>(c.flood) / (s / 3));
  proof.at_most("flood_served", static_cast<double>(c.flood_served), 0);
  const double calm = p99(c.calm_ms), flood = p99(c.flood_ms);
  proof.figure("innocent_p99_calm_ms", calm);
  proof.timed_at_most("innocent_p99_ratio", flood / calm, 1.2);
  proof.figure("innocent_refused", static_cast<double>(c.valid_refused));
  const bool whole = proof.whole();
  quotas(proof, whole ? 1000 : 100, whole ? 1'000'000 : 50'000, whole ? 30 : 20);
  return proof.verdict();
}

}  // namespace
}  // namespace ashbeam

int main(int argc, char** argv) { return ashbeam::run_proof("calling", argc, argv, ashbeam::prove); }
