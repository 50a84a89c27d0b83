#include "metadata/trust.hpp"

#include <algorithm>
#include <set>

namespace ashbeam::metadata {

namespace {

std::string less(std::string_view what, std::int64_t found, std::int64_t trusted) {
  return std::string(what) + " " + std::to_string(found) + " < " + std::to_string(trusted);
}

Step refused(const Trust& trust, Refusal why, std::uint64_t verifications = 0) {
  return {trust, std::move(why), false, verifications};
}

Refusal threshold(std::string_view what, const Role& role, const Keys& keys, const File& file,
                  const char* section, std::uint64_t& verifications) {
  const unsigned got = signers(role, keys, file.signatures, file.signed_bytes, verifications);
  if (got >= static_cast<std::uint64_t>(role.threshold)) return {};
  return {Why::kThreshold,
          std::string(what) + ": " + std::to_string(got) + " of " + std::to_string(role.threshold) +
              " distinct keys",
          section};
}

Refusal expiry(std::string_view what, const Common& file, Instant now, const char* section) {
  if (now < file.expires) return {};
  return {Why::kExpired,
          std::string(what) + " " + std::to_string(file.version) + " expired " + date_text(file.expires),
          section};
}

// Is it the file that the role above lists?
Refusal listed(std::string_view what, const FileMeta& meta, std::string_view bytes, const char* section) {
  if (meta.length && static_cast<std::int64_t>(bytes.size()) != *meta.length)
    return {Why::kMismatch,
            std::string(what) + ": " + std::to_string(bytes.size()) + " bytes, listed " +
                std::to_string(*meta.length),
            section};
  for (const auto& [algorithm, hash] : meta.hashes) {
    const std::string own = algorithm == "sha256" ? sha256_hex(bytes) : sha512_hex(bytes);
    if (own != hash)
      return {
          Why::kMismatch,
          std::string(what) + ": " + algorithm + " " + own.substr(0, 12) + ", listed " + hash.substr(0, 12),
          section};
  }
  return {};
}

Refusal listed_version(std::string_view what, std::int64_t found, std::int64_t wanted, const char* section) {
  if (found == wanted) return {};
  return {Why::kMismatch,
          std::string(what) + " " + std::to_string(found) + ", listed " + std::to_string(wanted), section};
}

Refusal equivocates(std::string_view what, const Common& found, const Common& trusted, const char* section) {
  if (found.version != trusted.version || found.digest == trusted.digest) return {};
  return {Why::kEquivocation,
          std::string(what) + " " + std::to_string(found.version) + ": " + found.digest.substr(0, 12) +
              ", trusted " + trusted.digest.substr(0, 12),
          section};
}

const Refusal kNoRoot{Why::kOutOfOrder, "no root is trusted", "TUF 5.2"};

bool same_keys(const Root& a, const Root& b, const char* role) {
  const Role &x = a.roles.at(role), &y = b.roles.at(role);
  return x == y;  // ids are hashes of the keys
}

}  // namespace

// The first root has nobody to vouch for it; that it signs itself keeps out what is merely broken.
Step pin(std::string_view bytes) {
  Step step;
  File file;
  auto root = std::make_shared<Root>();
  if ((step.refusal = read_file_of("root", bytes, file))) return step;
  if ((step.refusal = read_root(file, *root))) return step;
  if ((step.refusal =
           threshold("root", root->roles.at("root"), root->keys, file, "TUF 5.2", step.verifications)))
    return step;
  step.trust.root = root;
  step.changed = true;
  return step;
}

Step take_root(const Trust& trust, std::string_view bytes) {
  if (!trust.root) return refused(trust, kNoRoot);
  File file;
  if (Refusal r = read_file_of("root", bytes, file)) return refused(trust, r);
  if (file.digest == trust.root->digest) return {trust, {}, false, 0};
  std::uint64_t verifications = 0;
  const Root& old = *trust.root;
  // Signed by those who are trusted, before anything else in it is looked at (section 5.3.4).
  if (Refusal r = threshold("root by the trusted root", old.roles.at("root"), old.keys, file, "TUF 5.3.4",
                            verifications))
    return refused(trust, r, verifications);
  auto root = std::make_shared<Root>();
  if (Refusal r = read_root(file, *root)) return refused(trust, r, verifications);
  if (Refusal r =
          threshold("root by itself", root->roles.at("root"), root->keys, file, "TUF 5.3.4", verifications))
    return refused(trust, r, verifications);
  if (root->version < old.version)
    return refused(trust, {Why::kRollback, less("root", root->version, old.version), "TUF 5.3.5"},
                   verifications);
  if (Refusal r = equivocates("root", *root, old, "TUF 5.3.5")) return refused(trust, r, verifications);
  if (root->version != old.version + 1)
    return refused(trust,
                   {Why::kRootVersion,
                    "root " + std::to_string(root->version) + ", wanted " + std::to_string(old.version + 1),
                    "TUF 5.3.5"},
                   verifications);
  Trust next = trust;
  next.root = root;
  // Recovery from fast-forward (section 5.3.11): who had those keys may have raised the versions out of
  // reach.
  if (!same_keys(old, *root, "timestamp") || !same_keys(old, *root, "snapshot")) {
    next.timestamp = nullptr;
    next.snapshot = nullptr;
    next.targets.clear();
  }
  if (!same_keys(old, *root, "targets")) next.targets.clear();
  return {next, {}, true, verifications};
}

Step take_timestamp(const Trust& trust, std::string_view bytes, Instant now) {
  if (!trust.root) return refused(trust, kNoRoot);
  if (Refusal r = expiry("root", *trust.root, now, "TUF 5.3.10")) return refused(trust, r);
  File file;
  if (Refusal r = read_file_of("timestamp", bytes, file)) return refused(trust, r);
  std::uint64_t verifications = 0;
  const bool same = trust.timestamp && file.digest == trust.timestamp->digest;
  if (!same) {
    if (Refusal r = threshold("timestamp", trust.root->roles.at("timestamp"), trust.root->keys, file,
                              "TUF 5.4.2", verifications))
      return refused(trust, r, verifications);
  }
  auto timestamp = std::make_shared<Timestamp>();
  if (Refusal r = read_timestamp(file, *timestamp)) return refused(trust, r, verifications);
  if (trust.timestamp) {
    const Timestamp& old = *trust.timestamp;
    if (timestamp->version < old.version)
      return refused(trust,
                     {Why::kRollback, less("timestamp", timestamp->version, old.version), "TUF 5.4.3.1"},
                     verifications);
    if (Refusal r = equivocates("timestamp", *timestamp, old, "TUF 5.4.3.1"))
      return refused(trust, r, verifications);
    if (timestamp->snapshot.version < old.snapshot.version)
      return refused(
          trust,
          {Why::kRollback, less("timestamp's snapshot", timestamp->snapshot.version, old.snapshot.version),
           "TUF 5.4.3.2"},
          verifications);
  }
  if (Refusal r = expiry("timestamp", *timestamp, now, "TUF 5.4.4")) return refused(trust, r, verifications);
  if (same) return {trust, {}, false, verifications};
  Trust next = trust;
  next.timestamp = timestamp;
  return {next, {}, true, verifications};
}

Step take_snapshot(const Trust& trust, std::string_view bytes, Instant now) {
  if (!trust.root) return refused(trust, kNoRoot);
  if (!trust.timestamp) return refused(trust, {Why::kOutOfOrder, "snapshot before a timestamp", "TUF 5.5"});
  if (Refusal r = expiry("timestamp", *trust.timestamp, now, "TUF 5.4.4")) return refused(trust, r);
  if (Refusal r = listed("snapshot", trust.timestamp->snapshot, bytes, "TUF 5.5.2")) return refused(trust, r);
  File file;
  if (Refusal r = read_file_of("snapshot", bytes, file)) return refused(trust, r);
  std::uint64_t verifications = 0;
  const bool same = trust.snapshot && file.digest == trust.snapshot->digest;
  if (!same) {
    if (Refusal r = threshold("snapshot", trust.root->roles.at("snapshot"), trust.root->keys, file,
                              "TUF 5.5.3", verifications))
      return refused(trust, r, verifications);
  }
  auto snapshot = std::make_shared<Snapshot>();
  if (Refusal r = read_snapshot(file, *snapshot)) return refused(trust, r, verifications);
  if (Refusal r =
          listed_version("snapshot", snapshot->version, trust.timestamp->snapshot.version, "TUF 5.5.4"))
    return refused(trust, r, verifications);
  if (trust.snapshot) {
    const Snapshot& old = *trust.snapshot;
    if (Refusal r = equivocates("snapshot", *snapshot, old, "TUF 5.5.4"))
      return refused(trust, r, verifications);
    for (const auto& [name, meta] : old.meta) {
      const auto at = snapshot->meta.find(name);
      if (at == snapshot->meta.end())
        return refused(trust, {Why::kMissing, "snapshot lists " + name + " no more", "TUF 5.5.5"},
                       verifications);
      if (at->second.version < meta.version)
        return refused(
            trust,
            {Why::kRollback, less("snapshot's " + name, at->second.version, meta.version), "TUF 5.5.5"},
            verifications);
    }
  }
  if (Refusal r = expiry("snapshot", *snapshot, now, "TUF 5.5.6")) return refused(trust, r, verifications);
  if (same) return {trust, {}, false, verifications};
  Trust next = trust;
  next.snapshot = snapshot;
  // Targets that the new snapshot lists in another version are to be had anew.
  std::erase_if(next.targets, [&](const auto& role) {
    const auto at = snapshot->meta.find(role.first + ".json");
    return at == snapshot->meta.end() || at->second.version != role.second->version;
  });
  return {next, {}, true, verifications};
}

namespace {

Step take_any_targets(const Trust& trust, std::string_view role, const Role& by, const Keys& keys,
                      std::string_view bytes, Instant now) {
  if (Refusal r = expiry("timestamp", *trust.timestamp, now, "TUF 5.4.4")) return refused(trust, r);
  if (Refusal r = expiry("snapshot", *trust.snapshot, now, "TUF 5.5.6")) return refused(trust, r);
  const auto meta = trust.snapshot->meta.find(std::string(role) + ".json");
  if (meta == trust.snapshot->meta.end())
    return refused(trust, {Why::kUnlisted, "snapshot does not list " + std::string(role), "TUF 5.6.2"});
  if (Refusal r = listed(role, meta->second, bytes, "TUF 5.6.2")) return refused(trust, r);
  File file;
  if (Refusal r = read_file_of("targets", bytes, file)) return refused(trust, r);
  std::uint64_t verifications = 0;
  // Who may speak for a role hangs on its delegator: checked even for bytes that are known.
  if (Refusal r = threshold(role, by, keys, file, "TUF 5.6.3", verifications))
    return refused(trust, r, verifications);
  auto targets = std::make_shared<Targets>();
  if (Refusal r = read_targets(file, *targets)) return refused(trust, r, verifications);
  if (Refusal r = listed_version(role, targets->version, meta->second.version, "TUF 5.6.4"))
    return refused(trust, r, verifications);
  const auto old = trust.targets.find(role);
  const bool same = old != trust.targets.end() && old->second->digest == file.digest;
  if (old != trust.targets.end()) {
    if (Refusal r = equivocates(role, *targets, *old->second, "TUF 5.6.4"))
      return refused(trust, r, verifications);
  }
  if (Refusal r = expiry(role, *targets, now, "TUF 5.6.5")) return refused(trust, r, verifications);
  if (same) return {trust, {}, false, verifications};
  Trust next = trust;
  next.targets[std::string(role)] = targets;
  return {next, {}, true, verifications};
}

}  // namespace

Step take_targets(const Trust& trust, std::string_view bytes, Instant now) {
  if (!trust.root) return refused(trust, kNoRoot);
  if (!trust.snapshot || !trust.timestamp)
    return refused(trust, {Why::kOutOfOrder, "targets before a snapshot", "TUF 5.6"});
  return take_any_targets(trust, "targets", trust.root->roles.at("targets"), trust.root->keys, bytes, now);
}

Step take_delegated(const Trust& trust, std::string_view delegator, std::string_view role,
                    std::string_view bytes, Instant now) {
  if (!trust.snapshot || !trust.timestamp)
    return refused(trust, {Why::kOutOfOrder, "targets before a snapshot", "TUF 5.6"});
  const auto by = trust.targets.find(delegator);
  if (by == trust.targets.end())
    return refused(trust,
                   {Why::kOutOfOrder, std::string(role) + " before " + std::string(delegator), "TUF 5.6.7"});
  for (const Delegation& d : by->second->delegations) {
    for (const auto& [name, allowed] : d.roles) {
      if (name == role) return take_any_targets(trust, role, allowed, by->second->keys, bytes, now);
    }
  }
  return refused(trust, {Why::kUnlisted,
                         std::string(delegator) + " does not delegate to " + std::string(role), "TUF 5.6.7"});
}

Refusal fresh(const Trust& trust, Instant now) {
  if (!trust.root) return kNoRoot;
  if (Refusal r = expiry("root", *trust.root, now, "TUF 5.3.10")) return r;
  if (trust.timestamp) {
    if (Refusal r = expiry("timestamp", *trust.timestamp, now, "TUF 5.4.4")) return r;
  }
  if (trust.snapshot) return expiry("snapshot", *trust.snapshot, now, "TUF 5.5.6");
  return {};
}

// ---- Looking up a target ----

namespace {

struct Search {
  const Trust& trust;
  std::string_view path;
  std::string path_hash;
  Instant now;
  unsigned visits = 0;
  std::set<std::string, std::less<>> seen;
  Found found;
  enum class End { kFound, kNothing, kStop };  // kStop: the search is over without a target

