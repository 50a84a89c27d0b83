// Makes a TUF repository's files: keys, roles, versions, delegations, signatures. For tests, fault tests and
// the demo, which then change what it made. No I/O.
#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "metadata/json.hpp"
#include "metadata/signing_key.hpp"

namespace ashbeam::metadata {

// Plain values that may be changed at will; each function makes a file of what they are now.
struct Publisher {
  struct RoleKeys {
    std::vector<SigningKey> keys;
    std::int64_t threshold = 1;
  };
  struct DelegationSettings {
    std::string delegator;
    std::string role;
    RoleKeys keys;
    std::vector<std::string> paths;
    std::vector<std::string> hash_prefixes;  // in place of paths, where there are any
    bool terminating = false;
    std::vector<std::string> agreeing_roles;  // TAP 3: further roles of the same entry
    unsigned min_roles_in_agreement = 1;
  };

  std::map<std::string, RoleKeys> roles;        // root, timestamp, snapshot, targets
  std::vector<DelegationSettings> delegations;  // in order
  std::map<std::string, std::int64_t> versions;
  std::map<std::string, Instant> expires;  // by role; `default_expiry` where not there
  Instant default_expiry;
  std::map<std::string, std::map<std::string, std::string>>
      target_contents;  // by targets role: path and content
  bool consistent_snapshot = true;
  bool list_hashes = true;  // of files in timestamp and snapshot

  // With one Ed25519 key for each role and all versions 1.
  explicit Publisher(Instant default_expiry);
  // Signed by `former` as well, where given: the keys of the root before.
  std::string root_file(const RoleKeys* previous_root_keys = nullptr) const;
  std::string targets_file(const std::string& role = "targets") const;
  std::string snapshot_file() const;
  std::string timestamp_file() const;
  // All of them by the names that clients ask for.
  std::map<std::string, std::string> files() const;

  // What is signed of a role's file. Throws std::runtime_error where it names a role that has no keys.
  JsonNode signed_part(const std::string& role) const;
  // A file of any signed part, signed by these keys.
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

  // By signed part and keys: ECDSA and RSA-PSS sign the same bytes in another way each time.
  mutable std::map<std::string, std::string> signed_files_;
};

}  // namespace ashbeam::metadata
