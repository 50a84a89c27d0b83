#include "metadata/metadata_verifier.hpp"

#include <algorithm>
#include <charconv>
#include <stdexcept>

namespace ashbeam::metadata {

namespace {

std::uint64_t client_key(std::uint32_t repository, std::uint64_t client) {
  return (client ^ (client >> 32U)) * 0x9e3779b97f4a7c15ULL + repository;
}

// "12.snapshot.json" is snapshot in version 12, "snapshot.json" in none.
bool split_name(std::string_view file, std::string& role, std::int64_t& version) {
  if (!file.ends_with(".json") || file.find('/') != std::string_view::npos) return false;
  file.remove_suffix(5);
  version = 0;
  const std::size_t dot = file.find('.');
  if (dot != std::string_view::npos) {
    const auto [end, error] = std::from_chars(file.data(), file.data() + dot, version);
    if (error == std::errc() && end == file.data() + dot) file.remove_prefix(dot + 1);
  }
  role = file;
  return !role.empty();
}

}  // namespace

MetadataVerifier::MetadataVerifier(std::vector<RepositorySettings> repositories, std::size_t clients)
    : most_clients_(std::max<std::size_t>(1, clients)) {
  for (auto& terms : repositories) {
    Repository r;
    const Step step = pin(terms.root);
    if (step.refusal) throw std::runtime_error(terms.prefix + ": pinned root: " + step.refusal.line());
    r.trust = step.trust;
    r.roots[r.trust.root->version] = {r.trust.root->digest, 0};
    r.terms = std::move(terms);
    by_length_.push_back(static_cast<std::uint32_t>(all_.size()));
    all_.push_back(std::move(r));
  }
  std::stable_sort(by_length_.begin(), by_length_.end(), [this](std::uint32_t a, std::uint32_t b) {
    return all_[a].terms.prefix.size() > all_[b].terms.prefix.size();
  });
}

std::uint32_t MetadataVerifier::repository_of(std::string_view path, std::string_view& file) const {
  for (const std::uint32_t i : by_length_) {
    if (!path.starts_with(all_[i].terms.prefix)) continue;
    file = path.substr(all_[i].terms.prefix.size());
    return i;
  }
  return kNone;
}

Refusal MetadataVerifier::check(std::uint32_t repository, std::string_view file, std::string_view bytes,
                                std::uint64_t client, Instant now) {
  Repository& r = all_[repository];
  std::string role;
  std::int64_t version = 0;
  if (!split_name(file, role, version)) return {};
  const std::uint64_t key = client_key(repository, client);
  Refusal why;
  if (role == "root") why = root(r, version, bytes, key, now);
  else if (role == "timestamp") why = timestamp(r, bytes, key, now);
  else why = below(r, role, version, bytes, now);
  if (why) ++refused_[static_cast<std::size_t>(why.why)];
  return why;
}

Refusal MetadataVerifier::note(Step step, Trust& into) {
  verifications_ += step.verifications;
  if (!step.refusal) into = std::move(step.trust);
  return std::move(step.refusal);
}

Refusal MetadataVerifier::root(Repository& r, std::int64_t named, std::string_view bytes, std::uint64_t key,
                               Instant now) {
  const std::int64_t trusted = r.trust.root->version;
  const std::string digest = sha256_hex(bytes);
  const auto known = r.roots.find(named == 0 ? trusted : named);
  if (known != r.roots.end() && known->second.digest == digest) {
    served(r, key, {known->second.turn, 0});
    return {};
  }
  Trust next = r.trust;
  if (Refusal why = note(take_root(r.trust, bytes), next)) {
    // Roots between may have passed elsewhere: one that the trusted keys have signed may pass, and moves
    // nothing.
    if (why.why != Why::kRootVersion || named <= trusted) return why;
    File file;
    if (Refusal bad = read_file_of("root", bytes, file)) return bad;
    return file.version == named ? Refusal{} : why;
  }
  if (named != 0 && next.root->version != named)
    return {Why::kMismatch,
            "root " + std::to_string(next.root->version) + " under the name of " + std::to_string(named),
            "TUF 5.3.3"};
  const Root& old = *r.trust.root;
  const auto turned = [&](const char* role) {
    return !(old.roles.find(role)->second == next.root->roles.find(role)->second);
  };
  if (turned("timestamp") || turned("snapshot")) {
    ++r.turn;
    for (Passed& p : r.passed) p.until = std::min(p.until, now + r.terms.lag);
  }
  r.trust = std::move(next);
  // The newest timestamp goes on under the new root: what it leads to must not bring the old one back.
  if (!r.passed.empty() && r.passed.back().until == Instant::never()) r.passed.back().at = r.trust;
  r.roots[r.trust.root->version] = {digest, r.turn};
  if (r.roots.size() > kMostRoots) r.roots.erase(r.roots.begin());
  served(r, key, {r.turn, 0});
  return {};
}

Refusal MetadataVerifier::timestamp(Repository& r, std::string_view bytes, std::uint64_t key, Instant now) {
  std::erase_if(r.passed, [&](const Passed& p) { return p.until <= now; });
  const std::string digest = sha256_hex(bytes);
  const Floor floor = floor_of(r, key);
  const auto pass = [&](std::int64_t turn, std::int64_t version) -> Refusal {
    if (Floor{turn, version} < floor) {
      const std::string seen =
          turn < floor.turn ? "keys that a root has turned" : std::to_string(floor.version);
      return {Why::kRollback,
              "timestamp " + std::to_string(version) + " < " + seen + " that this client was served",
              "TUF 5.4.3.1"};
    }
    served(r, key, {turn, version});
    return {};
  };
  for (const Passed& p : r.passed) {
    if (p.timestamp->digest != digest) continue;
    if (now >= p.timestamp->expires)
      return {
          Why::kExpired,
          "timestamp " + std::to_string(p.timestamp->version) + " expired " + date_text(p.timestamp->expires),
          "TUF 5.4.4"};
    return pass(p.turn, p.timestamp->version);  // the very bytes that passed before: no signature is computed
  }
  Trust next = r.trust;
  if (Refusal why = note(take_timestamp(r.trust, bytes, now), next)) return why;
  if (Refusal why = pass(r.turn, next.timestamp->version)) return why;
  for (Passed& p : r.passed) p.until = std::min(p.until, now + r.terms.lag);
  if (r.passed.size() >= kMostVersions) r.passed.erase(r.passed.begin());
  r.trust = std::move(next);
  r.passed.push_back({r.trust.timestamp, Instant::never(), r.trust, r.turn});
  return {};
}

namespace {

// Guards against one version's file under another's name: each is good in its place alone (section 5.6.2).
Refusal named_so(const std::string& role, std::int64_t found, std::int64_t named) {
  if (named == 0 || found == named) return {};
  return {Why::kMismatch, role + " " + std::to_string(found) + " under the name of " + std::to_string(named),
          "TUF 5.6.2"};
}

}  // namespace

Refusal MetadataVerifier::below(Repository& r, const std::string& role, std::int64_t named,
                                std::string_view bytes, Instant now) {
  std::erase_if(r.passed, [&](const Passed& p) { return p.until <= now; });
  const auto step = [&](const Trust& trust) {
    if (role == "snapshot") return take_snapshot(trust, bytes, now);
    if (role == "targets") return take_targets(trust, bytes, now);
    Step none{trust,
              {Why::kOutOfOrder, role + ": nobody who delegates to it has passed here", "TUF 5.6.7"},
              false,
              0};
    for (const auto& [delegator, targets] : trust.targets) {
      for (const Delegation& d : targets->delegations) {
        for (const auto& [delegated, by] : d.roles) {
          if (delegated != role) continue;
          Step one = take_delegated(trust, delegator, role, bytes, now);
          one.verifications += none.verifications;
          if (!one.refusal) return one;
          none = std::move(one);
          none.trust = trust;
        }
      }
    }
    return none;
  };
  const bool top = role == "snapshot" || role == "targets";
  // Under the newest timestamp first, then under those that may still pass: a client between two versions.
  Refusal first{Why::kOutOfOrder, role + " before a timestamp", "TUF 5.5"};
  for (std::size_t i = r.passed.size(); i-- > 0;) {
    Passed& p = r.passed[i];
    const bool newest = p.until == Instant::never();
    Trust next = p.at;
    Refusal why = note(step(p.at), next);
    if (!why) {
      const std::int64_t found =
          role == "snapshot" ? next.snapshot->version : next.targets.find(role)->second->version;
      why = named_so(role, found, named);
    }
    if (!why) {
      p.at = next;
      if (newest) r.trust = std::move(next);
      return {};
    }
    if (i + 1 == r.passed.size()) first = std::move(why);
    if (first.why == Why::kOutOfOrder && top) break;
  }
  // Where what it hangs on has not passed here, it must at least be good by itself.
  if (top && first.why == Why::kOutOfOrder) return alone(r, role, named, bytes, now);
  return first;
}

Refusal MetadataVerifier::alone(const Repository& r, const std::string& role, std::int64_t named,
                                std::string_view bytes, Instant now) {
  File file;
  if (Refusal why = read_file_of(role, bytes, file)) return why;
  const Root& root = *r.trust.root;
  const unsigned got =
      signers(root.roles.find(role)->second, root.keys, file.signatures, file.signed_bytes, verifications_);
  const std::int64_t wanted = root.roles.find(role)->second.threshold;
  if (got < wanted)
    return {Why::kThreshold,
            role + ": " + std::to_string(got) + " of " + std::to_string(wanted) + " distinct keys",
            "TUF 5.5.3"};
  if (now >= file.expires)
    return {Why::kExpired, role + " " + std::to_string(file.version) + " expired " + date_text(file.expires),
            "TUF 5.5.6"};
  return named_so(role, file.version, named);
}

// ---- Clients ----

void MetadataVerifier::unlink(std::uint32_t at) {
  Client& c = clients_[at];
  (c.older == kNone ? oldest_ : clients_[c.older].newer) = c.newer;
  (c.newer == kNone ? newest_ : clients_[c.newer].older) = c.older;
}

void MetadataVerifier::link_newest(std::uint32_t at) {
  Client& c = clients_[at];
  c.older = newest_, c.newer = kNone;
  (newest_ == kNone ? oldest_ : clients_[newest_].newer) = at;
  newest_ = at;
}

MetadataVerifier::Floor MetadataVerifier::floor_of(const Repository& r, std::uint64_t key) const {
  const std::uint32_t at = by_client_.find(key);
  if (at == IndexMap::kNone) return r.forgotten_floor;
  return const_cast<Slab<Client>&>(clients_)[at].floor;
}

void MetadataVerifier::served(Repository& r, std::uint64_t key, Floor floor) {
  std::uint32_t at = by_client_.find(key);
  if (at == IndexMap::kNone) {
    if (by_client_.size() >= most_clients_) {
      const std::uint32_t out = oldest_;
      Repository& its = all_[clients_[out].repository];
      its.forgotten_floor = std::max(its.forgotten_floor, clients_[out].floor);
      unlink(out);
      by_client_.erase(clients_[out].key);
      clients_.give_back(out);
    }
    at = clients_.take();
    clients_[at].key = key;
    clients_[at].repository = static_cast<std::uint32_t>(&r - all_.data());
    clients_[at].floor = r.forgotten_floor;
    by_client_.put(key, at);
    link_newest(at);
  } else if (at != newest_) {
    unlink(at);
    link_newest(at);
  }
  clients_[at].floor = std::max(clients_[at].floor, floor);
}

}  // namespace ashbeam::metadata
