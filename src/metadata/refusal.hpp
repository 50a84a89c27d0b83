// Why metadata is not accepted: a reason that can be counted, and one line with what was expected and found.
// All texts that more than one check gives are made here.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>

#include "base/time.hpp"

namespace ashbeam::metadata {

enum class RefusalReason : std::uint8_t {
  kNone,
  kUnreadable,    // not strict JSON, or not in its role's form
  kTooLong,       // over its role's size
  kWrongRole,     // of another role than asked for
  kKey,           // a key that can't be used, or is not what its id says
  kThreshold,     // too few distinct keys have signed
  kRootVersion,   // not the version after the trusted root's
  kRollback,      // a version that goes backwards
  kEquivocation,  // the same version with other bytes
  kMissing,       // listed before, and not any more
  kMismatch,      // not the file that the role above lists
  kExpired,
  kUnlisted,      // the role above does not list it
  kOutOfOrder,    // the file above it is not trusted yet
  kDelegation,    // too deep, too many, or too few roles in agreement
  kTarget,        // length or hash of a target
  kDisagreement,  // director and image repository list different things
  kEcu,           // for another ECU, hardware or an older release
  kManifest,      // an invalid vehicle version manifest
  kTime,          // an invalid time attestation
  kCount
};

// "too-long": as in logs and in the header field X-Refused.
std::string_view name_of(RefusalReason reason);

struct Refusal {
  RefusalReason reason = RefusalReason::kNone;
  std::string detail;        // "timestamp 41 < 43"
  const char* section = "";  // of the specification, "TUF 5.4.3.1"

  explicit operator bool() const { return reason != RefusalReason::kNone; }
  // "rollback timestamp 41 < 43 (TUF 5.4.3.1)": one line of bounded length and printable ASCII, whatever
  // names a hostile file has.
  std::string line() const;

  // `what` is the role or file that is refused, `section` the specification's.
  static Refusal unreadable(std::string detail, const char* section);
  static Refusal rollback(std::string_view subject, std::int64_t found, std::int64_t trusted,
                          const char* section);
  static Refusal equivocation(std::string_view subject, std::int64_t version, std::string_view found_digest,
                              std::string_view trusted_digest, const char* section);
  static Refusal expired(std::string_view subject, std::int64_t version, Instant expires,
                         const char* section);
  static Refusal threshold(std::string_view subject, std::int64_t valid_keys, std::int64_t threshold,
                           const char* section);
  // The role above lists another version.
  static Refusal version_mismatch(std::string_view subject, std::int64_t found, std::int64_t listed,
                                  const char* section);
  // The file's name has another version.
  static Refusal file_name_mismatch(std::string_view subject, std::int64_t found, std::int64_t named,
                                    const char* section);
};

// Hashes are shown by their beginning.
std::string_view abbreviate_hash(std::string_view hex);

}  // namespace ashbeam::metadata
