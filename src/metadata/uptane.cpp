#include "metadata/uptane.hpp"

#include <algorithm>
#include <set>

namespace ashbeam::metadata {

namespace {

using Kind = JsonNode::Kind;

constexpr std::size_t kMaxManifestBytes = std::size_t{256} * 1024;
constexpr std::size_t kMaxTimeAttestationBytes = std::size_t{16} * 1024;
constexpr std::size_t kMaxEcus = 256;

// ---- Targets ----

Refusal check_target_for_ecu(std::string_view path, const Target& target, const Ecu& ecu,
                             const char* section) {
  const std::string name(path);
  if (target.ecu_id != ecu.id)
    return {RefusalReason::kEcu, name + ": listed for ECU " + target.ecu_id + ", but this ECU is " + ecu.id,
            section};
  if (target.hardware_id != ecu.hardware_id)
    return {RefusalReason::kEcu,
            name + ": listed for hardware " + target.hardware_id + ", but this ECU has " + ecu.hardware_id,
            section};
  if (target.release_counter < ecu.release_counter)
    return {RefusalReason::kRollback,
            name + ": release counter " + std::to_string(target.release_counter) + " < installed " +
                std::to_string(ecu.release_counter),
            section};
  return {};
}

Refusal check_no_delegations(const Targets& director, const char* section) {
  if (director.delegations.empty()) return {};
  return {RefusalReason::kDelegation,
          "the director's targets role has " + std::to_string(director.delegations.size()) +
              " delegations, expected none",
          section};
}

Refusal refuse_two_targets_for(const std::string& ecu, const char* section) {
  return {RefusalReason::kEcu, "more than one target for ECU " + ecu, section};
}

Refusal refuse_foreign_ecu(const std::string& path, const std::string& ecu, const char* section) {
  return {RefusalReason::kEcu, path + ": listed for ECU " + ecu + ", which is not part of this vehicle",
          section};
}

// Describes how the hashes of one target differ. Returns an empty string if the repositories list at least
// one common algorithm and the hashes of all common algorithms are equal. Without a common algorithm it is
// unknown whether the files differ, and that counts as a difference.
std::string describe_hash_disagreement(const Hashes& director, const Hashes& image) {
  bool any_common = false;
  for (const auto& [algorithm, hash] : director) {
    const auto other = image.find(algorithm);
    if (other == image.end()) continue;
    any_common = true;
    if (other->second == hash) continue;
    std::string difference = "director lists " + algorithm;
    difference.append(" ").append(abbreviate_hash(hash));
    difference.append(", image repository ").append(abbreviate_hash(other->second));
    return difference;
  }
  return any_common ? "" : "no common hash algorithm";
}

// Describes how director and image repository differ on a target. Returns an empty string if they agree.
std::string describe_disagreement(const Target& director, const Target& image) {
  if (director.length != image.length)
    return "director lists length " + std::to_string(director.length) + ", image repository " +
           std::to_string(image.length);
  std::string hashes = describe_hash_disagreement(director.hashes, image.hashes);
  if (!hashes.empty()) return hashes;
  if (director.hardware_id != image.hardware_id)
    return "director lists hardware " + director.hardware_id + ", image repository " + image.hardware_id;
  if (director.release_counter != image.release_counter)
    return "director lists release counter " + std::to_string(director.release_counter) +
           ", image repository " + std::to_string(image.release_counter);
  return "";
}

// Sets `target` to the target that the director's top-level targets role lists for this ECU.
Refusal find_director_target(const TrustedMetadata& director, std::string_view path, const Ecu& ecu,
                             Instant now, const Target*& target) {
  TargetLookup lookup = find_target(director, path, now);
  if (lookup.refusal) return std::move(lookup.refusal);
  if (!lookup.target || lookup.role != "targets")
    return {RefusalReason::kUnlisted,
            std::string(path) + ": not listed by the director's top-level targets role", "Uptane 5.4.4.2"};
  target = lookup.target;
  return check_target_for_ecu(path, *target, ecu, "Uptane 5.4.4.6");
}

// ---- Signed envelopes other than TUF metadata ----

// The reason and the section that refusals of an envelope name.
struct EnvelopeKind {
  RefusalReason malformed;
  const char* section;
};

Refusal parse_envelope(std::string_view bytes, std::size_t max_bytes, const EnvelopeKind& kind,
                       JsonNode& envelope) {
  JsonLimits limits;
  limits.max_bytes = max_bytes;
  std::string problem;
  auto node = parse_json(bytes, limits, problem);
  if (!node) return {kind.malformed, problem, kind.section};
  envelope = std::move(*node);
  return {};
}

// Sets `signed_part` and refuses the envelope unless enough keys of the role have signed that part.
Refusal open_envelope(const JsonNode& envelope, const Role& role, const KeysById& keys,
                      const std::string& subject, const EnvelopeKind& kind, const JsonNode*& signed_part) {
  signed_part = envelope.find("signed", Kind::kObject);
  const JsonNode* const signatures = envelope.find("signatures", Kind::kArray);
  if (!signed_part || !signatures)
    return {kind.malformed, subject + ": expected the members signed and signatures", kind.section};
  SignedEnvelope opened;
  if (Refusal refusal = read_signatures(*signatures, opened.signatures)) return refusal;
  opened.signed_bytes = signed_part->to_canonical_json();
  std::uint64_t verifications = 0;
  return check_threshold(subject, role, keys, opened, kind.section, verifications);
}

// ---- Vehicle version manifests ----

constexpr EnvelopeKind kManifest{RefusalReason::kManifest, "Uptane 5.4.2.1"};

Refusal refuse_manifest(std::string detail) {
  return {RefusalReason::kManifest, std::move(detail), kManifest.section};
}

Refusal refuse_ecu(std::string detail) { return {RefusalReason::kEcu, std::move(detail), kManifest.section}; }

// Checks the members of the manifest itself. Sets `reports` to the reports in it, which are not checked here.
Refusal check_manifest_header(const VehicleRecord& vehicle, const JsonNode& manifest,
                              const JsonNode*& reports) {
  const JsonNode* const vin = manifest.find("vin", Kind::kString);
  const JsonNode* const primary = manifest.find("primary_ecu_serial", Kind::kString);
  reports = manifest.find("ecu_version_manifests", Kind::kObject);
  if (!vin || !primary || !reports || reports->members.size() > kMaxEcus)
    return refuse_manifest("expected vin, primary_ecu_serial and ecu_version_manifests with at most " +
                           std::to_string(kMaxEcus) + " ECUs");
  if (vin->text != vehicle.vin) return refuse_manifest("vehicle " + vin->text + ", expected " + vehicle.vin);
  if (primary->text != vehicle.primary_serial)
    return refuse_ecu("primary ECU " + primary->text + ", expected " + vehicle.primary_serial);
  return {};
}

// Reads the members of an ECU's signed report. Returns false if one is missing.
bool read_report(const JsonNode& signed_part, EcuReport& report) {
  const JsonNode* const serial = signed_part.find("ecu_serial", Kind::kString);
  const JsonNode* const counter = signed_part.find("counter", Kind::kNumber);
  const JsonNode* const image = signed_part.find("installed_image", Kind::kObject);
  const JsonNode* const path = image ? image->find("filepath", Kind::kString) : nullptr;
  const JsonNode* const info = image ? image->find("fileinfo", Kind::kObject) : nullptr;
  const JsonNode* const length = info ? info->find("length", Kind::kNumber) : nullptr;
  const JsonNode* const hashes = info ? info->find("hashes", Kind::kObject) : nullptr;
  if (!serial || !counter || !path || !length || !hashes) return false;
  report.serial = serial->text;
  report.counter = counter->number;
  report.path = path->text;
  report.length = length->number;
  for (const auto& [algorithm, hash] : hashes->members) {
    if (hash.kind == Kind::kString) report.hashes.emplace(algorithm, hash.text);
  }
  return true;
}

// Checks and reads one ECU's report, which the manifest lists under `serial`.
Refusal check_report(const VehicleRecord& vehicle, const std::string& serial, const JsonNode& envelope,
                     EcuReport& report) {
  const auto ecu = vehicle.ecu_roles.find(serial);
  if (ecu == vehicle.ecu_roles.end()) return refuse_ecu("ECU " + serial + " is not part of this vehicle");
  const JsonNode* signed_part = nullptr;
  if (Refusal refusal = open_envelope(envelope, ecu->second, vehicle.keys, "report of ECU " + serial,
                                      kManifest, signed_part))
    return refusal;
  if (!read_report(*signed_part, report))
    return refuse_manifest("report of ECU " + serial + ": expected ecu_serial, counter and installed_image");
  if (report.serial != serial)
    return refuse_ecu("report of ECU " + report.serial + " listed under ECU " + serial);
  const auto last = vehicle.last_counters.find(serial);
  if (last != vehicle.last_counters.end() && report.counter <= last->second)
    return refuse_manifest("report of ECU " + serial + ": counter " + std::to_string(report.counter) +
                           " <= last counter " + std::to_string(last->second));
  return {};
}

}  // namespace

Refusal check_director_targets(const Targets& director, const std::vector<Ecu>& vehicle) {
  constexpr const char* kSection = "Uptane 5.4.4.6";
  if (Refusal refusal = check_no_delegations(director, kSection)) return refusal;
  std::set<std::string> listed_ecus;
  for (const auto& [path, target] : director.targets) {
    const std::string& wanted = target.ecu_id;
    const auto ecu = std::find_if(vehicle.begin(), vehicle.end(),
                                  [&](const Ecu& candidate) { return candidate.id == wanted; });
    if (ecu == vehicle.end()) return refuse_foreign_ecu(path, wanted, kSection);
    if (!listed_ecus.insert(wanted).second) return refuse_two_targets_for(wanted, kSection);
    if (Refusal refusal = check_target_for_ecu(path, target, *ecu, kSection)) return refusal;
  }
  return {};
}

InstallDecision check_install(const TrustedMetadata& director, const TrustedMetadata& image,
                              std::string_view path, const Ecu& ecu, Instant now) {
  constexpr const char* kSection = "Uptane 5.4.4.2";
  InstallDecision decision;
  const Target* directed = nullptr;
  decision.refusal = find_director_target(director, path, ecu, now, directed);
  if (decision.refusal) return decision;
  TargetLookup listed = find_target(image, path, now);
  if (!listed.missing_role.empty()) {
    decision.missing_role = std::move(listed.missing_role);
    decision.missing_delegator = std::move(listed.missing_delegator);
    return decision;
  }
  decision.refusal = std::move(listed.refusal);
  if (decision.refusal) return decision;
  if (!listed.target) {
    decision.refusal = {RefusalReason::kUnlisted, std::string(path) + ": not listed by the image repository",
                        kSection};
    return decision;
  }
  const std::string difference = describe_disagreement(*directed, *listed.target);
  if (!difference.empty())
    decision.refusal = {RefusalReason::kDisagreement, std::string(path) + ": " + difference, kSection};
  else decision.target = directed;
  return decision;
}

Refusal verify_partial(const Root& root, std::string_view bytes, std::int64_t trusted_version, const Ecu& ecu,
                       Instant now, Targets& targets) {
  constexpr const char* kSection = "Uptane 5.4.4.1";
  MetadataFile file;
  if (Refusal refusal = read_metadata_file("targets", bytes, file)) return refusal;
  std::uint64_t verifications = 0;
  if (Refusal refusal =
          check_threshold("targets", root.role("targets"), root.keys, file, kSection, verifications))
    return refusal;
  Targets found;
  if (Refusal refusal = read_targets(file, found)) return refusal;
  if (found.version < trusted_version)
    return Refusal::rollback("targets", found.version, trusted_version, kSection);
  if (Refusal refusal = check_expiry("targets", found, now, kSection)) return refusal;
  if (Refusal refusal = check_no_delegations(found, kSection)) return refusal;
  unsigned targets_for_ecu = 0;
  for (const auto& [path, target] : found.targets) {
    if (target.ecu_id != ecu.id) continue;
    ++targets_for_ecu;
    if (targets_for_ecu > 1) return refuse_two_targets_for(ecu.id, kSection);
    if (Refusal refusal = check_target_for_ecu(path, target, ecu, kSection)) return refusal;
  }
  targets = std::move(found);
  return {};
}

Refusal verify_time_attestation(const Role& server, const KeysById& keys, std::string_view bytes,
                                std::string_view nonce, Instant last_attested, Instant& time) {
  constexpr EnvelopeKind kTime{RefusalReason::kTime, "Uptane deployment practices, time"};
  JsonNode envelope;
  if (Refusal refusal = parse_envelope(bytes, kMaxTimeAttestationBytes, kTime, envelope)) return refusal;
  const JsonNode* signed_part = nullptr;
  if (Refusal refusal = open_envelope(envelope, server, keys, "time attestation", kTime, signed_part))
    return refusal;
  const JsonNode* const nonces = signed_part->find("nonces", Kind::kArray);
  const JsonNode* const date = signed_part->find("time", Kind::kString);
  const auto attested = date ? parse_date(date->text) : std::nullopt;
  if (!nonces || !attested)
    return {kTime.malformed, "expected nonces and a time as YYYY-MM-DDTHH:MM:SSZ", kTime.section};
  // An attestation without the nonce that was sent to the server may be a replay of an earlier one.
  const bool has_nonce = std::any_of(nonces->items.begin(), nonces->items.end(), [&](const JsonNode& item) {
    return item.kind == Kind::kString && item.text == nonce;
  });
  if (!has_nonce)
    return {kTime.malformed, "the attestation does not contain the nonce that was sent", kTime.section};
  if (*attested < last_attested)
    return {
        kTime.malformed,
        "attested time " + format_date(*attested) + " is before the last one, " + format_date(last_attested),
        kTime.section};
  time = *attested;
  return {};
}

Refusal accept_vehicle_manifest(VehicleRecord& vehicle, std::string_view bytes,
                                std::vector<EcuReport>& reports) {
  JsonNode envelope;
  if (Refusal refusal = parse_envelope(bytes, kMaxManifestBytes, kManifest, envelope)) return refusal;
  const auto primary = vehicle.ecu_roles.find(vehicle.primary_serial);
  if (primary == vehicle.ecu_roles.end())
    return refuse_manifest("the primary ECU " + vehicle.primary_serial + " is not among the vehicle's ECUs");
  const JsonNode* manifest = nullptr;
  if (Refusal refusal = open_envelope(envelope, primary->second, vehicle.keys, "vehicle version manifest",
                                      kManifest, manifest))
    return refusal;
  const JsonNode* listed = nullptr;
  if (Refusal refusal = check_manifest_header(vehicle, *manifest, listed)) return refusal;
  std::vector<EcuReport> checked;
  for (const auto& [serial, report] : listed->members) {
    if (Refusal refusal = check_report(vehicle, serial, report, checked.emplace_back())) return refusal;
  }
  if (!listed->find(vehicle.primary_serial))
    return refuse_manifest("no report of the primary ECU " + vehicle.primary_serial);
  for (const EcuReport& report : checked) vehicle.last_counters[report.serial] = report.counter;
  reports = std::move(checked);
  return {};
}

}  // namespace ashbeam::metadata