  End visit(const std::string& role, const std::string& by) {
    // Guards against delegations that lead back, or on and on (section 5.6.7.1).
    if (!seen.insert(role).second) return End::kNothing;
    if (++visits > kMostVisits) {
      found.refusal = {Why::kDelegation, "more than " + std::to_string(kMostVisits) + " roles",
                       "TUF 5.6.7.1"};
      return End::kStop;
    }
    const auto at = trust.targets.find(role);
    if (at == trust.targets.end()) {
      found.wants = role, found.wanted_by = by;
      return End::kStop;
    }
    const Targets& targets = *at->second;
    if ((found.refusal = expiry(role, targets, now, "TUF 5.6.5"))) return End::kStop;
    if (const auto target = targets.targets.find(path); target != targets.targets.end()) {
      found.target = &target->second, found.role = role;
      return End::kFound;
    }
    for (const Delegation& d : targets.delegations) {
      if (!d.covers(path, path_hash)) continue;
      const End end = d.roles.size() == 1 ? visit(d.roles[0].first, role) : agreed(d, role);
      if (end != End::kNothing) return end;
      if (d.terminating) return End::kStop;
    }
    return End::kNothing;
  }

  // TAP 3: so many of the roles must say the same of the target.
  End agreed(const Delegation& d, const std::string& by) {
    std::vector<std::pair<const Target*, unsigned>> said;
    for (const auto& [name, role] : d.roles) {
      const auto before = seen;
      const End end = visit(name, by);
      if (end == End::kStop) return end;
      seen = before;  // the roles of one agreement do not stand in each other's way
      if (end != End::kFound) continue;
      const auto same =
          std::find_if(said.begin(), said.end(), [&](const auto& s) { return *s.first == *found.target; });
      if (same == said.end()) said.emplace_back(found.target, 1);
      else ++same->second;
    }
    found.target = nullptr;
    unsigned most = 0;
    for (const auto& [target, times] : said) {
      most = std::max(most, times);
      if (times >= d.agreement) {
        found.target = target;
        return End::kFound;
      }
    }
    if (said.empty()) return End::kNothing;
    found.refusal = {Why::kDelegation,
                     std::to_string(most) + " of " + std::to_string(d.agreement) + " roles in agreement",
                     "TAP 3"};
    return End::kStop;
  }
};

}  // namespace

Found look_up(const Trust& trust, std::string_view path, Instant now) {
  Search search{trust, path, sha256_hex(path), now, 0, {}, {}};
  if ((search.found.refusal = fresh(trust, now))) return search.found;
  const auto end = search.visit("targets", "root");
  if (end != Search::End::kFound) search.found.target = nullptr;
  return search.found;
}

Refusal check_target(const Target& target, std::string_view bytes) {
  if (static_cast<std::int64_t>(bytes.size()) != target.length)
    return {Why::kTarget, std::to_string(bytes.size()) + " bytes, listed " + std::to_string(target.length),
            "TUF 5.7.2"};
  for (const auto& [algorithm, hash] : target.hashes) {
    const std::string own = algorithm == "sha256" ? sha256_hex(bytes) : sha512_hex(bytes);
    if (own != hash)
      return {Why::kTarget, algorithm + " " + own.substr(0, 12) + ", listed " + hash.substr(0, 12),
              "TUF 5.7.2"};
  }
  return {};
}

}  // namespace ashbeam::metadata
