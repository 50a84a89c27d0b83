// The roles' metadata files (TUF 1.0, sections 4.3 to 4.6) as plain values. Reading checks their form alone:
// signatures, versions and dates are checked by trusted_metadata.hpp.
//
// Order: read_metadata_file(), then read_root(), read_timestamp(), read_snapshot() or read_targets() with
// what it gave.
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

constexpr std::size_t kMaxDelegations = 256;    // of a targets role
constexpr std::size_t kMaxPathPatterns = 1024;  // of a delegation
constexpr std::size_t kMaxListedFiles = 20'000;
constexpr std::size_t kMaxRolesInAgreement = 8;

// By algorithm ("sha256", "sha512"), lower-case hex; at least one.
using Hashes = std::map<std::string, std::string>;

// What a role lists of a metadata file below it (section 4.4).
struct FileMeta {
  std::int64_t version = 0;
  std::optional<std::int64_t> length;
  Hashes hashes;
  bool operator==(const FileMeta&) const = default;
};

struct Target {
  std::int64_t length = 0;
  Hashes hashes;
  // Of the custom part (Uptane 5.2.3.1); empty or -1 where it says nothing.
  std::string hardware_id;
  std::string ecu_id;
  std::int64_t release_counter = -1;
  bool operator==(const Target&) const = default;
};

// What every role's file has.
struct MetadataHeader {
  std::int64_t version = 0;
  Instant expires;
  std::string digest;  // SHA-256 of the file's bytes, hex
};

struct Root : MetadataHeader {
  KeysById keys;
  std::map<std::string, Role, std::less<>> roles;  // root, timestamp, snapshot, targets
  bool consistent_snapshot = false;

  // One of the four top-level roles.
  const Role& role(std::string_view name) const { return roles.find(name)->second; }
};

struct Timestamp : MetadataHeader {
  FileMeta snapshot;
};

struct Snapshot : MetadataHeader {
  std::map<std::string, FileMeta, std::less<>> meta;  // by file name, "targets.json"
};

struct DelegatedRole {
  std::string name;
  Role role;
};

// One entry of a targets role's delegations (section 4.5.1). Several roles: a target counts where
// `min_roles_in_agreement` of them list the same (TAP 3).
struct Delegation {
  std::vector<DelegatedRole> roles;
  unsigned min_roles_in_agreement = 1;
  bool terminating = false;
  std::vector<std::string> paths;  // patterns; either these or hash prefixes
  std::vector<std::string> hash_prefixes;

  // `path_hash`: SHA-256 of the path, hex.
  bool covers(std::string_view path, const std::string& path_hash) const;
};

struct Targets : MetadataHeader {
  std::map<std::string, Target, std::less<>> targets;  // by path
  KeysById keys;                                       // of the delegated roles
  std::vector<Delegation> delegations;
};

// A file taken apart: its signatures, and what it says.
struct MetadataFile : SignedEnvelope {
  std::string digest;    // SHA-256 of the file's bytes, hex
  JsonNode signed_part;  // what `signed_bytes` is the canonical form of
  std::int64_t version = 0;
  Instant expires;
};

// Of a file of that type, at most; delegated roles are of the type targets.
std::size_t max_file_bytes(std::string_view type);

Refusal read_metadata_file(std::string_view type, std::string_view bytes, MetadataFile& file);
Refusal read_root(const MetadataFile& file, Root& root);
Refusal read_timestamp(const MetadataFile& file, Timestamp& timestamp);
Refusal read_snapshot(const MetadataFile& file, Snapshot& snapshot);
Refusal read_targets(const MetadataFile& file, Targets& targets);

}  // namespace ashbeam::metadata
