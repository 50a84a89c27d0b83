// Update metadata in flight: a repository that publishes all along, hosts that take in each version at their
// own pace, and then hosts that lie, through one router to clients that follow TUF's workflow themselves.
// Before that, spoilt files in great number on the core alone.
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "fakes/client.hpp"
#include "fakes/discovery.hpp"
#include "fakes/endpoint.hpp"
#include "fakes/release_platform.hpp"
#include "figures.hpp"
#include "metadata/metadata_verifier.hpp"
#include "metadata/publisher.hpp"
#include "program/router_limits.hpp"
#include "program/startup_configuration.hpp"
#include "terms/router_settings_reader.hpp"

namespace ashbeam {
namespace {

using namespace metadata;

constexpr const char* kSettings = R"({"seed":"7","release_api":{"address":"127.0.0.1:1"},"settings":{
  "allowed":{"cancel":true,"connectTimeoutMs":250,"connIdleMs":20000,"maxAttempts":4,"retryAfter":true,
             "maxRetryAfterMs":2000},
  "discovery":"subscribe",
  "familyInfo":{"mostShares":[0.2,1.0],"rings":[0.2,1.0],"spanMs":1000,"ballotTtlMs":8000,
                "decidedBy":"majority","spareTries":2,"callsPerS":10},
  "grades":[{"name":"look","effect":"idempotent","goalTimeMs":500,"deadlineMs":2000,"worth":1}],
  "kinds":["usual"],"myNumber":0,"parties":[{"name":"shop","allowancePerS":1000000}],"replicasOfMe":1,
  "rules":{"drainGraceMs":500,"fallMs":400,"fallMultiple":2,"startCapacity":0.5,"warmAfterMs":800},
  "stats":{"how":"off"},"tickMs":5,"zone":0,"zones":["one"]}})";

constexpr unsigned kHosts = 6, kClients = 24;
constexpr Span kLag = Span::s(2);
const std::string kPrefix = "/look/u/";

// ---- The core alone ----

