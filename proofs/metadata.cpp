// Fault test of the metadata verifier. First, many corrupted files are given to the client workflow of TUF
// alone. Then clients that follow this workflow fetch metadata through one router. The repository publishes
// all the time, endpoints replicate each version with a delay, and in the second half some serve bad files.
#include <csignal>
#include <memory>
#include <string>
#include <vector>

#include "corrupted_metadata.hpp"
#include "fakes/client.hpp"
#include "figures.hpp"
#include "metadata/metadata_verifier.hpp"
#include "replicated_repository.hpp"
#include "router_thread.hpp"

namespace ashbeam {
namespace {

using namespace metadata;

constexpr const char* kRequestClasses =
    R"([{"name":"look","effect":"idempotent","goalTimeMs":500,"deadlineMs":2000,"worth":1}])";

constexpr unsigned kMaxAttempts = 4;
constexpr unsigned kEndpoints = 6;
constexpr unsigned kBadEndpoints = 2;
constexpr unsigned kClients = 24;
constexpr Duration kLag = Duration::s(2);
const std::string kPrefix = "/look/u/";

// ---- Through a router ----

struct Counts {
  std::uint64_t requests = 0;
  std::uint64_t accepted_files = 0;
  std::uint64_t updates = 0;       // completed runs of the workflow
  std::uint64_t bad_served = 0;    // files that the router forwarded and the client refused
  std::uint64_t refused_good = 0;  // refused by the router before any endpoint served bad files
  std::uint64_t refused_while_bad = 0;
  std::uint64_t refused_rollback = 0;  // all endpoints that were tried lagged behind with an older timestamp
  std::uint64_t missing_answers = 0;
  std::uint64_t repeated_answers = 0;
  std::uint64_t bad_files = 0;  // served by endpoints
  std::uint64_t published = 0;  // versions after the first
  std::uint64_t new_roots = 0;
};

// Returns the setup of a router that verifies the repository's metadata.
RouterThread::SetUp verify_metadata(const std::string& root) {
  return [root](const RouterThread::Parts& parts) {
    parts.service.set_metadata_verifier(
        std::make_unique<MetadataVerifier>(std::vector<RepositorySettings>{{kPrefix, root, kLag}}, 4096));
    return nullptr;
  };
}

enum class UpdateStep { kRoot, kTimestamp, kSnapshot, kTargets };

std::string file_name(UpdateStep step, const TrustedMetadata& trust) {
  switch (step) {
    case UpdateStep::kRoot:
      return std::to_string(trust.root->version + 1) + ".root.json";
    case UpdateStep::kTimestamp:
      return "timestamp.json";
    case UpdateStep::kSnapshot:
      return std::to_string(trust.timestamp->snapshot.version) + ".snapshot.json";
    case UpdateStep::kTargets:
      return std::to_string(trust.snapshot->meta.at("targets.json").version) + ".targets.json";
  }
  return "";
}

TrustUpdate update_with(UpdateStep step, const TrustedMetadata& trust, const std::string& bytes,
                        Instant now) {
  switch (step) {
    case UpdateStep::kRoot:
      return update_root(trust, bytes);
    case UpdateStep::kTimestamp:
      return update_timestamp(trust, bytes, now);
    case UpdateStep::kSnapshot:
      return update_snapshot(trust, bytes, now);
    case UpdateStep::kTargets:
      return update_targets(trust, bytes, now);
  }
  return {};
}

// Returns the step after a file was accepted. The root step repeats until there is no newer root.
UpdateStep next_step(UpdateStep step) {
  switch (step) {
    case UpdateStep::kTimestamp:
      return UpdateStep::kSnapshot;
    case UpdateStep::kSnapshot:
      return UpdateStep::kTargets;
    default:
      return UpdateStep::kRoot;
  }
}

class FaultTest {
 public:
  explicit FaultTest(Proof& proof)
      : proof_(proof), random_(proof.seed), repository_(loop_.now() + Duration::s(86400), kEndpoints),
        surroundings_(loop_, limits_), publish_(loop_, [this] { publish(); }),
        end_(loop_, [this] { loop_.stop(); }) {
    for (unsigned i = 0; i < kEndpoints; ++i) {
      surroundings_.add_endpoint(
          [this, i](const http::Head& head, const std::string&) { return serve(i, head); });
    }
    router_ = std::make_unique<RouterThread>(router_configuration(kMaxAttempts, kRequestClasses),
                                             surroundings_.instance_settings(),
                                             verify_metadata(repository_.first_root()));
  }

