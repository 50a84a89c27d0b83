// The checks that Uptane (Standard 2.0) adds to TUF's client workflow: what the director and the image
// repository must agree on, what a vehicle reports about its ECUs, and attested time for an ECU whose own
// clock can't be trusted. The files of each repository are checked by trusted_metadata.hpp first. Refusals
// name the section of the standard. No I/O.
#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "metadata/target_lookup.hpp"
#include "metadata/trusted_metadata.hpp"

namespace ashbeam::metadata {

struct Ecu {
  std::string id;
  std::string hardware_id;
  std::int64_t release_counter = -1;  // of the installed image; -1 if none is installed
};

// Checks the director's targets on their own (5.4.4.6). There must be no delegations, each target must be for
// an ECU of this vehicle and its hardware, each ECU may have one target at most, and no target may have an
// older release than the installed one.
Refusal check_director_targets(const Targets& director, const std::vector<Ecu>& vehicle);

struct InstallDecision {
  // The target that may be installed, or null. Valid as long as the director's trusted metadata.
  const Target* target = nullptr;
  // A delegated role of the image repository whose file must be fetched before a decision is possible, and
  // the role that delegates to it. Both are empty if none is missing.
  std::string missing_role;
  std::string missing_delegator;
  Refusal refusal;
};

// Decides whether this ECU may install the target (5.4.4.2). The director must list it for this ECU, and both
// repositories must list it with the same length, hashes, hardware id and release counter. A target that only
// the director lists is never installed.
InstallDecision check_install(const TrustedMetadata& director, const TrustedMetadata& image,
                              std::string_view path, const Ecu& ecu, Instant now);

// Partial verification (5.4.4.1): checks the director's targets file alone, with the keys of a root that the
// ECU has stored. `trusted_version` is the version of the file that the ECU accepted last, or 0 if there is
// none. `targets` is set only if nothing is refused.
Refusal verify_partial(const Root& root, std::string_view bytes, std::int64_t trusted_version, const Ecu& ecu,
                       Instant now, Targets& targets);

// Checks the attestation of a time server (deployment practices, 5.3.2). It must be signed by `server`,
// contain the nonce that was sent to the server, and not be earlier than `last_attested`. `time` is set only
// if nothing is refused.
Refusal verify_time_attestation(const Role& server, const KeysById& keys, std::string_view bytes,
                                std::string_view nonce, Instant last_attested, Instant& time);

// The image that an ECU reports as installed.
struct EcuReport {
  std::string serial;  // of the ECU
  std::string path;    // of the image
  std::int64_t length = 0;
  std::int64_t counter = 0;  // rises with each report of the ECU
  Hashes hashes;
};

// What is stored about one vehicle.
struct VehicleRecord {
  std::string vin;
  std::string primary_serial;                          // of the primary ECU
  std::map<std::string, Role, std::less<>> ecu_roles;  // by serial: the keys that sign for the ECU
  std::map<std::string, std::int64_t, std::less<>> last_counters;  // by serial: of the ECU's last report
  KeysById keys;
};

// Checks a vehicle version manifest (5.4.2.1). The primary ECU must have signed it, each ECU must have signed
// its own report, and the counter of each report must be higher than that of the ECU's last one. `vehicle`
// and `reports` change only if nothing is refused.
Refusal accept_vehicle_manifest(VehicleRecord& vehicle, std::string_view bytes,
                                std::vector<EcuReport>& reports);

}  // namespace ashbeam::metadata
