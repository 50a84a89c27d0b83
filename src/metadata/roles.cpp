#include "metadata/roles.hpp"

#include <algorithm>
#include <cstdio>

namespace ashbeam::metadata {

namespace {

using Kind = Node::Kind;

Refusal unreadable(const std::string& what, const char* section) { return {Why::kUnreadable, what, section}; }

Refusal read_hashes(const Node& object, Hashes& into) {
  for (const auto& [algorithm, hash] : object.members) {
    if (hash.kind != Kind::kString || hash.text.size() > 128)
      return unreadable("a hash is no text", "TUF 4.4");
    std::string hex = hash.text;
    std::transform(hex.begin(), hex.end(), hex.begin(), [](unsigned char c) { return std::tolower(c); });
    if (algorithm == "sha256" || algorithm == "sha512") into.emplace(algorithm, hex);
  }
  // Guards against hashes of kinds that nobody here can check standing for a check.
  if (into.empty()) return unreadable("no hash that we know", "TUF 4.4");
  return {};
}

Refusal read_meta(const Node& object, FileMeta& into) {
  const Node* const version = object.find("version", Kind::kNumber);
  const Node* const length = object.find("length");
  const Node* const hashes = object.find("hashes");
  if (!version || version->number < 1) return unreadable("meta: wanted a version of 1 or more", "TUF 4.4");
  into.version = version->number;
  if (length) {
    if (length->kind != Kind::kNumber || length->number < 1) return unreadable("meta: a length", "TUF 4.4");
    into.length = length->number;
  }
  if (!hashes) return {};
  if (hashes->kind != Kind::kObject) return unreadable("meta: hashes", "TUF 4.4");
  return read_hashes(*hashes, into.hashes);
}

Refusal read_names(const Node& list, std::vector<std::string>& into) {
  if (list.items.size() > kMostPatterns)
    return unreadable("more than 1024 paths in a delegation", "TUF 4.5.1");
  for (const Node& n : list.items) {
    if (n.kind != Kind::kString || n.text.size() > 512) return unreadable("a path is no text", "TUF 4.5.1");
    into.push_back(n.text);
  }
  return {};
}

// Names of roles become file names: nothing that leads elsewhere.
bool good_name(std::string_view name) {
  return !name.empty() && name.size() <= 128 && name.find('/') == std::string_view::npos && name[0] != '.' &&
         std::none_of(name.begin(), name.end(), [](unsigned char c) { return c < ' ' || c == 0x7f; });
}

Refusal read_delegation(const Node& object, Delegation& into) {
  const Node* const terminating = object.find("terminating", Kind::kBool);
  const Node* const paths = object.find("paths", Kind::kList);
  const Node* const prefixes = object.find("path_hash_prefixes", Kind::kList);
  if (!terminating || (paths == nullptr) == (prefixes == nullptr))
    return unreadable("delegation: wanted terminating, and paths or path_hash_prefixes", "TUF 4.5.1");
  into.terminating = terminating->truth;
  Refusal bad = read_names(paths ? *paths : *prefixes, paths ? into.paths : into.hash_prefixes);
  if (bad) return bad;
  const auto add = [&](const Node& one) -> Refusal {
    const Node* const name = one.find("name", Kind::kString);
    if (!name || !good_name(name->text)) return unreadable("delegation: a role's name", "TUF 4.5.1");
    Role role;
    if (Refusal r = read_role(one, role)) return r;
    for (const auto& other : into.roles) {
      if (other.first == name->text) return unreadable("delegation: a role twice", "TAP 3");
    }
    into.roles.emplace_back(name->text, std::move(role));
    return {};
  };
  const Node* const several = object.find("roles", Kind::kList);
  if (!several) return add(object);
  const Node* const agreement = object.find("min_roles_in_agreement", Kind::kNumber);
  if (!agreement || agreement->number < 1 || several->items.empty() || several->items.size() > 8 ||
      agreement->number > static_cast<std::int64_t>(several->items.size()))
    return unreadable("delegation: min_roles_in_agreement", "TAP 3");
  into.agreement = static_cast<unsigned>(agreement->number);
  for (const Node& one : several->items) {
    if (Refusal r = add(one)) return r;
  }
  return {};
}

Refusal read_target(const Node& object, Target& into) {
  const Node* const length = object.find("length", Kind::kNumber);
  const Node* const hashes = object.find("hashes", Kind::kObject);
  if (!length || length->number < 0 || !hashes)
    return unreadable("target: wanted length and hashes", "TUF 4.5");
  into.length = length->number;
  if (Refusal r = read_hashes(*hashes, into.hashes)) return r;
  const Node* const custom = object.find("custom", Kind::kObject);
  if (!custom) return {};
  if (const Node* const n = custom->find("hardware_id", Kind::kString)) into.hardware_id = n->text;
  if (const Node* const n = custom->find("ecu_id", Kind::kString)) into.ecu_id = n->text;
  if (const Node* const n = custom->find("release_counter", Kind::kNumber)) into.release_counter = n->number;
  return {};
}

void take_common(const File& file, Common& into) {
  into.version = file.version;
  into.expires = file.expires;
  into.digest = file.digest;
}

bool glob(std::string_view pattern, std::string_view text) {
  // Iterative, with one point to come back to: a hostile pattern costs no more than its length times the
  // text's.
  std::size_t p = 0, t = 0, star = std::string_view::npos, from = 0;
  while (t < text.size()) {
    if (p < pattern.size() && pattern[p] == '*') {
      star = p++;
      from = t;
    } else if (p < pattern.size() && (pattern[p] == '?' || pattern[p] == text[t])) {
      ++p, ++t;
    } else if (star != std::string_view::npos) {
      p = star + 1;
      t = ++from;
    } else {
      return false;
    }
  }
  while (p < pattern.size() && pattern[p] == '*') ++p;
  return p == pattern.size();
}

}  // namespace

bool matches(std::string_view pattern, std::string_view path) {
  for (;;) {  // part by part: neither * nor ? goes over a '/'
    const std::size_t a = std::min(pattern.find('/'), pattern.size()),
                      b = std::min(path.find('/'), path.size());
    if (!glob(pattern.substr(0, a), path.substr(0, b))) return false;
    if (a == pattern.size() || b == path.size()) return a == pattern.size() && b == path.size();
    pattern.remove_prefix(a + 1);
    path.remove_prefix(b + 1);
  }
}

bool Delegation::covers(std::string_view path, const std::string& path_hash) const {
  return std::any_of(paths.begin(), paths.end(), [&](const std::string& p) { return matches(p, path); }) ||
         std::any_of(hash_prefixes.begin(), hash_prefixes.end(),
                     [&](const std::string& p) { return path_hash.starts_with(p); });
}

namespace {

constexpr bool leap(int year) { return (year % 4 == 0 && year % 100 != 0) || year % 400 == 0; }
constexpr int days_in(int year, int month) {
  constexpr int kDays[] = {31, 28, 31, 30, 31, 30, 31, 31, 30, 31, 30, 31};
  return month == 2 && leap(year) ? 29 : kDays[month - 1];
}
// Days from 1 January 1970 to 1 January of a year from 1970 on.
constexpr std::int64_t days_before(int year) {
  const std::int64_t y = year - 1;
  return (y - 1969) * 365 + (y / 4 - y / 100 + y / 400) - (1969 / 4 - 1969 / 100 + 1969 / 400);
}

}  // namespace

std::optional<Instant> read_date(std::string_view text) {
  constexpr std::string_view kForm = "dddd-dd-ddTdd:dd:ddZ";
  if (text.size() != kForm.size()) return std::nullopt;
  for (std::size_t i = 0; i < kForm.size(); ++i) {
    const bool digit = text[i] >= '0' && text[i] <= '9';
    if (kForm[i] == 'd' ? !digit : text[i] != kForm[i]) return std::nullopt;
  }
  const auto part = [&](std::size_t at, std::size_t n) {
    int v = 0;
    for (std::size_t i = at; i < at + n; ++i) v = v * 10 + (text[i] - '0');
    return v;
  };
  const int year = part(0, 4), month = part(5, 2), day = part(8, 2), hour = part(11, 2), minute = part(14, 2),
            second = part(17, 2);
  if (year < 1970 || month < 1 || month > 12 || day < 1 || day > days_in(year, month) || hour > 23 ||
      minute > 59 || second > 59)
    return std::nullopt;
  std::int64_t days = days_before(year) + day - 1;
  for (int m = 1; m < month; ++m) days += days_in(year, m);
  return Instant::at_us((((days * 24 + hour) * 60 + minute) * 60 + second) * 1'000'000);
}

std::string date_text(Instant when) {
  const std::int64_t s = when.us() / 1'000'000, days = s / 86400;
  int year = static_cast<int>(1970 + days / 366);
  while (days_before(year + 1) <= days) ++year;
  int month = 1, day = static_cast<int>(days - days_before(year));
  while (day >= days_in(year, month)) day -= days_in(year, month++);
  char text[64];
  std::snprintf(text, sizeof text, "%04d-%02d-%02dT%02d:%02d:%02dZ", year, month, day + 1,
                static_cast<int>(s / 3600 % 24), static_cast<int>(s / 60 % 60), static_cast<int>(s % 60));
  return text;
}

std::size_t most_bytes(std::string_view type) {
  if (type == "timestamp") return 16 * 1024;
  if (type == "snapshot") return 2 * 1024 * 1024;
  return type == "root" ? 512 * 1024 : 5 * 1024 * 1024;
}

Refusal read_file_of(std::string_view type, std::string_view bytes, File& into) {
  if (bytes.size() > most_bytes(type))
    return {Why::kTooLong,
            std::string(type) + " " + std::to_string(bytes.size()) + " > " + std::to_string(most_bytes(type)),
            "TUF 5.1"};
  Bounds bounds;
  bounds.bytes = most_bytes(type);
  std::string problem;
  auto all = read(bytes, bounds, problem);
  if (!all) return unreadable(problem, "TUF 4.1");
  Node* const body = const_cast<Node*>(all->find("signed", Kind::kObject));
  const Node* const signatures = all->find("signatures", Kind::kList);
  if (!body || !signatures) return unreadable("wanted signed and signatures", "TUF 4.2");
  const Node* const kind = body->find("_type", Kind::kString);
  const Node* const spec = body->find("spec_version", Kind::kString);
  const Node* const version = body->find("version", Kind::kNumber);
  const Node* const expires = body->find("expires", Kind::kString);
  if (!kind || kind->text != type)
    return {Why::kWrongRole,
            "wanted " + std::string(type) + ", found " + (kind ? kind->text.substr(0, 40) : "none"),
            "TUF 4.2"};
  if (!spec || !(spec->text == "1.0" || spec->text.starts_with("1.0.")))
    return unreadable("spec_version", "TUF 4.2");
  if (!version || version->number < 1) return unreadable("wanted a version of 1 or more", "TUF 4.2");
  const auto date = expires ? read_date(expires->text) : std::nullopt;
  if (!date) return unreadable("expires: wanted YYYY-MM-DDTHH:MM:SSZ", "TUF 4.2.1");
  if (Refusal r = read_signatures(*signatures, into.signatures)) return r;
  into.signed_bytes = body->canonical();
  into.digest = sha256_hex(bytes);
  into.version = version->number;
  into.expires = *date;
  into.body = std::move(*body);
  return {};
}

Refusal read_root(const File& file, Root& into) {
  take_common(file, into);
  const Node* const keys = file.body.find("keys", Kind::kObject);
  const Node* const roles = file.body.find("roles", Kind::kObject);
  const Node* const consistent = file.body.find("consistent_snapshot", Kind::kBool);
  if (!keys || !roles) return unreadable("root: wanted keys and roles", "TUF 4.3");
  into.consistent_snapshot = consistent && consistent->truth;
  if (Refusal r = read_keys(*keys, into.keys)) return r;
  for (const char* const name : {"root", "timestamp", "snapshot", "targets"}) {
    const Node* const role = roles->find(name, Kind::kObject);
    if (!role) return unreadable(std::string("root: no role ") + name, "TUF 4.3");
    if (Refusal r = read_role(*role, into.roles[name])) return r;
  }
  return {};
}

Refusal read_timestamp(const File& file, Timestamp& into) {
  take_common(file, into);
  const Node* const meta = file.body.find("meta", Kind::kObject);
  const Node* const one = meta ? meta->find("snapshot.json", Kind::kObject) : nullptr;
  if (!one || meta->members.size() != 1)
    return unreadable("timestamp: wanted snapshot.json alone", "TUF 4.6");
  return read_meta(*one, into.snapshot);
}

Refusal read_snapshot(const File& file, Snapshot& into) {
  take_common(file, into);
  const Node* const meta = file.body.find("meta", Kind::kObject);
  if (!meta || meta->members.size() > kMostListed) return unreadable("snapshot: meta", "TUF 4.4");
  for (const auto& [name, one] : meta->members) {
    if (one.kind != Kind::kObject || !name.ends_with(".json"))
      return unreadable("snapshot: an entry", "TUF 4.4");
    if (Refusal r = read_meta(one, into.meta[name])) return r;
  }
  if (!into.meta.contains("targets.json")) return unreadable("snapshot: no targets.json", "TUF 4.4");
  return {};
}

Refusal read_targets(const File& file, Targets& into) {
  take_common(file, into);
  const Node* const targets = file.body.find("targets", Kind::kObject);
  if (!targets || targets->members.size() > kMostListed) return unreadable("targets: targets", "TUF 4.5");
  for (const auto& [path, one] : targets->members) {
    if (one.kind != Kind::kObject) return unreadable("targets: an entry", "TUF 4.5");
    if (Refusal r = read_target(one, into.targets[path])) return r;
  }
  const Node* const delegations = file.body.find("delegations");
  if (!delegations) return {};
  const Node* const keys = delegations->find("keys", Kind::kObject);
  const Node* const roles = delegations->find("roles", Kind::kList);
  if (!keys || !roles || roles->items.size() > kMostDelegations)
    return unreadable("delegations: wanted keys and at most 256 roles", "TUF 4.5.1");
  if (Refusal r = read_keys(*keys, into.keys)) return r;
  for (const Node& one : roles->items) {
    if (Refusal r = read_delegation(one, into.delegations.emplace_back())) return r;
  }
  return {};
}

}  // namespace ashbeam::metadata
