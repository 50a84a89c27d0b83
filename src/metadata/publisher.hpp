// Publishes a TUF repository: writes and signs the files of its roles from plain values. Tests and fault
// tests use it, and then alter the files that it made. No I/O.
#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "metadata/json.hpp"
#include "metadata/signing_key.hpp"

namespace ashbeam::metadata {

// The fields may be changed freely. Each function writes its file from the values that the fields have when
// it is called.
struct Publisher {
  struct RoleKeys {
    std::vector<SigningKey> keys;
    std::int64_t threshold = 1;
  };
  // One delegation of a targets role.
  struct DelegationSettings {
    std::string delegator;
    std::string role;
    RoleKeys keys;
    std::vector<std::string> paths;
    std::vector<std::string> hash_prefixes;  // written in place of `paths` unless empty
    bool terminating = false;
    std::vector<std::string> agreeing_roles;  // further roles of the same delegation (TAP 3)
    unsigned min_roles_in_agreement = 1;
  };

  std::map<std::string, RoleKeys> roles;         // of root, timestamp, snapshot and targets
  std::vector<DelegationSettings> delegations;   // in the order in which they are written
  std::map<std::string, std::int64_t> versions;  // by role; 1 for roles without an entry
  std::map<std::string, Instant> expires;        // by role; `default_expiry` for roles without an entry
  Instant default_expiry;
  // The content of each target by its path, by the targets role that lists it.
  std::map<std::string, std::map<std::string, std::string>> target_contents;
  bool consistent_snapshot = true;  // file names begin with the version, except the timestamp's
  bool list_hashes = true;  // timestamp and snapshot list length and hashes of files, besides versions

  // Gives each top-level role one new Ed25519 key and the version 1.
  explicit Publisher(Instant default_expiry);

  // Returns the root file, signed by the root's own keys and by `previous_root_keys`, if they are given. A
  // TUF client accepts a root that rotates the root's keys only if the previous root's keys have signed it,
  // too.
  std::string root_file(const RoleKeys* previous_root_keys = nullptr) const;
  std::string targets_file(const std::string& role = "targets") const;
  std::string snapshot_file() const;
  std::string timestamp_file() const;

  // Returns all files by the names under which clients request them.
  std::map<std::string, std::string> files() const;

  // Returns the part of a role's file that is signed. Throws std::runtime_error if the file would list a role
  // that has no keys.
  JsonNode signed_part(const std::string& role) const;

  // Returns a file that holds this signed part and a signature by each of the keys.
  static std::string sign_envelope(const JsonNode& signed_part, const std::vector<SigningKey>& keys);

 private:
  const RoleKeys& keys_of(const std::string& role) const;
  std::int64_t version_of(const std::string& role) const;
  std::string file_name(const std::string& role) const;
  const std::string& cached_signed_file(const std::string& role) const;
  JsonNode file_meta(const std::string& role) const;
  void add_root_members(std::vector<JsonMember>& members) const;
  void add_snapshot_members(std::vector<JsonMember>& members) const;
  void add_targets_members(const std::string& role, std::vector<JsonMember>& members) const;
  JsonNode delegated_role_json(const std::string& role) const;
  JsonNode delegation_json(const DelegationSettings& delegated) const;

  // Signed files by a hash of their signed part and keys. A file must be signed once only, because ECDSA and
  // RSA-PSS give another signature for the same bytes each time, and the hashes that other roles list would
  // not match.
  mutable std::map<std::string, std::string> signed_files_;
};

}  // namespace ashbeam::metadata
