// A TUF client and a repository for tests of the metadata modules.
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

// A delegation to one role with one key of its own.
inline Publisher::DelegationSettings make_delegation(const std::string& delegator, const std::string& role,
                                                     const std::vector<std::string>& paths) {
  return {delegator, role, role_with_new_key(), paths, {}, false, {}, 1};
}

// A repository with one target.
struct TestRepository : Publisher {
  TestRepository() : Publisher(kDefaultExpiry) { target_contents["targets"]["app.bin"] = "app"; }
  // Targets, and so everything above it, in the next version.
  void increment_versions() {
    ++versions["targets"];
    ++versions["snapshot"];
    ++versions["timestamp"];
  }
};

// Keeps what it trusts, and the refusal of the last file. Each function says whether the file was accepted.
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
  bool update_all(const Publisher& repository) {
    return apply_timestamp(repository.timestamp_file()) && apply_snapshot(repository.snapshot_file()) &&
           apply_targets(repository.targets_file());
  }
  std::string refusal_line() const { return last_refusal ? last_refusal.line() : "none"; }
};

}  // namespace ashbeam::metadata
