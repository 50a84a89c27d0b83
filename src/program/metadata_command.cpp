// `ashbeam metadata`: shows a file, checks a folder as a client would.
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <stdexcept>

#include "metadata/trust.hpp"
#include "program/commands.hpp"
#include "protocol/json.hpp"
#include "store/files.hpp"

namespace ashbeam {

namespace {

using namespace metadata;

constexpr std::size_t kLongest = 5 * 1024 * 1024;

Instant machine_now() {
  return Instant::at_us(std::chrono::duration_cast<std::chrono::microseconds>(
                            std::chrono::system_clock::now().time_since_epoch())
                            .count());
}

struct Refused : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class Walk {
 public:
  explicit Walk(std::string folder) : folder_(std::move(folder)) {}

  void all(const std::string& root) {
    Step pinned = pin(read_file(root, most_bytes("root")));
    take(root, std::move(pinned));
    for (;;) {  // until there is no next one, section 5.3
      const std::string next = std::to_string(trust_.root->version + 1) + ".root.json";
      if (!there(next)) break;
      take(next, take_root(trust_, bytes(next)));
    }
    take("timestamp.json", take_timestamp(trust_, bytes("timestamp.json"), now_));
    const std::string snapshot = named("snapshot", trust_.timestamp->snapshot.version);
    take(snapshot, take_snapshot(trust_, bytes(snapshot), now_));
    const std::string targets = named("targets", trust_.snapshot->meta.at("targets.json").version);
    take(targets, take_targets(trust_, bytes(targets), now_));
    delegated("targets", 0);
    if (Refusal r = fresh(trust_, now_)) throw Refused(r.line());
  }

 private:
  bool there(const std::string& name) const { return std::filesystem::exists(folder_ + "/" + name); }
  std::string bytes(const std::string& name) const { return read_file(folder_ + "/" + name, kLongest); }
  std::string named(const std::string& role, std::int64_t version) const {
    return (trust_.root->consistent_snapshot ? std::to_string(version) + "." : "") + role + ".json";
  }
  void take(const std::string& name, Step step) {
    if (step.refusal) throw Refused(name + ": " + step.refusal.line());
    trust_ = std::move(step.trust);
    std::printf("%s: good\n", name.c_str());
  }
  void delegated(const std::string& by, unsigned depth) {
    if (depth > kMostVisits) throw Refused(by + ": delegations go on and on");
    const auto held = trust_.targets.at(by);
    for (const Delegation& d : held->delegations) {
      for (const auto& [role, allowed] : d.roles) {
        const bool known = trust_.targets.contains(role);
        const auto listed = trust_.snapshot->meta.find(role + ".json");
        if (listed == trust_.snapshot->meta.end()) throw Refused(role + ": the snapshot does not list it");
        const std::string name = named(role, listed->second.version);
        take(name, take_delegated(trust_, by, role, bytes(name), now_));
        if (!known) delegated(role, depth + 1);
      }
    }
  }
  std::string folder_;
  Trust trust_;
  Instant now_ = machine_now();
};

}  // namespace

int metadata_show(const std::string& path) {
  try {
    const std::string bytes = read_file(path, kLongest);
    std::string problem;
    const auto node = read(bytes, {}, problem);
    const Node* const body = node ? node->find("signed", Node::Kind::kObject) : nullptr;
    const Node* const type = body ? body->find("_type", Node::Kind::kString) : nullptr;
    if (!type) throw std::runtime_error(path + ": " + (problem.empty() ? "no metadata" : problem));
    File file;
    if (Refusal r = read_file_of(type->text, bytes, file)) throw std::runtime_error(path + ": " + r.line());
    std::printf("%s %lld, expires %s, %zu signatures, sha256 %s\n", type->text.c_str(),
                static_cast<long long>(file.version), date_text(file.expires).c_str(), file.signatures.size(),
                file.digest.c_str());
    Root root;
    if (type->text == "root" && !read_root(file, root)) {
      for (const auto& [name, role] : root.roles)
        std::printf("  %s: %lld of %zu keys\n", name.c_str(), static_cast<long long>(role.threshold),
                    role.keyids.size());
    }
    return 0;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "ashbeam metadata: %s\n", e.what());
    return 1;
  }
}

int metadata_check(const std::string& root, const std::string& folder) {
  try {
    Walk(folder).all(root);
    return 0;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "ashbeam metadata: %s\n", e.what());
    return 1;
  }
}

}  // namespace ashbeam
