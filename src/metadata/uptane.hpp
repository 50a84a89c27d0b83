// Uptane (Standard 2.0) on top of TUF's workflow: what director and image repository must agree on, what a
// vehicle reports, and attested time for an ECU whose clock can't be trusted. No I/O. Each repository's own
// files are checked by trusted_metadata.hpp first. Refusals name the section.
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
  std::int64_t release_counter = -1;  // of the installed image; -1: none is installed
};

// The director's targets by themselves (5.4.4.6): no delegations, each ECU of this vehicle at most once and
// none of another, the right hardware, no release older than the installed one.
Refusal check_director_targets(const Targets& director, const std::vector<Ecu>& vehicle);

struct InstallDecision {
  const Target* target = nullptr;  // may be installed; stands as long as the director's trusted metadata
  // A delegated role of the image repository that must be fetched first, and its delegator; empty: none.
  std::string missing_role;
  std::string missing_delegator;
  Refusal refusal;
};
// May this ECU install that target (5.4.4.2)? The director has to list it for this ECU, and both repositories
// with the same length, hashes, hardware and release counter. A director alone installs nothing.
InstallDecision check_install(const TrustedMetadata& director, const TrustedMetadata& image,
                              std::string_view path, const Ecu& ecu, Instant now);

// Partial verification (5.4.4.1): the director's targets file alone, by the keys of a root that the ECU
// holds. `trusted_version`: of the file that it accepted last; 0: none. `targets` is set where nothing is
// refused.
Refusal verify_partial(const Root& root, std::string_view bytes, std::int64_t trusted_version, const Ecu& ecu,
                       Instant now, Targets& targets);

// A time server's attestation (deployment practices, 5.3.2): signed, with our nonce, not before the `last`
// one. `time` is set where nothing is refused.
Refusal verify_time_attestation(const Role& server, const KeysById& keys, std::string_view bytes,
                                std::string_view nonce, Instant last_attested, Instant& time);

// What an ECU says that it runs.
struct EcuReport {
  std::string serial;
  std::string path;
  std::int64_t length = 0;
  std::int64_t counter = 0;
  Hashes hashes;
};
// What is known of one vehicle.
struct VehicleRecord {
  std::string vin;
  std::string primary_serial;                                      // serial of its primary ECU
  std::map<std::string, Role, std::less<>> ecu_roles;              // by serial: the keys that sign for it
  std::map<std::string, std::int64_t, std::less<>> last_counters;  // by serial: of its last report
  KeysById keys;
};
// A vehicle version manifest (5.4.2.1): signed by the primary, each ECU's report by that ECU, with counters
// that only rise. `vehicle` and `reports` change only where nothing is refused.
Refusal accept_vehicle_manifest(VehicleRecord& vehicle, std::string_view bytes,
                                std::vector<EcuReport>& reports);

}  // namespace ashbeam::metadata
