// The roles' files (TUF 1.0, section 4.3 to 4.6), read into plain values. Nothing is believed here.
#pragma once
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.hpp"
#include "metadata/json.hpp"
#include "metadata/keys.hpp"
#include "metadata/refusal.hpp"

namespace ashbeam::metadata {

using Hashes = std::map<std::string, std::string>;  // by algorithm, hex; at least one that we know

struct FileMeta {  // what a role says of a file below it
  std::int64_t version = 0;
  std::optional<std::int64_t> length;
  Hashes hashes;
  bool operator==(const FileMeta&) const = default;
};

struct Target {
  std::int64_t length = 0;
  Hashes hashes;
  // Uptane 5.2.3.1: of the target's custom part; empty or -1 where not said.
  std::string hardware_id, ecu_id;
  std::int64_t release_counter = -1;
  bool operator==(const Target&) const = default;
};

struct Common {
  std::int64_t version = 0;
  Instant expires;
  std::string digest;  // SHA-256 of the file's bytes, hex
};

struct Root : Common {
  Keys keys;
  std::map<std::string, Role, std::less<>> roles;
  bool consistent_snapshot = false;
};

struct Timestamp : Common {
  FileMeta snapshot;
};

struct Snapshot : Common {
  std::map<std::string, FileMeta, std::less<>> meta;  // by file name, "targets.json"
};

// One entry of a targets role's delegations. More than one role: TAP 3, of which `agreement` must say the
// same.
struct Delegation {
  std::vector<std::pair<std::string, Role>> roles;
  unsigned agreement = 1;
  bool terminating = false;
  std::vector<std::string> paths, hash_prefixes;
  bool covers(std::string_view path, const std::string& path_hash) const;  // hash: SHA-256 of the path, hex
};

struct Targets : Common {
  std::map<std::string, Target, std::less<>> targets;
  Keys keys;
  std::vector<Delegation> delegations;
};

// A file taken apart: what was signed, by whom, and what it says.
struct File {
  std::vector<Signature> signatures;
  std::string signed_bytes, digest;  // canonical form of the signed part; of the whole file
  Node body;                         // the signed part
  std::int64_t version = 0;
  Instant expires;
};

// Bytes by role, at most; delegated roles as targets.
std::size_t most_bytes(std::string_view type);
constexpr std::size_t kMostDelegations = 256, kMostPatterns = 1024, kMostListed = 20'000;

Refusal read_file_of(std::string_view type, std::string_view bytes, File& into);
Refusal read_root(const File& file, Root& into);
Refusal read_timestamp(const File& file, Timestamp& into);
Refusal read_snapshot(const File& file, Snapshot& into);
Refusal read_targets(const File& file, Targets& into);

// "2030-01-01T00:00:00Z" and no other form (section 4.2.1).
std::optional<Instant> read_date(std::string_view text);
std::string date_text(Instant when);

// fnmatch as the specification has it (section 4.5.1): * and ? do not match '/'.
bool matches(std::string_view pattern, std::string_view path);

}  // namespace ashbeam::metadata
