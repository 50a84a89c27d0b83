#include "metadata/publisher.hpp"

#include <algorithm>
#include <set>
#include <stdexcept>

#include "metadata/date.hpp"
#include "metadata/keys.hpp"

namespace ashbeam::metadata {

namespace {

constexpr const char* kSpecVersion = "1.0.31";
constexpr const char* kTopLevelRoles[] = {"root", "timestamp", "snapshot", "targets"};

JsonNode json_string_array(const std::vector<std::string>& strings) {
  std::vector<JsonNode> items;
  items.reserve(strings.size());
  for (const auto& string : strings) items.push_back(json_string(string));
  return json_array(std::move(items));
}

std::vector<JsonMember> role_members(const Publisher::RoleKeys& role) {
  std::vector<std::string> keyids;
  for (const auto& key : role.keys) keyids.push_back(key.id());
  return {{"keyids", json_string_array(keyids)}, {"threshold", json_number(role.threshold)}};
}

// Adds the role's keys by key id, except those that are in `keys` already.
void add_keys(const Publisher::RoleKeys& role, std::vector<JsonMember>& keys) {
  for (const auto& key : role.keys) {
    const bool known = std::any_of(keys.begin(), keys.end(),
                                   [&](const JsonMember& other) { return other.name == key.id(); });
    if (!known) keys.push_back({key.id(), key.public_key_object()});
  }
}

JsonMember hashes_member(const std::string& bytes) {
  return {"hashes", json_object({{"sha256", json_string(sha256_hex(bytes))}})};
}

JsonMember length_member(const std::string& bytes) {
  return {"length", json_number(static_cast<std::int64_t>(bytes.size()))};
}

}  // namespace

Publisher::Publisher(Instant expiry) : default_expiry(expiry) {
  for (const char* const role : kTopLevelRoles) {
    roles[role].keys.push_back(SigningKey::generate(SigningKey::Kind::kEd25519));
    versions[role] = 1;
  }
}

const Publisher::RoleKeys& Publisher::keys_of(const std::string& role) const {
  const auto top_level = roles.find(role);
  if (top_level != roles.end()) return top_level->second;
  for (const DelegationSettings& delegated : delegations) {
    if (delegated.role == role) return delegated.keys;
  }
  throw std::runtime_error("role " + role + " has no keys: it is neither a top-level nor a delegated role");
}

std::int64_t Publisher::version_of(const std::string& role) const {
  const auto version = versions.find(role);
  return version == versions.end() ? 1 : version->second;
}

std::string Publisher::file_name(const std::string& role) const {
  const std::string prefix = consistent_snapshot ? std::to_string(version_of(role)) + "." : "";
  return prefix + role + ".json";
}

// ---- Signed parts ----

JsonNode Publisher::file_meta(const std::string& role) const {
  JsonMember version{"version", json_number(version_of(role))};
  if (!list_hashes) return json_object({std::move(version)});
  const std::string& bytes = cached_signed_file(role);
  return json_object({std::move(version), length_member(bytes), hashes_member(bytes)});
}

void Publisher::add_root_members(std::vector<JsonMember>& members) const {
  std::vector<JsonMember> keys;
  std::vector<JsonMember> named_roles;
  for (const auto& [name, role] : roles) {
    named_roles.push_back({name, json_object(role_members(role))});
    add_keys(role, keys);
  }
  members.push_back({"keys", json_object(std::move(keys))});
  members.push_back({"roles", json_object(std::move(named_roles))});
  members.push_back({"consistent_snapshot", json_bool(consistent_snapshot)});
}

void Publisher::add_snapshot_members(std::vector<JsonMember>& members) const {
  std::vector<JsonMember> meta{{"targets.json", file_meta("targets")}};
  std::set<std::string> listed;
  for (const DelegationSettings& delegated : delegations) {
    if (!listed.insert(delegated.role).second) continue;
    meta.push_back({delegated.role + ".json", file_meta(delegated.role)});
  }
  members.push_back({"meta", json_object(std::move(meta))});
}

JsonNode Publisher::delegated_role_json(const std::string& role) const {
  std::vector<JsonMember> members = role_members(keys_of(role));
  members.push_back({"name", json_string(role)});
  return json_object(std::move(members));
}

JsonNode Publisher::delegation_json(const DelegationSettings& delegated) const {
  std::vector<JsonMember> members;
  if (delegated.agreeing_roles.empty()) {
    members = delegated_role_json(delegated.role).members;
  } else {
    std::vector<JsonNode> several{delegated_role_json(delegated.role)};
    for (const auto& role : delegated.agreeing_roles) several.push_back(delegated_role_json(role));
    members.push_back({"roles", json_array(std::move(several))});
    members.push_back({"min_roles_in_agreement", json_number(delegated.min_roles_in_agreement)});
  }
  members.push_back({"terminating", json_bool(delegated.terminating)});
  if (delegated.hash_prefixes.empty()) members.push_back({"paths", json_string_array(delegated.paths)});
  else members.push_back({"path_hash_prefixes", json_string_array(delegated.hash_prefixes)});
  return json_object(std::move(members));
}

void Publisher::add_targets_members(const std::string& role, std::vector<JsonMember>& members) const {
  std::vector<JsonMember> targets;
  if (const auto own = target_contents.find(role); own != target_contents.end()) {
    for (const auto& [path, content] : own->second)
      targets.push_back({path, json_object({length_member(content), hashes_member(content)})});
  }
  members.push_back({"targets", json_object(std::move(targets))});

  std::vector<JsonMember> keys;
  std::vector<JsonNode> delegated_roles;
  for (const DelegationSettings& delegated : delegations) {
    if (delegated.delegator != role) continue;
    add_keys(keys_of(delegated.role), keys);
    for (const auto& agreeing : delegated.agreeing_roles) add_keys(keys_of(agreeing), keys);
    delegated_roles.push_back(delegation_json(delegated));
  }
  if (delegated_roles.empty()) return;
  members.push_back({"delegations", json_object({{"keys", json_object(std::move(keys))},
                                                 {"roles", json_array(std::move(delegated_roles))}})});
}

JsonNode Publisher::signed_part(const std::string& role) const {
  const bool delegated = !roles.contains(role);
  const auto expiry = expires.find(role);
  std::vector<JsonMember> members{
      {"_type", json_string(delegated ? "targets" : role)},
      {"spec_version", json_string(kSpecVersion)},
      {"version", json_number(version_of(role))},
      {"expires", json_string(format_date(expiry == expires.end() ? default_expiry : expiry->second))}};
  if (role == "root") add_root_members(members);
  else if (role == "timestamp")
    members.push_back({"meta", json_object({{"snapshot.json", file_meta("snapshot")}})});
  else if (role == "snapshot") add_snapshot_members(members);
  else add_targets_members(role, members);
  return json_object(std::move(members));
}

// ---- Files ----

std::string Publisher::sign_envelope(const JsonNode& signed_part, const std::vector<SigningKey>& keys) {
  const std::string bytes = signed_part.to_canonical_json();
  std::vector<JsonNode> signatures;
  signatures.reserve(keys.size());
  for (const auto& key : keys)
    signatures.push_back(
        json_object({{"keyid", json_string(key.id())}, {"sig", json_string(key.sign(bytes))}}));
  return json_object({{"signed", signed_part}, {"signatures", json_array(std::move(signatures))}}).to_json();
}

const std::string& Publisher::cached_signed_file(const std::string& role) const {
  const JsonNode part = signed_part(role);
  const std::vector<SigningKey>& keys = keys_of(role).keys;
  std::string cache_key = role + part.to_canonical_json();
  for (const auto& key : keys) cache_key += key.id();
  std::string& file = signed_files_[sha256_hex(cache_key)];
  if (file.empty()) file = sign_envelope(part, keys);
  return file;
}

std::string Publisher::root_file(const RoleKeys* previous_root_keys) const {
  std::vector<SigningKey> keys = roles.at("root").keys;
  if (previous_root_keys) {
    for (const auto& key : previous_root_keys->keys) {
      const bool known =
          std::any_of(keys.begin(), keys.end(), [&](const SigningKey& own) { return own.id() == key.id(); });
      if (!known) keys.push_back(key);
    }
  }
  return sign_envelope(signed_part("root"), keys);
}

std::string Publisher::targets_file(const std::string& role) const { return cached_signed_file(role); }
std::string Publisher::snapshot_file() const { return cached_signed_file("snapshot"); }
std::string Publisher::timestamp_file() const { return cached_signed_file("timestamp"); }

std::map<std::string, std::string> Publisher::files() const {
  std::map<std::string, std::string> files;
  files[std::to_string(version_of("root")) + ".root.json"] = root_file();
  files["timestamp.json"] = timestamp_file();
  files[file_name("snapshot")] = snapshot_file();
  files[file_name("targets")] = targets_file();
  for (const DelegationSettings& delegated : delegations)
    files[file_name(delegated.role)] = targets_file(delegated.role);
  return files;
}

}  // namespace ashbeam::metadata
