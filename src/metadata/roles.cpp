#include "metadata/roles.hpp"

#include <algorithm>
#include <cctype>

#include "metadata/path_pattern.hpp"

namespace ashbeam::metadata {

namespace {

using Kind = JsonNode::Kind;

constexpr std::size_t kMaxHashTextBytes = 128;
constexpr std::size_t kMaxPathBytes = 512;
constexpr std::size_t kMaxRoleNameBytes = 128;
constexpr std::size_t kMaxTypeBytesInRefusal = 40;

Refusal read_hashes(const JsonNode& object, Hashes& hashes) {
  for (const auto& [algorithm, hash] : object.members) {
    if (hash.kind != Kind::kString || hash.text.size() > kMaxHashTextBytes)
      return Refusal::unreadable("a hash is no text", "TUF 4.4");
    std::string hex = hash.text;
    std::transform(hex.begin(), hex.end(), hex.begin(), [](unsigned char c) { return std::tolower(c); });
    if (algorithm == "sha256" || algorithm == "sha512") hashes.emplace(algorithm, hex);
  }
  // Without a hash that can be computed here, the content of the file would not be checked.
  if (hashes.empty()) return Refusal::unreadable("no hash that we know", "TUF 4.4");
  return {};
}

Refusal read_file_meta(const JsonNode& object, FileMeta& meta) {
  const JsonNode* const version = object.find("version", Kind::kNumber);
  const JsonNode* const length = object.find("length");
  const JsonNode* const hashes = object.find("hashes");
  if (!version || version->number < 1)
    return Refusal::unreadable("meta: wanted a version of 1 or more", "TUF 4.4");
  meta.version = version->number;
  if (length) {
    if (length->kind != Kind::kNumber || length->number < 1)
      return Refusal::unreadable("meta: a length", "TUF 4.4");
    meta.length = length->number;
  }
  if (!hashes) return {};
  if (hashes->kind != Kind::kObject) return Refusal::unreadable("meta: hashes", "TUF 4.4");
  return read_hashes(*hashes, meta.hashes);
}

Refusal read_path_strings(const JsonNode& list, std::vector<std::string>& paths) {
  if (list.items.size() > kMaxPathPatterns)
    return Refusal::unreadable("more than 1024 paths in a delegation", "TUF 4.5.1");
  for (const JsonNode& path : list.items) {
    if (path.kind != Kind::kString || path.text.size() > kMaxPathBytes)
      return Refusal::unreadable("a path is no text", "TUF 4.5.1");
    paths.push_back(path.text);
  }
  return {};
}

// Whether a role name is safe as part of a file name. It must not lead to another folder.
bool is_valid_role_name(std::string_view name) {
  const auto is_control = [](unsigned char c) { return c < ' ' || c == 0x7f; };
  return !name.empty() && name.size() <= kMaxRoleNameBytes && name.find('/') == std::string_view::npos &&
         name[0] != '.' && std::none_of(name.begin(), name.end(), is_control);
}

Refusal add_delegated_role(const JsonNode& object, Delegation& delegation) {
  const JsonNode* const name = object.find("name", Kind::kString);
  if (!name || !is_valid_role_name(name->text))
    return Refusal::unreadable("delegation: a role's name", "TUF 4.5.1");
  Role role;
  if (Refusal refusal = read_role(object, role)) return refusal;
  for (const DelegatedRole& other : delegation.roles) {
    if (other.name == name->text) return Refusal::unreadable("delegation: a role twice", "TAP 3");
  }
  delegation.roles.push_back({name->text, std::move(role)});
  return {};
}

Refusal read_delegated_roles(const JsonNode& object, Delegation& delegation) {
  const JsonNode* const roles = object.find("roles", Kind::kArray);
  if (!roles) return add_delegated_role(object, delegation);
  const JsonNode* const agreement = object.find("min_roles_in_agreement", Kind::kNumber);
  const std::size_t count = roles->items.size();
  if (!agreement || agreement->number < 1 || count == 0 || count > kMaxRolesInAgreement ||
      agreement->number > static_cast<std::int64_t>(count))
    return Refusal::unreadable("delegation: min_roles_in_agreement", "TAP 3");
  delegation.min_roles_in_agreement = static_cast<unsigned>(agreement->number);
  for (const JsonNode& role : roles->items) {
    if (Refusal refusal = add_delegated_role(role, delegation)) return refusal;
  }
  return {};
}

Refusal read_delegation(const JsonNode& object, Delegation& delegation) {
  const JsonNode* const terminating = object.find("terminating", Kind::kBool);
  const JsonNode* const paths = object.find("paths", Kind::kArray);
  const JsonNode* const prefixes = object.find("path_hash_prefixes", Kind::kArray);
  const bool has_exactly_one = (paths == nullptr) != (prefixes == nullptr);
  if (!terminating || !has_exactly_one)
    return Refusal::unreadable("delegation: wanted terminating, and paths or path_hash_prefixes",
                               "TUF 4.5.1");
  delegation.terminating = terminating->boolean;
  Refusal refusal = paths ? read_path_strings(*paths, delegation.paths)
                          : read_path_strings(*prefixes, delegation.hash_prefixes);
  if (refusal) return refusal;
  return read_delegated_roles(object, delegation);
}

Refusal read_target(const JsonNode& object, Target& target) {
  const JsonNode* const length = object.find("length", Kind::kNumber);
  const JsonNode* const hashes = object.find("hashes", Kind::kObject);
  if (!length || length->number < 0 || !hashes)
    return Refusal::unreadable("target: wanted length and hashes", "TUF 4.5");
  target.length = length->number;
  if (Refusal refusal = read_hashes(*hashes, target.hashes)) return refusal;
  const JsonNode* const custom = object.find("custom", Kind::kObject);
  if (!custom) return {};
  if (const JsonNode* const id = custom->find("hardware_id", Kind::kString)) target.hardware_id = id->text;
  if (const JsonNode* const id = custom->find("ecu_id", Kind::kString)) target.ecu_id = id->text;
  if (const JsonNode* const counter = custom->find("release_counter", Kind::kNumber))
    target.release_counter = counter->number;
  return {};
}

Refusal read_delegations(const JsonNode& object, Targets& targets) {
  const JsonNode* const keys = object.find("keys", Kind::kObject);
  const JsonNode* const roles = object.find("roles", Kind::kArray);
  if (!keys || !roles || roles->items.size() > kMaxDelegations)
    return Refusal::unreadable("delegations: wanted keys and at most 256 roles", "TUF 4.5.1");
  if (Refusal refusal = read_keys(*keys, targets.keys)) return refusal;
  for (const JsonNode& delegation : roles->items) {
    if (Refusal refusal = read_delegation(delegation, targets.delegations.emplace_back())) return refusal;
  }
  return {};
}

void copy_header(const MetadataFile& file, MetadataHeader& header) {
  header.version = file.version;
  header.expires = file.expires;
  header.digest = file.digest;
}

// Reads the members that the signed part of every role has (section 4.2): type, version of the specification,
// version and expiry date.
Refusal read_header(std::string_view type, const JsonNode& signed_part, MetadataFile& file) {
  const JsonNode* const found_type = signed_part.find("_type", Kind::kString);
  const JsonNode* const spec_version = signed_part.find("spec_version", Kind::kString);
  const JsonNode* const version = signed_part.find("version", Kind::kNumber);
  const JsonNode* const expires = signed_part.find("expires", Kind::kString);
  if (!found_type || found_type->text != type) {
    std::string detail = "wanted " + std::string(type) + ", found ";
    detail += found_type ? found_type->text.substr(0, kMaxTypeBytesInRefusal) : "none";
    return {RefusalReason::kWrongRole, std::move(detail), "TUF 4.2"};
  }
  if (!spec_version || !(spec_version->text == "1.0" || spec_version->text.starts_with("1.0.")))
    return Refusal::unreadable("spec_version", "TUF 4.2");
  if (!version || version->number < 1) return Refusal::unreadable("wanted a version of 1 or more", "TUF 4.2");
  const auto date = expires ? parse_date(expires->text) : std::nullopt;
  if (!date) return Refusal::unreadable("expires: wanted YYYY-MM-DDTHH:MM:SSZ", "TUF 4.2.1");
  file.version = version->number;
  file.expires = *date;
  return {};
}

}  // namespace

bool Delegation::covers(std::string_view path, const std::string& path_hash) const {
  const auto matches_path = [&](const std::string& pattern) { return path_matches(pattern, path); };
  const auto is_hash_prefix = [&](const std::string& prefix) { return path_hash.starts_with(prefix); };
  return std::any_of(paths.begin(), paths.end(), matches_path) ||
         std::any_of(hash_prefixes.begin(), hash_prefixes.end(), is_hash_prefix);
}

std::size_t max_file_bytes(std::string_view type) {
  constexpr std::size_t kKibibyte = 1024;
  constexpr std::size_t kMebibyte = 1024 * kKibibyte;
  if (type == "timestamp") return 16 * kKibibyte;
  if (type == "snapshot") return 2 * kMebibyte;
  if (type == "root") return 512 * kKibibyte;
  return 5 * kMebibyte;
}

Refusal read_metadata_file(std::string_view type, std::string_view bytes, MetadataFile& file) {
  JsonLimits limits;
  limits.max_bytes = max_file_bytes(type);
  if (bytes.size() > limits.max_bytes) {
    std::string detail(type);
    detail += " " + std::to_string(bytes.size()) + " > " + std::to_string(limits.max_bytes);
    return {RefusalReason::kTooLong, std::move(detail), "TUF 5.1"};
  }
  std::string problem;
  auto node = parse_json(bytes, limits, problem);
  if (!node) return Refusal::unreadable(problem, "TUF 4.1");
  JsonNode* const signed_part = node->find("signed", Kind::kObject);
  const JsonNode* const signatures = node->find("signatures", Kind::kArray);
  if (!signed_part || !signatures) return Refusal::unreadable("wanted signed and signatures", "TUF 4.2");
  if (Refusal refusal = read_header(type, *signed_part, file)) return refusal;
  if (Refusal refusal = read_signatures(*signatures, file.signatures)) return refusal;
  file.signed_bytes = signed_part->to_canonical_json();
  file.digest = sha256_hex(bytes);
  file.signed_part = std::move(*signed_part);
  return {};
}

Refusal read_root(const MetadataFile& file, Root& root) {
  copy_header(file, root);
  const JsonNode* const keys = file.signed_part.find("keys", Kind::kObject);
  const JsonNode* const roles = file.signed_part.find("roles", Kind::kObject);
  const JsonNode* const consistent = file.signed_part.find("consistent_snapshot", Kind::kBool);
  if (!keys || !roles) return Refusal::unreadable("root: wanted keys and roles", "TUF 4.3");
  root.consistent_snapshot = consistent && consistent->boolean;
  if (Refusal refusal = read_keys(*keys, root.keys)) return refusal;
  for (const char* const name : {"root", "timestamp", "snapshot", "targets"}) {
    const JsonNode* const role = roles->find(name, Kind::kObject);
    if (!role) return Refusal::unreadable(std::string("root: no role ") + name, "TUF 4.3");
    if (Refusal refusal = read_role(*role, root.roles[name])) return refusal;
  }
  return {};
}

Refusal read_timestamp(const MetadataFile& file, Timestamp& timestamp) {
  copy_header(file, timestamp);
  const JsonNode* const meta = file.signed_part.find("meta", Kind::kObject);
  const JsonNode* const snapshot = meta ? meta->find("snapshot.json", Kind::kObject) : nullptr;
  if (!snapshot || meta->members.size() != 1)
    return Refusal::unreadable("timestamp: wanted snapshot.json alone", "TUF 4.6");
  return read_file_meta(*snapshot, timestamp.snapshot);
}

Refusal read_snapshot(const MetadataFile& file, Snapshot& snapshot) {
  copy_header(file, snapshot);
  const JsonNode* const meta = file.signed_part.find("meta", Kind::kObject);
  if (!meta || meta->members.size() > kMaxListedFiles)
    return Refusal::unreadable("snapshot: meta", "TUF 4.4");
  for (const auto& [name, entry] : meta->members) {
    if (entry.kind != Kind::kObject || !name.ends_with(".json"))
      return Refusal::unreadable("snapshot: an entry", "TUF 4.4");
    if (Refusal refusal = read_file_meta(entry, snapshot.meta[name])) return refusal;
  }
  if (!snapshot.meta.contains("targets.json"))
    return Refusal::unreadable("snapshot: no targets.json", "TUF 4.4");
  return {};
}

Refusal read_targets(const MetadataFile& file, Targets& targets) {
  copy_header(file, targets);
  const JsonNode* const listed = file.signed_part.find("targets", Kind::kObject);
  if (!listed || listed->members.size() > kMaxListedFiles)
    return Refusal::unreadable("targets: targets", "TUF 4.5");
  for (const auto& [path, entry] : listed->members) {
    if (entry.kind != Kind::kObject) return Refusal::unreadable("targets: an entry", "TUF 4.5");
    if (Refusal refusal = read_target(entry, targets.targets[path])) return refusal;
  }
  const JsonNode* const delegations = file.signed_part.find("delegations");
  return delegations ? read_delegations(*delegations, targets) : Refusal{};
}

}  // namespace ashbeam::metadata
