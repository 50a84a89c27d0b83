#include "metadata/metadata_verifier.hpp"

#include <algorithm>
#include <charconv>
#include <stdexcept>

namespace ashbeam::metadata {

namespace {

// Refuses a file whose name gives another version than its content: a file is valid only under its own name
// (section 5.6.2). `named` is 0 if the name has no version.
Refusal check_named_version(const std::string& role, std::int64_t found, std::int64_t named) {
  if (named == 0 || found == named) return {};
  return Refusal::file_name_mismatch(role, found, named, "TUF 5.6.2");
}

// Whether the root lists the keys of this role. Not called for the root and the timestamp.
bool is_top_level_role(const std::string& role) { return role == "snapshot" || role == "targets"; }

// Updates a delegated role by the first delegator that accepts the file. If none does, returns the refusal of
// the last one.
TrustUpdate update_by_any_delegator(const TrustedMetadata& trust, const std::string& role,
                                    std::string_view bytes, Instant now) {
  TrustUpdate last;
  last.refusal = {RefusalReason::kOutOfOrder, role + ": nobody who delegates to it has passed here",
                  "TUF 5.6.7"};
  for (const auto& [delegator, targets] : trust.targets) {
    for (const Delegation& delegation : targets->delegations) {
      for (const DelegatedRole& delegated : delegation.roles) {
        if (delegated.name != role) continue;
        TrustUpdate update = update_delegated_targets(trust, delegator, role, bytes, now);
        update.verifications += last.verifications;
        if (!update.refusal) return update;
        last = std::move(update);
      }
    }
  }
  return last;
}

TrustUpdate update_role(const TrustedMetadata& trust, const std::string& role, std::string_view bytes,
                        Instant now) {
  if (role == "snapshot") return update_snapshot(trust, bytes, now);
  if (role == "targets") return update_targets(trust, bytes, now);
  return update_by_any_delegator(trust, role, bytes, now);
}

std::int64_t version_of(const TrustedMetadata& trust, const std::string& role) {
  return role == "snapshot" ? trust.snapshot->version : trust.targets.find(role)->second->version;
}

}  // namespace

MetadataVerifier::MetadataVerifier(std::vector<RepositorySettings> repositories, std::size_t max_clients)
    : client_history_(repositories.size(), max_clients) {
  for (auto& settings : repositories) {
    TrustUpdate pinned = pin_root(settings.pinned_root);
    if (pinned.refusal)
      throw std::runtime_error(settings.path_prefix + ": pinned root: " + pinned.refusal.line());
    Repository repository;
    repository.index = static_cast<std::uint32_t>(repositories_.size());
    repository.trust = std::move(pinned.trust);
    const Root& root = *repository.trust.root;
    repository.roots[root.version] = {root.digest, 0};
    repository.settings = std::move(settings);
    by_descending_prefix_length_.push_back(repository.index);
    repositories_.push_back(std::move(repository));
  }
  const auto prefix_size = [this](std::uint32_t index) {
    return repositories_[index].settings.path_prefix.size();
  };
  std::stable_sort(by_descending_prefix_length_.begin(), by_descending_prefix_length_.end(),
                   [&](std::uint32_t a, std::uint32_t b) { return prefix_size(a) > prefix_size(b); });
}

std::uint32_t MetadataVerifier::find_repository(std::string_view path, std::string_view& file) const {
  for (const std::uint32_t index : by_descending_prefix_length_) {
    const std::string& prefix = repositories_[index].settings.path_prefix;
    if (!path.starts_with(prefix)) continue;
    file = path.substr(prefix.size());
    return index;
  }
  return kNoRepository;
}

// Reads role and version from a file name: "12.snapshot.json" is the snapshot of version 12, and
// "snapshot.json" the snapshot without a version. Returns false if the name is not that of a metadata file.
bool MetadataVerifier::parse_file_name(std::string_view name, ServedFile& file) {
  constexpr std::string_view kExtension = ".json";
  if (!name.ends_with(kExtension) || name.find('/') != std::string_view::npos) return false;
  name.remove_suffix(kExtension.size());
  const std::size_t dot = name.find('.');
  if (dot != std::string_view::npos) {
    const char* const end = name.data() + dot;
    const auto [parsed_end, error] = std::from_chars(name.data(), end, file.named_version);
    if (error == std::errc() && parsed_end == end) name.remove_prefix(dot + 1);
  }
  file.role = name;
  return !file.role.empty();
}

Refusal MetadataVerifier::check(std::uint32_t repository_index, std::string_view name, std::string_view bytes,
                                std::uint64_t client, Instant now) {
  Repository& repository = repositories_[repository_index];
  ServedFile file;
  if (!parse_file_name(name, file)) return {};
  file.bytes = bytes;
  file.client = client;
  file.now = now;
  Refusal refusal;
  if (file.role == "root") refusal = check_root(repository, file);
  else if (file.role == "timestamp") refusal = check_timestamp(repository, file);
  else refusal = check_below_timestamp(repository, file);
  if (refusal) ++refusal_counts_[static_cast<std::size_t>(refusal.reason)];
  return refusal;
}

// ---- Root (section 5.3) ----

Refusal MetadataVerifier::check_root(Repository& repository, const ServedFile& file) {
  const std::int64_t named = file.named_version;
  const std::int64_t trusted = repository.trust.root->version;
  std::string digest = sha256_hex(file.bytes);
  const auto known = repository.roots.find(named == 0 ? trusted : named);
  if (known != repository.roots.end() && known->second.digest == digest) {
    client_history_.record(repository.index, file.client, {known->second.key_generation, 0});
    return {};
  }
  TrustUpdate update = update_root(repository.trust, file.bytes);
  verifications_ += update.verifications;
  if (update.refusal) {
    // The client may have received the roots in between from elsewhere. A later root that the trusted keys
    // have signed may therefore be served, but it does not change the trusted metadata.
    if (update.refusal.reason != RefusalReason::kRootVersion || named <= trusted) return update.refusal;
    MetadataFile later;
    if (Refusal refusal = read_metadata_file("root", file.bytes, later)) return refusal;
    return later.version == named ? Refusal{} : update.refusal;
  }
  const std::int64_t version = update.trust.root->version;
  if (named != 0 && version != named) return Refusal::file_name_mismatch("root", version, named, "TUF 5.3.3");
  accept_root(repository, std::move(update.trust), std::move(digest), file.now);
  client_history_.record(repository.index, file.client, {repository.key_generation, 0});
  return {};
}

void MetadataVerifier::accept_root(Repository& repository, TrustedMetadata next, std::string digest,
                                   Instant now) {
  if (recovers_from_fast_forward(*repository.trust.root, *next.root)) {
    ++repository.key_generation;
    retire_timestamps(repository, now);
  }
  repository.trust = std::move(next);
  // The newest timestamp continues under the new root. Otherwise the next file accepted with it would restore
  // the previous root, because check_below_timestamp() replaces the repository's trusted metadata.
  auto& timestamps = repository.timestamps;
  if (!timestamps.empty() && timestamps.back().servable_until == Instant::never())
    timestamps.back().trust = repository.trust;
  auto& roots = repository.roots;
  roots[repository.trust.root->version] = {std::move(digest), repository.key_generation};
  if (roots.size() > kMaxKnownRoots) roots.erase(roots.begin());
}

// ---- Timestamp (section 5.4) ----

// Removes the timestamps that may no longer be served.
void MetadataVerifier::expire_timestamps(Repository& repository, Instant now) {
  std::erase_if(repository.timestamps,
                [&](const AcceptedTimestamp& accepted) { return accepted.servable_until <= now; });
}

// Called when a newer timestamp or a root with other keys replaces the accepted timestamps: from now on each
// may be served for `max_lag` at most.
void MetadataVerifier::retire_timestamps(Repository& repository, Instant now) {
  for (AcceptedTimestamp& accepted : repository.timestamps)
    accepted.servable_until = std::min(accepted.servable_until, now + repository.settings.max_lag);
}

Refusal MetadataVerifier::check_timestamp(Repository& repository, const ServedFile& file) {
  expire_timestamps(repository, file.now);
  const std::string digest = sha256_hex(file.bytes);
  for (const AcceptedTimestamp& accepted : repository.timestamps) {
    if (accepted.timestamp->digest != digest) continue;
    // The same bytes were accepted before, so no signature is verified again.
    const Timestamp& timestamp = *accepted.timestamp;
    if (file.now >= timestamp.expires)
      return Refusal::expired("timestamp", timestamp.version, timestamp.expires, "TUF 5.4.4");
    return serve_timestamp(repository, file, {accepted.key_generation, timestamp.version});
  }
  TrustUpdate update = update_timestamp(repository.trust, file.bytes, file.now);
  verifications_ += update.verifications;
  if (update.refusal) return update.refusal;
  const ServedVersion offered{repository.key_generation, update.trust.timestamp->version};
  if (Refusal refusal = serve_timestamp(repository, file, offered)) return refusal;
  accept_timestamp(repository, std::move(update.trust), file.now);
  return {};
}

void MetadataVerifier::accept_timestamp(Repository& repository, TrustedMetadata next, Instant now) {
  retire_timestamps(repository, now);
  auto& timestamps = repository.timestamps;
  if (timestamps.size() >= kMaxServableTimestamps) timestamps.erase(timestamps.begin());
  repository.trust = std::move(next);
  timestamps.push_back(
      {repository.trust.timestamp, Instant::never(), repository.trust, repository.key_generation});
}

// Refuses a timestamp that is older than one that the client was served before (rollback, section 5.4.3.1),
// and records the served version otherwise.
Refusal MetadataVerifier::serve_timestamp(const Repository& repository, const ServedFile& file,
                                          ServedVersion offered) {
  const ServedVersion newest = client_history_.newest_served(repository.index, file.client);
  if (offered < newest) {
    const std::string seen = offered.key_generation < newest.key_generation ? "keys that a root has turned"
                                                                            : std::to_string(newest.version);
    return {RefusalReason::kRollback,
            "timestamp " + std::to_string(offered.version) + " < " + seen + " that this client was served",
            "TUF 5.4.3.1"};
  }
  client_history_.record(repository.index, file.client, offered);
  return {};
}

// ---- Snapshot, targets and delegated roles (sections 5.5 and 5.6) ----

Refusal MetadataVerifier::check_below_timestamp(Repository& repository, const ServedFile& file) {
  expire_timestamps(repository, file.now);
  auto& timestamps = repository.timestamps;
  const bool top_level = is_top_level_role(file.role);
  // The file is checked with the newest timestamp first, and then with older ones, because the client may
  // still be following an older timestamp. If all refuse it, the refusal by the newest one is returned.
  Refusal newest_refusal{RefusalReason::kOutOfOrder, file.role + " before a timestamp", "TUF 5.5"};
  for (std::size_t i = timestamps.size(); i-- > 0;) {
    AcceptedTimestamp& accepted = timestamps[i];
    Refusal refusal = check_with_timestamp(accepted, file);
    if (!refusal) {
      if (accepted.servable_until == Instant::never()) repository.trust = accepted.trust;
      return {};
    }
    if (i + 1 == timestamps.size()) newest_refusal = std::move(refusal);
    if (newest_refusal.reason == RefusalReason::kOutOfOrder && top_level) break;
  }
  if (newest_refusal.reason == RefusalReason::kOutOfOrder && top_level)
    return check_without_timestamp(repository, file);
  return newest_refusal;
}

// Checks the file with one accepted timestamp, and adds it to the metadata that is trusted with that
// timestamp.
Refusal MetadataVerifier::check_with_timestamp(AcceptedTimestamp& accepted, const ServedFile& file) {
  TrustUpdate update = update_role(accepted.trust, file.role, file.bytes, file.now);
  verifications_ += update.verifications;
  if (update.refusal) return update.refusal;
  const std::int64_t version = version_of(update.trust, file.role);
  if (Refusal refusal = check_named_version(file.role, version, file.named_version)) return refusal;
  accepted.trust = std::move(update.trust);
  return {};
}

// Checks a snapshot or targets file by itself: its form, signatures, expiry date and name.
Refusal MetadataVerifier::check_without_timestamp(const Repository& repository, const ServedFile& file) {
  MetadataFile found;
  if (Refusal refusal = read_metadata_file(file.role, file.bytes, found)) return refusal;
  const Root& root = *repository.trust.root;
  if (Refusal refusal =
          check_threshold(file.role, root.role(file.role), root.keys, found, "TUF 5.5.3", verifications_))
    return refusal;
  if (file.now >= found.expires)
    return Refusal::expired(file.role, found.version, found.expires, "TUF 5.5.6");
  return check_named_version(file.role, found.version, file.named_version);
}

}  // namespace ashbeam::metadata
