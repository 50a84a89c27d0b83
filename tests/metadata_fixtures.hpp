// A repository and a TUF client for the tests of the metadata module.
#pragma once
#include <string>
#include <vector>

#include "metadata/publisher.hpp"
#include "metadata/target_lookup.hpp"
#include "metadata/trusted_metadata.hpp"

namespace ashbeam::metadata {

const Instant kNow = Instant::at_us(1'800'000'000'000'000);
const Instant kDefaultExpiry = kNow + Duration::s(86400);

inline SigningKey new_key() { return SigningKey::generate(SigningKey::Kind::kEd25519); }
inline Publisher::RoleKeys role_with_new_key() { return {{new_key()}, 1}; }

// Returns a delegation from `delegator` to `role`, which gets one new key.
inline Publisher::DelegationSettings make_delegation(const std::string& delegator, const std::string& role,
                                                     const std::vector<std::string>& paths) {
  return {delegator, role, role_with_new_key(), paths, {}, false, {}, 1};
}

// A repository whose targets role lists one target, app.bin.
struct TestRepository : Publisher {
  TestRepository() : Publisher(kDefaultExpiry) { target_contents["targets"]["app.bin"] = "app"; }
  // Raises the versions of targets and of the roles that lead to it, as a new release of a target does.
  void increment_versions() {
    ++versions["targets"];
    ++versions["snapshot"];
    ++versions["timestamp"];
  }
};

// Keeps the trusted metadata and the refusal of the last file. Each apply function returns whether the file
// was accepted; a refused file leaves the trusted metadata as it was.
struct TufClient {
  TrustedMetadata trust;
  Refusal last_refusal;

  bool apply(const TrustUpdate& update) {
    last_refusal = update.refusal;
    if (!update.refusal) trust = update.trust;
    return !update.refusal;
  }
  bool apply_root(const std::string& bytes) {
    return apply(trust.root ? update_root(trust, bytes) : pin_root(bytes));
  }
  bool apply_timestamp(const std::string& bytes, Instant now = kNow) {
    return apply(update_timestamp(trust, bytes, now));
  }
  bool apply_snapshot(const std::string& bytes, Instant now = kNow) {
    return apply(update_snapshot(trust, bytes, now));
  }
  bool apply_targets(const std::string& bytes, Instant now = kNow) {
    return apply(update_targets(trust, bytes, now));
  }
  bool apply_delegated_targets(const std::string& delegator, const std::string& role,
                               const std::string& bytes) {
    return apply(update_delegated_targets(trust, delegator, role, bytes, kNow));
  }
  // Applies timestamp, snapshot and targets, and stops at the first that is refused.
  bool update_all(const Publisher& repository) {
    return apply_timestamp(repository.timestamp_file()) && apply_snapshot(repository.snapshot_file()) &&
           apply_targets(repository.targets_file());
  }
  // Returns the refusal of the last file, for failure messages and comparisons.
  std::string refusal_line() const { return last_refusal ? last_refusal.line() : "none"; }
};

}  // namespace ashbeam::metadata
