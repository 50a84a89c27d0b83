// Reads the metadata files of TUF's roles (TUF 1.0, sections 4.3 to 4.6) into plain values. Reading checks
// only the form of a file; signatures, versions and expiry dates are checked by trusted_metadata.hpp.
//
// Call read_metadata_file() first, and pass its result to read_root(), read_timestamp(), read_snapshot() or
// read_targets(). Each of them returns a refusal if the file does not have the form of its role.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.hpp"
#include "metadata/date.hpp"
#include "metadata/json.hpp"
#include "metadata/keys.hpp"
#include "metadata/refusal.hpp"

namespace ashbeam::metadata {

constexpr std::size_t kMaxDelegations = 256;     // of a targets role
constexpr std::size_t kMaxPathPatterns = 1024;   // of a delegation
constexpr std::size_t kMaxListedFiles = 20'000;  // of a snapshot, or targets of a targets role
constexpr std::size_t kMaxRolesInAgreement = 8;  // of a delegation (TAP 3)

// Hashes in lower-case hex by algorithm, "sha256" or "sha512". If a file lists hashes, it must list at least
// one of these.
using Hashes = std::map<std::string, std::string>;

// What a timestamp or a snapshot lists about a metadata file below it (section 4.4). Length and hashes are
// optional.
struct FileMeta {
  std::int64_t version = 0;
  std::optional<std::int64_t> length;
  Hashes hashes;
  bool operator==(const FileMeta&) const = default;
};

// What a targets role lists about a target file (section 4.5).
struct Target {
  std::int64_t length = 0;
  Hashes hashes;
  // From the custom part (Uptane 5.2.3.1); empty or -1 if it does not give them.
  std::string hardware_id;
  std::string ecu_id;
  std::int64_t release_counter = -1;
  bool operator==(const Target&) const = default;
};

// The values that the file of every role has.
struct MetadataHeader {
  std::int64_t version = 0;
  Instant expires;
  std::string digest;  // SHA-256 of the file's bytes, in hex
};

struct Root : MetadataHeader {
  KeysById keys;
  std::map<std::string, Role, std::less<>> roles;  // root, timestamp, snapshot, targets
  bool consistent_snapshot = false;

  // `name` must be one of the four top-level roles.
  const Role& role(std::string_view name) const { return roles.find(name)->second; }
};

struct Timestamp : MetadataHeader {
  FileMeta snapshot;  // the listed snapshot
};

struct Snapshot : MetadataHeader {
  std::map<std::string, FileMeta, std::less<>> meta;  // by file name, for example "targets.json"
};

struct DelegatedRole {
  std::string name;
  Role role;
};

// One entry of a targets role's delegations (section 4.5.1). If it names several roles, a target is accepted
// only if at least `min_roles_in_agreement` of them list it with the same values (TAP 3).
struct Delegation {
  std::vector<DelegatedRole> roles;
  unsigned min_roles_in_agreement = 1;
  bool terminating = false;        // a lookup of a covered path does not go on after this entry
  std::vector<std::string> paths;  // path patterns; an entry has either these or hash prefixes
  std::vector<std::string> hash_prefixes;

  // Whether the entry delegates this path. `path_hash` is the SHA-256 of the path in hex.
  bool covers(std::string_view path, const std::string& path_hash) const;
};

struct Targets : MetadataHeader {
  std::map<std::string, Target, std::less<>> targets;  // by path
  KeysById keys;                                       // of the delegated roles
  std::vector<Delegation> delegations;
};

// A file whose common members are read, and whose signatures are not verified yet.
struct MetadataFile : SignedEnvelope {
  std::string digest;    // SHA-256 of the file's bytes, in hex
  JsonNode signed_part;  // `signed_bytes` is its canonical form
  std::int64_t version = 0;
  Instant expires;
};

// Returns the maximum size of a file of that type. The files of delegated roles have the type "targets".
std::size_t max_file_bytes(std::string_view type);

// Reads the members that every role's file has. `type` is the expected type of the file.
Refusal read_metadata_file(std::string_view type, std::string_view bytes, MetadataFile& file);
Refusal read_root(const MetadataFile& file, Root& root);
Refusal read_timestamp(const MetadataFile& file, Timestamp& timestamp);
Refusal read_snapshot(const MetadataFile& file, Snapshot& snapshot);
Refusal read_targets(const MetadataFile& file, Targets& targets);

}  // namespace ashbeam::metadata
