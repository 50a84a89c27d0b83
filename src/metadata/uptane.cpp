#include "metadata/uptane.hpp"

#include <algorithm>
#include <set>

namespace ashbeam::metadata {

namespace {

using Kind = Node::Kind;

constexpr std::size_t kLongestManifest = 256 * 1024, kLongestTime = 16 * 1024, kMostEcus = 256;

Refusal for_ecu(std::string_view path, const Target& t, const Ecu& ecu, const char* section) {
  if (t.ecu_id != ecu.id)
    return {Why::kEcu, std::string(path) + " is for ECU " + t.ecu_id + ", not " + ecu.id, section};
  if (t.hardware_id != ecu.hardware_id)
    return {Why::kEcu, std::string(path) + " is for hardware " + t.hardware_id + ", not " + ecu.hardware_id,
            section};
  if (t.release_counter < ecu.release_counter)
    return {Why::kRollback,
            std::string(path) + " release " + std::to_string(t.release_counter) + " < " +
                std::to_string(ecu.release_counter) + " installed",
            section};
  return {};
}

Refusal agree(std::string_view path, const Target& director, const Target& image) {
  const auto say = [&](const std::string& what) {
    return Refusal{Why::kDisagreement, std::string(path) + ": " + what, "Uptane 5.4.4.2"};
  };
  if (director.length != image.length)
    return say("length " + std::to_string(director.length) + ", image repository " +
               std::to_string(image.length));
  bool common = false;
  for (const auto& [algorithm, hash] : director.hashes) {
    const auto other = image.hashes.find(algorithm);
    if (other == image.hashes.end()) continue;
    common = true;
    if (other->second != hash)
      return say(algorithm + " " + hash.substr(0, 12) + ", image repository " + other->second.substr(0, 12));
  }
  // Guards against two files told apart by nothing: each could be another one.
  if (!common) return say("no hash of the same kind");
  if (director.hardware_id != image.hardware_id)
    return say("hardware " + director.hardware_id + ", image repository " + image.hardware_id);
  if (director.release_counter != image.release_counter)
    return say("release " + std::to_string(director.release_counter) + ", image repository " +
               std::to_string(image.release_counter));
  return {};
}

// A signed envelope that is no TUF role.
Refusal open(const Node& all, const Role& by, const Keys& keys, const char* what, Why why,
             const char* section, const Node*& body) {
  body = all.find("signed", Kind::kObject);
  const Node* const list = all.find("signatures", Kind::kList);
  if (!body || !list) return {why, std::string(what) + ": wanted signed and signatures", section};
  std::vector<Signature> signatures;
  if (Refusal r = read_signatures(*list, signatures)) return r;
  std::uint64_t verifications = 0;
  const unsigned got = signers(by, keys, signatures, body->canonical(), verifications);
  if (got >= by.threshold) return {};
  return {Why::kThreshold,
          std::string(what) + ": " + std::to_string(got) + " of " + std::to_string(by.threshold) +
              " distinct keys",
          section};
}

}  // namespace

Refusal check_director(const Targets& director, const std::vector<Ecu>& vehicle) {
  constexpr const char* kSection = "Uptane 5.4.4.6";
  if (!director.delegations.empty()) return {Why::kDelegation, "a director delegates", kSection};
  std::set<std::string> named;
  for (const auto& [path, target] : director.targets) {
    const auto ecu = std::find_if(vehicle.begin(), vehicle.end(),
                                  [&, &t = target](const Ecu& e) { return e.id == t.ecu_id; });
    if (ecu == vehicle.end())
      return {Why::kEcu, path + " is for ECU " + target.ecu_id + ", which is not of this vehicle", kSection};
    if (!named.insert(target.ecu_id).second)
      return {Why::kEcu, "two targets for ECU " + target.ecu_id, kSection};
    if (Refusal r = for_ecu(path, target, *ecu, kSection)) return r;
  }
  return {};
}

Install may_install(const Trust& director, const Trust& image, std::string_view path, const Ecu& ecu,
                    Instant now) {
  Install all;
  const Found told = look_up(director, path, now);
  if (told.refusal || !told.target || told.role != "targets") {
    all.refusal = told.refusal
                      ? told.refusal
                      : Refusal{Why::kUnlisted, std::string(path) + ": the director does not list it",
                                "Uptane 5.4.4.2"};
    return all;
  }
  if ((all.refusal = for_ecu(path, *told.target, ecu, "Uptane 5.4.4.6"))) return all;
  const Found listed = look_up(image, path, now);
  if (!listed.wants.empty()) {
    all.wants = listed.wants, all.wanted_by = listed.wanted_by;
    return all;
  }
  if ((all.refusal = listed.refusal)) return all;
  if (!listed.target) {
    all.refusal = {Why::kUnlisted, std::string(path) + ": the image repository does not list it",
                   "Uptane 5.4.4.2"};
    return all;
  }
  if ((all.refusal = agree(path, *told.target, *listed.target))) return all;
  all.target = told.target;
  return all;
}

Refusal take_partial(const Root& root, std::string_view bytes, std::int64_t held, const Ecu& ecu, Instant now,
                     Targets& into) {
  constexpr const char* kSection = "Uptane 5.4.4.1";
  File file;
  if (Refusal r = read_file_of("targets", bytes, file)) return r;
  const Role& role = root.roles.find("targets")->second;
  std::uint64_t verifications = 0;
  const unsigned got = signers(role, root.keys, file.signatures, file.signed_bytes, verifications);
  if (got < role.threshold)
    return {Why::kThreshold,
            "targets: " + std::to_string(got) + " of " + std::to_string(role.threshold) + " distinct keys",
            kSection};
  Targets targets;
  if (Refusal r = read_targets(file, targets)) return r;
  if (targets.version < held)
    return {Why::kRollback, "targets " + std::to_string(targets.version) + " < " + std::to_string(held),
            kSection};
  if (now >= targets.expires)
    return {Why::kExpired,
            "targets " + std::to_string(targets.version) + " expired " + date_text(targets.expires),
            kSection};
  if (!targets.delegations.empty()) return {Why::kDelegation, "a director delegates", kSection};
  unsigned ours = 0;
  for (const auto& [path, target] : targets.targets) {
    if (target.ecu_id != ecu.id) continue;
    if (++ours > 1) return {Why::kEcu, "two targets for ECU " + ecu.id, kSection};
    if (Refusal r = for_ecu(path, target, ecu, kSection)) return r;
  }
  into = std::move(targets);
  return {};
}

Refusal check_time(const Role& server, const Keys& keys, std::string_view bytes, std::string_view nonce,
                   Instant last, Instant& into) {
  constexpr const char* kSection = "Uptane deployment practices, time";
  Bounds bounds;
  bounds.bytes = kLongestTime;
  std::string problem;
  const auto all = read(bytes, bounds, problem);
  if (!all) return {Why::kTime, problem, kSection};
  const Node* body = nullptr;
  if (Refusal r = open(*all, server, keys, "time", Why::kTime, kSection, body)) return r;
  const Node* const nonces = body->find("nonces", Kind::kList);
  const Node* const time = body->find("time", Kind::kString);
  const auto when = time ? read_date(time->text) : std::nullopt;
  if (!nonces || !when) return {Why::kTime, "wanted nonces and a time", kSection};
  // Guards against a word that was recorded earlier and is played back now.
  const bool ours = std::any_of(nonces->items.begin(), nonces->items.end(),
                                [&](const Node& n) { return n.kind == Kind::kString && n.text == nonce; });
  if (!ours) return {Why::kTime, "not with our nonce", kSection};
  if (*when < last) return {Why::kTime, date_text(*when) + " is before " + date_text(last), kSection};
  into = *when;
  return {};
}

Refusal take_manifest(Fleet& fleet, std::string_view bytes, std::vector<Installed>& into) {
  constexpr const char* kSection = "Uptane 5.4.2.1";
  Bounds bounds;
  bounds.bytes = kLongestManifest;
  std::string problem;
  const auto all = read(bytes, bounds, problem);
  if (!all) return {Why::kManifest, problem, kSection};
  const auto primary = fleet.ecus.find(fleet.primary);
  if (primary == fleet.ecus.end()) return {Why::kManifest, "no primary is known", kSection};
  const Node* body = nullptr;
  if (Refusal r = open(*all, primary->second, fleet.keys, "manifest", Why::kManifest, kSection, body))
    return r;
  const Node* const vin = body->find("vin", Kind::kString);
  const Node* const by = body->find("primary_ecu_serial", Kind::kString);
  const Node* const parts = body->find("ecu_version_manifests", Kind::kObject);
  if (!vin || !by || !parts || parts->members.size() > kMostEcus)
    return {Why::kManifest, "wanted vin, primary_ecu_serial and ecu_version_manifests", kSection};
  if (vin->text != fleet.vin)
    return {Why::kManifest, "of vehicle " + vin->text + ", not " + fleet.vin, kSection};
  if (by->text != fleet.primary)
    return {Why::kEcu, "primary " + by->text + ", not " + fleet.primary, kSection};
  std::map<std::string, std::int64_t, std::less<>> seen = fleet.seen;
  std::vector<Installed> installed;
  for (const auto& [serial, part] : parts->members) {
    const auto ecu = fleet.ecus.find(serial);
    if (ecu == fleet.ecus.end()) return {Why::kEcu, "ECU " + serial + " is not of this vehicle", kSection};
    const Node* own = nullptr;
    if (Refusal r = open(part, ecu->second, fleet.keys, serial.c_str(), Why::kManifest, kSection, own))
      return r;
    const Node* const named = own->find("ecu_serial", Kind::kString);
    const Node* const counter = own->find("counter", Kind::kNumber);
    const Node* const image = own->find("installed_image", Kind::kObject);
    const Node* const path = image ? image->find("filepath", Kind::kString) : nullptr;
    const Node* const info = image ? image->find("fileinfo", Kind::kObject) : nullptr;
    const Node* const length = info ? info->find("length", Kind::kNumber) : nullptr;
    const Node* const hashes = info ? info->find("hashes", Kind::kObject) : nullptr;
    if (!named || !counter || !path || !length || !hashes)
      return {Why::kManifest, serial + ": wanted ecu_serial, counter and installed_image", kSection};
    // Guards against one ECU's report handed in as another's.
    if (named->text != serial)
      return {Why::kEcu, "a report of " + named->text + " under " + serial, kSection};
    const auto last = seen.find(serial);
    if (last != seen.end() && counter->number <= last->second)
      return {Why::kManifest,
              serial + ": counter " + std::to_string(counter->number) + " <= " + std::to_string(last->second),
              kSection};
    seen[serial] = counter->number;
    Installed one{serial, path->text, length->number, counter->number, {}};
    for (const auto& [algorithm, hash] : hashes->members) {
      if (hash.kind == Kind::kString) one.hashes.emplace(algorithm, hash.text);
    }
    installed.push_back(std::move(one));
  }
  if (!parts->find(fleet.primary)) return {Why::kManifest, "no report of the primary itself", kSection};
  fleet.seen = std::move(seen);
  into = std::move(installed);
  return {};
}

}  // namespace ashbeam::metadata