  const Counts& run() {
    begin_ = loop_.now();
    for (unsigned i = 0; i < kClients; ++i) {
      clients_.push_back(std::make_unique<UpdatingClient>(*this));
      clients_.back()->timer.schedule_after(Duration::ms(20 + 7 * i));
    }
    publish_.schedule_after(Duration::ms(700));
    end_.schedule_after(Duration::s(proof_.seconds));
    loop_.run();
    for (const auto& client : clients_) {
      counts_.repeated_answers += client->connection.unexpected_data_count();
      const bool overdue =
          client->connection.is_busy() && loop_.now() - client->requested_at > Duration::s(3);
      if (overdue) ++counts_.missing_answers;
    }
    counts_.published = repository_.published();
    counts_.new_roots = repository_.new_roots();
    return counts_;
  }

 private:
  // A client that repeats TUF's client workflow.
  struct UpdatingClient {
    explicit UpdatingClient(FaultTest& test)
        : connection(test.loop_, test.limits_, test.router_->address()),
          trust(pin_root(test.repository_.first_root()).trust),
          timer(test.loop_, [this, &test] { test.request_next(*this); }) {}
    fakes::Client connection;
    UpdateStep step = UpdateStep::kRoot;
    TrustedMetadata trust;
    Instant requested_at;
    bool retried = false;
    std::string file;
    Timer timer;
  };

  // ---- Repository and endpoints ----

  bool serves_bad_files() const { return (loop_.now() - begin_).s() > proof_.seconds / 2; }

  void publish() {
    constexpr std::size_t kMaxVersions = 4000;
    publish_.schedule_after(Duration::ms(600 + random_.next_below(300)));
    repository_.publish();
    if (repository_.published() + 1 > kMaxVersions) publish_.cancel();
    replicate(repository_.published());
  }

  // Each endpoint replicates the version after less than 0.4 s, which is well within kLag.
  void replicate(std::size_t version) {
    for (unsigned i = 0; i < kEndpoints; ++i) {
      auto timer = std::make_shared<Timer>(loop_, [this, i, version] { repository_.replicate(i, version); });
      timer->schedule_after(Duration::ms(random_.next_below(400)));
      replications_.push_back(timer);
    }
    if (replications_.size() > 200) replications_.erase(replications_.begin(), replications_.begin() + 100);
  }

  fakes::EndpointAnswer serve(unsigned endpoint, const http::Head& head) {
    fakes::EndpointAnswer answer;
    answer.delay = Duration::ms(2 + random_.next_below(4));
    const std::string path(head.target());
    const std::string name = path.substr(kPrefix.size());
    const std::string* const file = repository_.find(endpoint, name);
    if (!file) {
      answer.status = 404;
      return answer;
    }
    answer.body = *file;
    if (!serves_bad_files() || endpoint >= kBadEndpoints || random_.next_below(2) == 0) return answer;
    ++counts_.bad_files;
    repository_.make_bad(name, answer.body, loop_.now(), random_);
    return answer;
  }

  // ---- Clients ----

  void request_next(UpdatingClient& client) {
    if (client.connection.is_busy()) return client.timer.schedule_after(Duration::ms(20));
    client.file = file_name(client.step, client.trust);
    client.requested_at = loop_.now();
    client.retried = false;
    ++counts_.requests;
    send(client);
  }

  void send(UpdatingClient& client) {
    client.connection.send(
        "GET " + kPrefix + client.file + " HTTP/1.1\r\nHost: p\r\nX-Correlation-Id: m" +
            std::to_string(++last_request_) + "\r\nX-Time-Left-Ms: 1500\r\n\r\n",
        [this, &client](const fakes::Client::Answer& answer) { on_answer(client, answer); });
  }

