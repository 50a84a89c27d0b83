// Implements `ashbeam metadata`: shows a metadata file, or checks the files of a repository like a TUF
// client.
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <stdexcept>

#include "metadata/target_lookup.hpp"
#include "metadata/trusted_metadata.hpp"
#include "program/commands.hpp"
#include "store/files.hpp"

namespace ashbeam {

namespace {

using namespace metadata;

constexpr std::size_t kMaxFileBytes = std::size_t{5} * 1024 * 1024;

Instant wall_clock_now() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return Instant::at_us(std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count());
}

// Checks the files of a repository in a folder, from a pinned root to the last delegated role. Prints a line
// for each accepted file, and throws std::runtime_error or FileError at the first rejected one.
class RepositoryChecker {
 public:
  explicit RepositoryChecker(std::string folder) : folder_(std::move(folder)), now_(wall_clock_now()) {}

  void run(const std::string& pinned_root) {
    accept(pinned_root, pin_root(read_file(pinned_root, max_file_bytes("root"))));
    update_roots();
    accept("timestamp.json", update_timestamp(trust_, read_bytes("timestamp.json"), now_));
    const std::string snapshot = file_name("snapshot", trust_.timestamp->snapshot.version);
    accept(snapshot, update_snapshot(trust_, read_bytes(snapshot), now_));
    const std::string targets = file_name("targets", trust_.snapshot->meta.at("targets.json").version);
    accept(targets, update_targets(trust_, read_bytes(targets), now_));
    check_delegated_by("targets", 0);
    if (const Refusal refusal = check_unexpired(trust_, now_)) throw std::runtime_error(refusal.line());
  }

 private:
  // Accepts each root in turn until the folder holds no next one (TUF 1.0, section 5.3).
  void update_roots() {
    for (;;) {
      const std::string next = std::to_string(trust_.root->version + 1) + ".root.json";
      if (!std::filesystem::exists(path_of(next))) return;
      accept(next, update_root(trust_, read_bytes(next)));
    }
  }

  void check_delegated_by(const std::string& delegator, unsigned depth) {
    if (depth > kMaxDelegationVisits)
      throw std::runtime_error(delegator + ": delegations are nested more than " +
                               std::to_string(kMaxDelegationVisits) + " roles deep");
    const auto targets = trust_.targets.at(delegator);
    for (const Delegation& delegation : targets->delegations) {
      for (const DelegatedRole& delegated : delegation.roles)
        check_delegated(delegator, delegated.name, depth);
    }
  }

  void check_delegated(const std::string& delegator, const std::string& role, unsigned depth) {
    const bool was_checked = trust_.targets.contains(role);
    const auto listed = trust_.snapshot->meta.find(role + ".json");
    if (listed == trust_.snapshot->meta.end())
      throw std::runtime_error(role + ": delegated role is not listed in the snapshot");
    const std::string name = file_name(role, listed->second.version);
    accept(name, update_delegated_targets(trust_, delegator, role, read_bytes(name), now_));
    if (!was_checked) check_delegated_by(role, depth + 1);
  }

  void accept(const std::string& name, TrustUpdate update) {
    if (update.refusal) throw std::runtime_error(name + ": " + update.refusal.line());
    trust_ = std::move(update.trust);
    std::printf("%s: valid\n", name.c_str());
  }

  std::string path_of(const std::string& name) const { return folder_ + "/" + name; }
  std::string read_bytes(const std::string& name) const { return read_file(path_of(name), kMaxFileBytes); }
  // With `consistent_snapshot` a file name begins with the version.
  std::string file_name(const std::string& role, std::int64_t version) const {
    const std::string prefix = trust_.root->consistent_snapshot ? std::to_string(version) + "." : "";
    return prefix + role + ".json";
  }

  std::string folder_;
  Instant now_;
  TrustedMetadata trust_;
};

// Returns the value of `_type` in a metadata file. Throws std::runtime_error if the file is not TUF metadata.
std::string type_of(const std::string& path, const std::string& bytes) {
  std::string problem;
  const auto node = parse_json(bytes, {}, problem);
  const JsonNode* const signed_part = node ? node->find("signed", JsonNode::Kind::kObject) : nullptr;
  const JsonNode* const type = signed_part ? signed_part->find("_type", JsonNode::Kind::kString) : nullptr;
  if (!type)
    throw std::runtime_error(
        path + ": " + (problem.empty() ? "not TUF metadata, 'signed' with '_type' is missing" : problem));
  return type->text;
}

// Prints the threshold and the number of keys of each role that a root lists.
void print_roles(const MetadataFile& file) {
  Root root;
  if (read_root(file, root)) return;
  for (const auto& [name, role] : root.roles)
    std::printf("  %s: threshold %lld of %zu keys\n", name.c_str(), static_cast<long long>(role.threshold),
                role.keyids.size());
}

void show_file(const std::string& path) {
  const std::string bytes = read_file(path, kMaxFileBytes);
  const std::string type = type_of(path, bytes);
  MetadataFile file;
  if (const Refusal refusal = read_metadata_file(type, bytes, file))
    throw std::runtime_error(path + ": " + refusal.line());
  std::printf("%s %lld, expires %s, %zu signatures, sha256 %s\n", type.c_str(),
              static_cast<long long>(file.version), format_date(file.expires).c_str(), file.signatures.size(),
              file.digest.c_str());
  if (type == "root") print_roles(file);
}

// Returns the exit code of `command`: 1, with a line on standard error, if it throws.
template <class Command>
int run_command(const Command& command) {
  try {
    command();
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "ashbeam metadata: %s\n", error.what());
    return 1;
  }
}

}  // namespace

int metadata_show(const std::string& path) {
  return run_command([&] { show_file(path); });
}

int metadata_check(const std::string& root, const std::string& folder) {
  return run_command([&] { RepositoryChecker(folder).run(root); });
}

}  // namespace ashbeam
