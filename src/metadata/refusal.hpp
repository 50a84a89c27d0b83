// Why a metadata file is not believed: one name for each way, and one line with what was expected and found.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>

namespace ashbeam::metadata {

enum class Why : std::uint8_t {
  kNone,
  kUnreadable,    // no strict JSON, or not in a role's form
  kTooLong,       // over its role's size
  kWrongRole,     // of another role than asked for
  kKey,           // a key that can't be used, or is not what its id says
  kThreshold,     // too few distinct keys have signed
  kRootVersion,   // not the one after the trusted one
  kRollback,      // a version that goes backwards
  kEquivocation,  // the same version with other bytes
  kMissing,       // what was listed before is not any more
  kMismatch,      // not the file that the role above lists
  kExpired,
  kUnlisted,      // the role above does not name it
  kOutOfOrder,    // what it hangs on is not there yet
  kDelegation,    // too deep, too many, or in agreement with nobody
  kTarget,        // length or hash of a target
  kDisagreement,  // director and image repository do not say the same
  kEcu,           // of another ECU, hardware or an older release
  kManifest,      // a vehicle's report that is not good
  kTime,          // a time attestation that is not good
  kCount
};

constexpr std::string_view kWhyWords[] = {
    "none",       "unreadable",   "too-long",     "wrong-role", "key",      "threshold", "root-version",
    "rollback",   "equivocation", "missing",      "mismatch",   "expired",  "unlisted",  "out-of-order",
    "delegation", "target",       "disagreement", "ecu",        "manifest", "time"};
static_assert(std::size(kWhyWords) == static_cast<std::size_t>(Why::kCount));
constexpr std::string_view word_of(Why w) { return kWhyWords[static_cast<std::size_t>(w)]; }

struct Refusal {
  Why why = Why::kNone;
  std::string said;          // "timestamp 41 < 43"
  const char* section = "";  // of the specification
  explicit operator bool() const { return why != Why::kNone; }
  // On one line, whatever names a hostile file brought.
  std::string line() const {
    std::string all = std::string(word_of(why)) + " " + said.substr(0, 160) + " (" + section + ")";
    for (char& c : all) {
      if (static_cast<unsigned char>(c) < ' ' || static_cast<unsigned char>(c) > '~') c = '?';
    }
    return all;
  }
};

}  // namespace ashbeam::metadata