  void on_answer(UpdatingClient& client, const fakes::Client::Answer& answer) {
    client.timer.schedule_after(Duration::ms(10 + random_.next_below(20)));
    if (answer.status == 0) return on_no_answer(client);
    if (answer.status == 200) return on_file(client, answer.message->raw_body());
    if (answer.status == 404 && client.step == UpdateStep::kRoot) {
      client.step = UpdateStep::kTimestamp;
      return;
    }
    count_refusal(client, std::string(answer.message->head().find("X-Refused").value_or("")));
    client.step = UpdateStep::kRoot;
  }

  void on_no_answer(UpdatingClient& client) {
    if (client.retried) {
      ++counts_.missing_answers;
      return;
    }
    client.retried = true;
    send(client);
  }

  void count_refusal(const UpdatingClient& client, const std::string& refusal) {
    if (refusal.empty()) return;
    if (refusal.starts_with("rollback")) {
      ++counts_.refused_rollback;
    } else if (serves_bad_files()) {
      ++counts_.refused_while_bad;
    } else {
      ++counts_.refused_good;
      std::printf("# router refused valid file %s: %s\n", client.file.c_str(), refusal.c_str());
    }
  }

  void on_file(UpdatingClient& client, const std::string& bytes) {
    TrustUpdate update = update_with(client.step, client.trust, bytes, loop_.now());
    if (update.refusal) {
      // If keys were rotated after the client fetched its root, a valid timestamp misses the threshold.
      const bool rotated =
          client.step == UpdateStep::kTimestamp && update.refusal.reason == RefusalReason::kThreshold;
      if (!rotated) count_bad(client, update.refusal);
      client.step = UpdateStep::kRoot;
      return;
    }
    client.trust = std::move(update.trust);
    ++counts_.accepted_files;
    if (client.step == UpdateStep::kTargets) ++counts_.updates;
    client.step = next_step(client.step);
  }

  void count_bad(const UpdatingClient& client, const Refusal& refusal) {
    constexpr std::uint64_t kShown = 5;
    ++counts_.bad_served;
    if (counts_.bad_served <= kShown)
      std::printf("# router forwarded bad file %s, refused by the client: %s\n", client.file.c_str(),
                  refusal.line().c_str());
  }

  Proof& proof_;
  Pcg random_;
  EventLoop loop_;
  Limits limits_;
  Counts counts_;
  ReplicatedRepository repository_;
  FakeSurroundings surroundings_;
  std::vector<std::shared_ptr<Timer>> replications_;
  std::unique_ptr<RouterThread> router_;
  std::vector<std::unique_ptr<UpdatingClient>> clients_;
  Instant begin_;
  std::uint64_t last_request_ = 0;
  Timer publish_;
  Timer end_;
};

void report(Proof& proof, const Counts& counts) {
  const auto number = [](std::uint64_t count) { return static_cast<double>(count); };
  proof.figure("asked", number(counts.requests));
  proof.at_least("good_files", number(counts.accepted_files), 1);
  proof.at_least("updates", number(counts.updates), 1);
  proof.figure("published", number(counts.published));
  proof.figure("roots_turned", number(counts.new_roots));
  proof.at_least("lies_told", number(counts.bad_files), 1);
  proof.at_most("bad_served", number(counts.bad_served), 0);
  proof.at_most("good_refused", number(counts.refused_good), 0);
  proof.at_most("refused_since_hosts_lag", number(counts.refused_rollback), number(counts.requests) / 50);
  proof.figure("refused_while_lied_to", number(counts.refused_while_bad));
  proof.at_most("answers_missing", number(counts.missing_answers), 0);
  proof.at_most("answers_twice", number(counts.repeated_answers), 0);
}

int prove(int argc, char** argv) {
  Proof proof("metadata", argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  check_corrupted_files(proof, proof.is_long_run() ? 100'000 : 10'000);
  Counts counts;
  {
    FaultTest test(proof);
    counts = test.run();
  }
  report(proof, counts);
  return proof.verdict();
}

}  // namespace
}  // namespace ashbeam

int main(int argc, char** argv) { return ashbeam::run_proof("metadata", argc, argv, ashbeam::prove); }