// Each role's file, spoilt in one of several ways: none may be taken, whatever the way.
void core(Proof& proof, std::uint64_t tries) {
  const Instant now = Instant::at_us(1'800'000'000'000'000);
  Publisher p(now + Span::s(86400));
  p.with_hashes = false;  // or the hash above would meet most of it before the signature does
  p.contents["targets"]["app"] = "1";
  Trust before = pin(p.root()).trust;
  const Trust pinned = before;
  const std::string files[] = {p.timestamp(), p.snapshot(), p.targets()};
  const Trust at[] = {pinned, take_timestamp(pinned, files[0], now).trust,
                      take_snapshot(take_timestamp(pinned, files[0], now).trust, files[1], now).trust};
  Pcg chance(proof.seed);
  std::uint64_t taken = 0, harmless = 0;
  for (std::uint64_t i = 0; i < tries; ++i) {
    const unsigned which = chance.below(3);
    std::string bytes = files[which];
    const std::size_t where = chance.below(static_cast<std::uint32_t>(bytes.size()));
    switch (chance.below(6)) {
      case 0:
        bytes[where] = static_cast<char>(bytes[where] ^ (1 << chance.below(8)));
        break;
      case 1:
        bytes.resize(where);
        break;
      case 2:
        bytes.insert(where, 1, static_cast<char>(chance.below(256)));
        break;
      case 3:
        bytes.erase(where, 1 + chance.below(8));
        break;
      case 4:
        bytes += bytes.substr(where);
        break;
      default:
        bytes.replace(where, 1, std::to_string(chance.below(100)));
        break;
    }
    if (bytes == files[which]) continue;
    const Step s = which == 0   ? take_timestamp(at[0], bytes, now)
                   : which == 1 ? take_snapshot(at[1], bytes, now)
                                : take_targets(at[2], bytes, now);
    if (s.refusal) continue;
    // What is outside the signed part may change: only that it says the same counts.
    std::string problem;
    const auto a = read(bytes, {}, problem), b = read(files[which], {}, problem);
    const bool same = a && b && a->find("signed")->canonical() == b->find("signed")->canonical();
    ++(same ? harmless : taken);
  }
  proof.figure("core_files_spoilt", static_cast<double>(tries));
  proof.figure("core_harmless_changes", static_cast<double>(harmless));
  proof.at_most("core_spoilt_taken", static_cast<double>(taken), 0);
}

// ---- On sockets ----

struct Counts {
  std::uint64_t asked = 0, good = 0, bad_served = 0, refused_calm = 0, refused_lying = 0, refused_lag = 0,
                missing = 0, twice = 0, updates = 0, lies = 0, published = 0, roots = 0;
};

class Running {
 public:
  Running(Site site, std::string root) {
    thread_ = std::thread([this, site, root] {
      EventLoop loop;
      const StartupConfiguration start = parse_startup_configuration(kSettings, site);
      Site full = start.site;
      full.desk = site.desk, full.discovery = site.discovery, full.known = site.known, full.news = site.news;
      const RouterSettings terms = read_router_settings(start.settings);
      const WireSettings door = read_wire_settings(start.settings);
      const Limits limits = limits_for(1024, door, terms);
      Service service(loop, limits, terms, door, full, [](std::string_view line) {
        if (std::getenv("PROOF_LOG"))
          std::fprintf(stderr, "%.*s\n", static_cast<int>(line.size()), line.data());
      });
      service.watch_metadata(
          std::make_unique<MetadataVerifier>(std::vector<RepositorySettings>{{kPrefix, root, kLag}}, 4096));
      service.start();
      loop.enable_posts_from_threads();
      loop_ = &loop;
      port_ = service.port();
      loop.run();
    });
    while (port_ == 0) ::usleep(1000);
  }
  ~Running() {
    EventLoop* const loop = loop_;
    loop->post_from_thread([loop] { loop->stop(); });
    thread_.join();
  }
  Running(const Running&) = delete;
  Running& operator=(const Running&) = delete;
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  std::atomic<EventLoop*> loop_ = nullptr;
  std::atomic<std::uint16_t> port_ = 0;
  std::thread thread_;
};

class Field {
 public:
  explicit Field(Proof& proof)
      : proof_(proof), chance_(proof.seed), repository_(loop_.now() + Span::s(86400)),
        discovery_(loop_, limits_),
        desk_(loop_, limits_, {0.2, 1.0}, [](const fakes::ReleasePlatform::State&) {}),
        publish_(loop_, [this] { publish(); }), end_(loop_, [this] { loop_.stop(); }) {
    repository_.contents["targets"]["app"] = "0";
    first_root_ = repository_.root();
    versions_.push_back(repository_.files());
    for (unsigned i = 0; i < kHosts; ++i) {
      held_.push_back(0);
      hosts_.push_back(std::make_unique<fakes::Endpoint>(
          loop_, limits_, [this, i](const http::Head& head, const std::string&) { return serve(i, head); }));
      discovery_.put(
          {"h" + std::to_string(i), hosts_.back()->address(), fakes::ListedState::kUp, 1, Instant()});
    }
    router_ = std::make_unique<Running>(Site{"proof", "127.0.0.1:0", discovery_.address(), desk_.address(), 7,
                                             discovery_.list(), desk_.state_json()},
                                        first_root_);
  }

  Counts& run() {
    begin_ = loop_.now();
    for (unsigned i = 0; i < kClients; ++i) {
      auto c = std::make_unique<One>(*this, i);
      c->trust = pin(first_root_).trust;
      c->timer.in(Span::ms(20 + 7 * i));
      all_.push_back(std::move(c));
    }
    publish_.in(Span::ms(700));
    end_.in(Span::s(proof_.seconds));
    loop_.run();
    for (auto& c : all_) {
      counts_.twice += c->client->unexpected();
      if (c->client->busy() && loop_.now() - c->asked_at > Span::s(3)) ++counts_.missing;
    }
    return counts_;
  }

 private:
  struct One {
    One(Field& field, unsigned i)
        : client(std::make_unique<fakes::Client>(field.loop_, field.limits_, field.router_->address())),
          number(i), timer(field.loop_, [this, &field] { field.next(*this); }) {}
    std::unique_ptr<fakes::Client> client;
    unsigned number, step = 0;  // root, timestamp, snapshot, targets
    Trust trust;
    Instant asked_at;
    bool again = false;
    std::string file;
    Timer timer;
  };

  bool lying() const { return (loop_.now() - begin_).s() > proof_.seconds / 2; }

  // Every fifth version turns the root, now with other timestamp keys, now with its own.
  void publish() {
    publish_.in(Span::ms(600 + chance_.below(300)));
    ++repository_.versions["targets"], ++repository_.versions["snapshot"],
        ++repository_.versions["timestamp"];
    repository_.contents["targets"]["app"] = std::to_string(++counts_.published);
    const auto old = repository_.roles["root"];
    const bool turn = counts_.published % 5 == 0;
    if (turn) {
      auto& keys = repository_.roles[counts_.published % 10 == 0 ? "timestamp" : "root"].keys;
      keys = {SigningKey::fresh(SigningKey::Kind::kEd25519)};
      ++repository_.versions["root"];
      ++counts_.roots;
    }
    auto files = repository_.files();
    if (turn) files[std::to_string(repository_.versions["root"]) + ".root.json"] = repository_.root(&old);
    // A consistent snapshot: a host that holds this version holds the older ones' files, too.
    for (const auto& [name, bytes] : versions_.back()) {
      if (name != "timestamp.json") files.emplace(name, bytes);
    }
    versions_.push_back(std::move(files));
    if (versions_.size() > 4000) publish_.off();
    // Hosts follow within a part of the lag; files that a newer timestamp needs are there before it.
    for (unsigned i = 0; i < kHosts; ++i) {
      const std::size_t at = versions_.size() - 1;
      auto later = std::make_shared<Timer>(loop_, [this, i, at] { held_[i] = std::max(held_[i], at); });
      later->in(Span::ms(chance_.below(400)));
      following_.push_back(later);
    }
    if (following_.size() > 200) following_.erase(following_.begin(), following_.begin() + 100);
  }

  fakes::EndpointAnswer serve(unsigned host, const http::Head& head) {
    fakes::EndpointAnswer s;
    s.delay = Span::ms(2 + chance_.below(4));
    const std::string path(head.word(1)), name = path.substr(kPrefix.size());
    // Under consistent snapshots a host may hold what its timestamp does not name yet.
    const auto& files = name == "timestamp.json" ? versions_[held_[host]] : versions_.back();
    const auto at = files.find(name);
    if (at == files.end()) {
      s.status = 404;
      return s;
    }
    s.body = at->second;
    if (!lying() || host >= 2 || chance_.below(2) == 0) return s;
    ++counts_.lies;
    switch (chance_.below(5)) {
      case 0:
        s.body.resize(s.body.size() / 2);
        break;
      case 1: {
        const std::size_t digit = s.body.find("\"version\":") + 10;
        s.body[digit] = s.body[digit] == '9' ? '8' : static_cast<char>(s.body[digit] + 1);
        break;
      }
      case 2:
        s.body = name == "timestamp.json" ? versions_[0].at(name) : s.body + " {}";
        break;
      case 3:
        s.body = Publisher(loop_.now() + Span::s(900)).timestamp();
        break;
      default:
        s.body = versions_[versions_.size() / 2].at("timestamp.json");
        if (name == "timestamp.json" && versions_.size() < 12) s.body = "{}";
        break;
    }
    return s;
  }

  void next(One& c) {
    if (c.client->busy()) return c.timer.in(Span::ms(20));
    c.file = c.step == 0   ? std::to_string(c.trust.root->version + 1) + ".root.json"
             : c.step == 1 ? "timestamp.json"
             : c.step == 2
                 ? std::to_string(c.trust.timestamp->snapshot.version) + ".snapshot.json"
                 : std::to_string(c.trust.snapshot->meta.at("targets.json").version) + ".targets.json";
    c.asked_at = loop_.now();
    c.again = false;
    ++counts_.asked;
    send(c);
  }
  void send(One& c) {
    c.client->send("GET " + kPrefix + c.file + " HTTP/1.1\r\nHost: p\r\nX-Correlation-Id: m" +
                       std::to_string(++ids_) + "\r\nX-Time-Left-Ms: 1500\r\n\r\n",
                   [this, &c](const fakes::Client::Answer& a) { answered(c, a); });
  }

  void answered(One& c, const fakes::Client::Answer& a) {
    c.timer.in(Span::ms(10 + chance_.below(20)));
    if (a.status == 0) {
      if (c.again) return void(++counts_.missing);
      c.again = true;
      return send(c);
    }
    if (a.status == 404 && c.step == 0) return void(c.step = 1);
    if (a.status != 200) {
      // An older timestamp than this client was served is no good file for it: hosts lag, and the ones tried
      // did.
      const std::string why(a.message->head().find("X-Refused").value_or(""));
      if (why.starts_with("rollback")) {
        ++counts_.refused_lag;
      } else if (!why.empty() && lying()) {
        ++counts_.refused_lying;
      } else if (!why.empty()) {
        ++counts_.refused_calm;
        std::printf("# refused %s: %s\n", c.file.c_str(), why.c_str());
      }
      c.step = 0;
      return;
    }
    const std::string bytes = a.message->raw_body();
    const Instant now = loop_.now();
    const Step s = c.step == 0   ? take_root(c.trust, bytes)
                   : c.step == 1 ? take_timestamp(c.trust, bytes, now)
                   : c.step == 2 ? take_snapshot(c.trust, bytes, now)
                                 : take_targets(c.trust, bytes, now);
    if (s.refusal) {
      // Its keys turned between its root and its timestamp: it asks for the root again. No fault of the file.
      const bool turned = c.step == 1 && s.refusal.why == Why::kThreshold;
      if (!turned) {
        ++counts_.bad_served;
        if (counts_.bad_served <= 5) std::printf("# bad %s: %s\n", c.file.c_str(), s.refusal.line().c_str());
      }
      c.step = 0;
      return;
    }
    c.trust = s.trust;
    ++counts_.good;
    if (c.step == 3) ++counts_.updates;
    c.step = c.step == 0 ? 0 : (c.step + 1) % 4;
  }

  Proof& proof_;
  Pcg chance_;
  EventLoop loop_;
  Limits limits_;
  Counts counts_;
  Publisher repository_;
  std::string first_root_;
  std::vector<std::map<std::string, std::string>> versions_;
  std::vector<std::size_t> held_;
  std::vector<std::unique_ptr<fakes::Endpoint>> hosts_;
  fakes::Discovery discovery_;
  fakes::ReleasePlatform desk_;
  std::vector<std::shared_ptr<Timer>> following_;
  std::unique_ptr<Running> router_;
  std::vector<std::unique_ptr<One>> all_;
  Instant begin_;
  std::uint64_t ids_ = 0;
  Timer publish_, end_;
};

int prove(int argc, char** argv) {
  Proof proof("metadata", argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  core(proof, proof.seconds >= 20 ? 100'000 : 10'000);
  Counts c;
  {
    Field field(proof);
    c = field.run();
  }
  proof.figure("asked", static_cast<double>(c.asked));
  proof.at_least("good_files", static_cast<double>(c.good), 1);
  proof.at_least("updates", static_cast<double>(c.updates), 1);
  proof.figure("published", static_cast<double>(c.published));
  proof.figure("roots_turned", static_cast<double>(c.roots));
  proof.at_least("lies_told", static_cast<double>(c.lies), 1);
  proof.at_most("bad_served", static_cast<double>(c.bad_served), 0);
  proof.at_most("good_refused", static_cast<double>(c.refused_calm), 0);
  proof.at_most("refused_since_hosts_lag", static_cast<double>(c.refused_lag),
                static_cast<double>(c.asked) / 50);
  proof.figure("refused_while_lied_to", static_cast<double>(c.refused_lying));
  proof.at_most("answers_missing", static_cast<double>(c.missing), 0);
  proof.at_most("answers_twice", static_cast<double>(c.twice), 0);
  return proof.verdict();
}

}  // namespace
}  // namespace ashbeam

int main(int argc, char** argv) { return ashbeam::run_proof("metadata", argc, argv, ashbeam::prove); }
