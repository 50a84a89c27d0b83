// The reason why a metadata file is not accepted: a category that can be counted, and one line of text with
// the expected and the found value.
//
// The router sends this line to clients in the header field X-Refused. Texts that more than one check gives
// are composed in the static functions below, so that each reads the same everywhere.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>

#include "base/time.hpp"

namespace ashbeam::metadata {

enum class RefusalReason : std::uint8_t {
  kNone,
  kUnreadable,    // the file is not strict JSON, or does not have the form of its role
  kTooLong,       // the file exceeds the size limit of its role
  kWrongRole,     // the file is of another role than the requested one
  kKey,           // a key's content does not match its key id
  kThreshold,     // too few distinct keys have signed
  kRootVersion,   // the root's version is not the one after the trusted root's
  kRollback,      // a version is older than the trusted one
  kEquivocation,  // the trusted version with other bytes
  kMissing,       // the trusted snapshot listed a file that the new one does not list
  kMismatch,      // the file is not the one that the role above it lists, or not the one that its name says
  kExpired,       // the file's expiry date has passed
  kUnlisted,      // the role above does not list the file, role or target
  kOutOfOrder,    // the role above the file is not trusted yet
  kDelegation,    // a lookup visits too many roles, too few roles agree, or a director delegates
  kTarget,        // a target's length or hash is not the listed one
  kDisagreement,  // director and image repository list different things for one target
  kEcu,           // a target or report is for another ECU or hardware
  kManifest,      // the vehicle version manifest is invalid
  kTime,          // the time attestation is invalid
  kCount
};

// Returns the name that logs and the header field X-Refused use, for example "too-long".
std::string_view name_of(RefusalReason reason);

struct Refusal {
  RefusalReason reason = RefusalReason::kNone;
  std::string detail;        // for example "timestamp 41 < 43"
  const char* section = "";  // of the specification, for example "TUF 5.4.3.1"

  // True if something is refused.
  explicit operator bool() const { return reason != RefusalReason::kNone; }

  // Returns for example "rollback timestamp 41 < 43 (TUF 5.4.3.1)". The line has a bounded length and only
  // printable ASCII characters, whatever names a hostile file contains.
  std::string line() const;

  // In each of these, `subject` names the refused role or file, and `section` is the specification's.
  static Refusal unreadable(std::string detail, const char* section);
  static Refusal rollback(std::string_view subject, std::int64_t found, std::int64_t trusted,
                          const char* section);
  static Refusal equivocation(std::string_view subject, std::int64_t version, std::string_view found_digest,
                              std::string_view trusted_digest, const char* section);
  static Refusal expired(std::string_view subject, std::int64_t version, Instant expires,
                         const char* section);
  static Refusal threshold(std::string_view subject, std::int64_t valid_keys, std::int64_t threshold,
                           const char* section);
  // The file's version is not the one that the role above it lists.
  static Refusal version_mismatch(std::string_view subject, std::int64_t found, std::int64_t listed,
                                  const char* section);
  // The file's version is not the one in its file name.
  static Refusal file_name_mismatch(std::string_view subject, std::int64_t found, std::int64_t named,
                                    const char* section);
};

// Returns the first digits of a hash, for texts.
std::string_view abbreviate_hash(std::string_view hex);

}  // namespace ashbeam::metadata
