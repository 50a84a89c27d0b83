#include "metadata/trusted_metadata.hpp"

#include <algorithm>
#include <optional>

namespace ashbeam::metadata {

namespace {

Refusal refuse_without_root() { return {RefusalReason::kOutOfOrder, "no root is trusted", "TUF 5.2"}; }

// Describes how content differs from its listed length and hashes. Returns an empty string if it does not.
std::string describe_content_difference(std::optional<std::int64_t> length, const Hashes& hashes,
                                        std::string_view bytes) {
  if (length && static_cast<std::int64_t>(bytes.size()) != *length)
    return std::to_string(bytes.size()) + " bytes, listed " + std::to_string(*length);
  for (const auto& [algorithm, listed] : hashes) {
    const std::string found = algorithm == "sha256" ? sha256_hex(bytes) : sha512_hex(bytes);
    if (found == listed) continue;
    std::string difference = algorithm + " ";
    difference.append(abbreviate_hash(found)).append(", listed ").append(abbreviate_hash(listed));
    return difference;
  }
  return "";
}

Refusal check_listed_content(std::string_view subject, const FileMeta& meta, std::string_view bytes,
                             const char* section) {
  const std::string difference = describe_content_difference(meta.length, meta.hashes, bytes);
  if (difference.empty()) return {};
  return {RefusalReason::kMismatch, std::string(subject) + ": " + difference, section};
}

Refusal check_listed_version(std::string_view subject, std::int64_t found, std::int64_t listed,
                             const char* section) {
  if (found == listed) return {};
  return Refusal::version_mismatch(subject, found, listed, section);
}

// Refuses a file that has the version of the trusted file but other bytes.
Refusal check_equivocation(std::string_view subject, const MetadataHeader& found,
                           const MetadataHeader& trusted, const char* section) {
  if (found.version != trusted.version || found.digest == trusted.digest) return {};
  return Refusal::equivocation(subject, found.version, found.digest, trusted.digest, section);
}

// Whether the next root changes the keys or the threshold of a role. Comparing key ids is enough, because
// they are hashes of the keys.
bool rotates_keys_of(const Root& trusted, const Root& next, const char* role) {
  return !(trusted.role(role) == next.role(role));
}

// ---- Checks of each role ----
//
// The accept functions make the checks in the specification's order. Each changes `update.trust` as its last
// step, and only if nothing is refused.

Refusal check_root_version(const Root& root, const Root& trusted) {
  if (root.version < trusted.version)
    return Refusal::rollback("root", root.version, trusted.version, "TUF 5.3.5");
  if (Refusal refusal = check_equivocation("root", root, trusted, "TUF 5.3.5")) return refusal;
  const std::int64_t wanted = trusted.version + 1;
  if (root.version == wanted) return {};
  return {RefusalReason::kRootVersion,
          "root " + std::to_string(root.version) + ", wanted " + std::to_string(wanted), "TUF 5.3.5"};
}

Refusal accept_root(TrustUpdate& update, std::string_view bytes) {
  TrustedMetadata& trust = update.trust;
  if (!trust.root) return refuse_without_root();
  MetadataFile file;
  if (Refusal refusal = read_metadata_file("root", bytes, file)) return refusal;
  const Root& trusted = *trust.root;
  if (file.digest == trusted.digest) return {};
  // The keys of the trusted root must have signed the file before its content is read (section 5.3.4).
  if (Refusal refusal = check_threshold("root by the trusted root", trusted.role("root"), trusted.keys, file,
                                        "TUF 5.3.4", update.verifications))
    return refusal;
  auto root = std::make_shared<Root>();
  if (Refusal refusal = read_root(file, *root)) return refusal;
  if (Refusal refusal = check_threshold("root by itself", root->role("root"), root->keys, file, "TUF 5.3.4",
                                        update.verifications))
    return refusal;
  if (Refusal refusal = check_root_version(*root, trusted)) return refusal;

  const bool recovers = recovers_from_fast_forward(trusted, *root);
  if (recovers) {
    trust.timestamp = nullptr;
    trust.snapshot = nullptr;
  }
  if (recovers || rotates_keys_of(trusted, *root, "targets")) trust.targets.clear();
  trust.root = std::move(root);
  update.changed = true;
  return {};
}

Refusal check_timestamp_rollback(const Timestamp& timestamp, const Timestamp& trusted) {
  if (timestamp.version < trusted.version)
    return Refusal::rollback("timestamp", timestamp.version, trusted.version, "TUF 5.4.3.1");
  if (Refusal refusal = check_equivocation("timestamp", timestamp, trusted, "TUF 5.4.3.1")) return refusal;
  if (timestamp.snapshot.version < trusted.snapshot.version)
    return Refusal::rollback("timestamp's snapshot", timestamp.snapshot.version, trusted.snapshot.version,
                             "TUF 5.4.3.2");
  return {};
}

Refusal accept_timestamp(TrustUpdate& update, std::string_view bytes, Instant now) {
  TrustedMetadata& trust = update.trust;
  if (!trust.root) return refuse_without_root();
  if (Refusal refusal = check_expiry("root", *trust.root, now, "TUF 5.3.10")) return refusal;
  MetadataFile file;
  if (Refusal refusal = read_metadata_file("timestamp", bytes, file)) return refusal;
  const bool known = trust.timestamp && file.digest == trust.timestamp->digest;
  if (!known) {
    if (Refusal refusal = check_threshold("timestamp", trust.root->role("timestamp"), trust.root->keys, file,
                                          "TUF 5.4.2", update.verifications))
      return refusal;
  }
  auto timestamp = std::make_shared<Timestamp>();
  if (Refusal refusal = read_timestamp(file, *timestamp)) return refusal;
  if (trust.timestamp) {
    if (Refusal refusal = check_timestamp_rollback(*timestamp, *trust.timestamp)) return refusal;
  }
  if (Refusal refusal = check_expiry("timestamp", *timestamp, now, "TUF 5.4.4")) return refusal;
  if (known) return {};
  trust.timestamp = std::move(timestamp);
  update.changed = true;
  return {};
}

Refusal check_snapshot_rollback(const Snapshot& snapshot, const Snapshot& trusted) {
  if (Refusal refusal = check_equivocation("snapshot", snapshot, trusted, "TUF 5.5.4")) return refusal;
  for (const auto& [name, meta] : trusted.meta) {
    const auto listed = snapshot.meta.find(name);
    if (listed == snapshot.meta.end())
      return {RefusalReason::kMissing, "snapshot lists " + name + " no more", "TUF 5.5.5"};
    if (listed->second.version < meta.version)
      return Refusal::rollback("snapshot's " + name, listed->second.version, meta.version, "TUF 5.5.5");
  }
  return {};
}

// Removes the trusted targets files that the snapshot does not list, or lists with another version: they have
// to be fetched again.
void drop_unlisted_targets(TrustedMetadata& trust, const Snapshot& snapshot) {
  std::erase_if(trust.targets, [&](const auto& entry) {
    const auto listed = snapshot.meta.find(entry.first + ".json");
    return listed == snapshot.meta.end() || listed->second.version != entry.second->version;
  });
}

Refusal accept_snapshot(TrustUpdate& update, std::string_view bytes, Instant now) {
  TrustedMetadata& trust = update.trust;
  if (!trust.root) return refuse_without_root();
  if (!trust.timestamp) return {RefusalReason::kOutOfOrder, "snapshot before a timestamp", "TUF 5.5"};
  const FileMeta& meta = trust.timestamp->snapshot;
  if (Refusal refusal = check_expiry("timestamp", *trust.timestamp, now, "TUF 5.4.4")) return refusal;
  if (Refusal refusal = check_listed_content("snapshot", meta, bytes, "TUF 5.5.2")) return refusal;
  MetadataFile file;
  if (Refusal refusal = read_metadata_file("snapshot", bytes, file)) return refusal;
  const bool known = trust.snapshot && file.digest == trust.snapshot->digest;
  if (!known) {
    if (Refusal refusal = check_threshold("snapshot", trust.root->role("snapshot"), trust.root->keys, file,
                                          "TUF 5.5.3", update.verifications))
      return refusal;
  }
  auto snapshot = std::make_shared<Snapshot>();
  if (Refusal refusal = read_snapshot(file, *snapshot)) return refusal;
  if (Refusal refusal = check_listed_version("snapshot", snapshot->version, meta.version, "TUF 5.5.4"))
    return refusal;
  if (trust.snapshot) {
    if (Refusal refusal = check_snapshot_rollback(*snapshot, *trust.snapshot)) return refusal;
  }
  if (Refusal refusal = check_expiry("snapshot", *snapshot, now, "TUF 5.5.6")) return refusal;
  if (known) return {};
  drop_unlisted_targets(trust, *snapshot);
  trust.snapshot = std::move(snapshot);
  update.changed = true;
  return {};
}

// A targets role, with the keys that its delegator (or the root) lists for it.
struct TargetsRole {
  std::string_view name;
  const Role& role;
  const KeysById& keys;
};

// A timestamp and a snapshot must be trusted already.
Refusal accept_targets(TrustUpdate& update, const TargetsRole& delegated, std::string_view bytes,
                       Instant now) {
  TrustedMetadata& trust = update.trust;
  if (Refusal refusal = check_expiry("timestamp", *trust.timestamp, now, "TUF 5.4.4")) return refusal;
  if (Refusal refusal = check_expiry("snapshot", *trust.snapshot, now, "TUF 5.5.6")) return refusal;
  const std::string name(delegated.name);
  const auto meta = trust.snapshot->meta.find(name + ".json");
  if (meta == trust.snapshot->meta.end())
    return {RefusalReason::kUnlisted, "snapshot does not list " + name, "TUF 5.6.2"};
  if (Refusal refusal = check_listed_content(name, meta->second, bytes, "TUF 5.6.2")) return refusal;
  MetadataFile file;
  if (Refusal refusal = read_metadata_file("targets", bytes, file)) return refusal;
  // A file that is already trusted is checked, too, because another delegator may list other keys for the
  // role.
  if (Refusal refusal =
          check_threshold(name, delegated.role, delegated.keys, file, "TUF 5.6.3", update.verifications))
    return refusal;
  auto targets = std::make_shared<Targets>();
  if (Refusal refusal = read_targets(file, *targets)) return refusal;
  if (Refusal refusal = check_listed_version(name, targets->version, meta->second.version, "TUF 5.6.4"))
    return refusal;
  const auto trusted = trust.targets.find(name);
  const bool known = trusted != trust.targets.end() && trusted->second->digest == file.digest;
  if (trusted != trust.targets.end()) {
    if (Refusal refusal = check_equivocation(name, *targets, *trusted->second, "TUF 5.6.4")) return refusal;
  }
  if (Refusal refusal = check_expiry(name, *targets, now, "TUF 5.6.5")) return refusal;
  if (known) return {};
  trust.targets[name] = std::move(targets);
  update.changed = true;
  return {};
}

Refusal accept_top_level_targets(TrustUpdate& update, std::string_view bytes, Instant now) {
  const TrustedMetadata& trust = update.trust;
  if (!trust.root) return refuse_without_root();
  if (!trust.snapshot || !trust.timestamp)
    return {RefusalReason::kOutOfOrder, "targets before a snapshot", "TUF 5.6"};
  const std::shared_ptr<const Root> root = trust.root;
  return accept_targets(update, {"targets", root->role("targets"), root->keys}, bytes, now);
}

Refusal accept_delegated_targets(TrustUpdate& update, std::string_view delegator, std::string_view role,
                                 std::string_view bytes, Instant now) {
  const TrustedMetadata& trust = update.trust;
  if (!trust.snapshot || !trust.timestamp)
    return {RefusalReason::kOutOfOrder, "targets before a snapshot", "TUF 5.6"};
  const auto found = trust.targets.find(delegator);
  if (found == trust.targets.end())
    return {RefusalReason::kOutOfOrder, std::string(role) + " before " + std::string(delegator), "TUF 5.6.7"};
  // Held until the end of this function: a role may delegate to itself, and accept_targets() then replaces
  // its file.
  const std::shared_ptr<const Targets> delegating_targets = found->second;
  for (const Delegation& delegation : delegating_targets->delegations) {
    for (const DelegatedRole& delegated : delegation.roles) {
      if (delegated.name == role)
        return accept_targets(update, {role, delegated.role, delegating_targets->keys}, bytes, now);
    }
  }
  return {RefusalReason::kUnlisted, std::string(delegator) + " does not delegate to " + std::string(role),
          "TUF 5.6.7"};
}

// Returns an update that has not changed the trusted metadata yet.
TrustUpdate begin_update(const TrustedMetadata& trust) {
  TrustUpdate update;
  update.trust = trust;
  return update;
}

}  // namespace

TrustUpdate pin_root(std::string_view bytes) {
  TrustUpdate update;
  MetadataFile file;
  auto root = std::make_shared<Root>();
  update.refusal = read_metadata_file("root", bytes, file);
  if (!update.refusal) update.refusal = read_root(file, *root);
  if (!update.refusal)
    update.refusal =
        check_threshold("root", root->role("root"), root->keys, file, "TUF 5.2", update.verifications);
  if (update.refusal) return update;
  update.trust.root = std::move(root);
  update.changed = true;
  return update;
}

TrustUpdate update_root(const TrustedMetadata& trust, std::string_view bytes) {
  TrustUpdate update = begin_update(trust);
  update.refusal = accept_root(update, bytes);
  return update;
}

TrustUpdate update_timestamp(const TrustedMetadata& trust, std::string_view bytes, Instant now) {
  TrustUpdate update = begin_update(trust);
  update.refusal = accept_timestamp(update, bytes, now);
  return update;
}

TrustUpdate update_snapshot(const TrustedMetadata& trust, std::string_view bytes, Instant now) {
  TrustUpdate update = begin_update(trust);
  update.refusal = accept_snapshot(update, bytes, now);
  return update;
}

TrustUpdate update_targets(const TrustedMetadata& trust, std::string_view bytes, Instant now) {
  TrustUpdate update = begin_update(trust);
  update.refusal = accept_top_level_targets(update, bytes, now);
  return update;
}

TrustUpdate update_delegated_targets(const TrustedMetadata& trust, std::string_view delegator,
                                     std::string_view role, std::string_view bytes, Instant now) {
  TrustUpdate update = begin_update(trust);
  update.refusal = accept_delegated_targets(update, delegator, role, bytes, now);
  return update;
}

bool recovers_from_fast_forward(const Root& trusted, const Root& next) {
  return rotates_keys_of(trusted, next, "timestamp") || rotates_keys_of(trusted, next, "snapshot");
}

Refusal check_expiry(std::string_view subject, const MetadataHeader& file, Instant now, const char* section) {
  if (now < file.expires) return {};
  return Refusal::expired(subject, file.version, file.expires, section);
}

Refusal check_unexpired(const TrustedMetadata& trust, Instant now) {
  if (!trust.root) return refuse_without_root();
  if (Refusal refusal = check_expiry("root", *trust.root, now, "TUF 5.3.10")) return refusal;
  if (trust.timestamp) {
    if (Refusal refusal = check_expiry("timestamp", *trust.timestamp, now, "TUF 5.4.4")) return refusal;
  }
  if (trust.snapshot) return check_expiry("snapshot", *trust.snapshot, now, "TUF 5.5.6");
  return {};
}

Refusal check_target_content(const Target& target, std::string_view bytes) {
  const std::string difference = describe_content_difference(target.length, target.hashes, bytes);
  if (difference.empty()) return {};
  return {RefusalReason::kTarget, difference, "TUF 5.7.2"};
}

}  // namespace ashbeam::metadata
