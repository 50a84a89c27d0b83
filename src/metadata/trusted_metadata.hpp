// The metadata that is trusted of a repository, and its updates by further files: the client workflow of
// TUF 1.0, section 5. Each update is a function of the trusted metadata, a file and the time. It returns new
// trusted metadata or one refusal, and does no I/O.
//
// Call pin_root() first, with a root that was obtained through a trusted channel. Then call update_root()
// with each following version until there is none, then update_timestamp(), update_snapshot() and
// update_targets(), and at last update_delegated_targets() for each role that find_target()
// (target_lookup.hpp) reports as missing.
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "base/time.hpp"
#include "metadata/refusal.hpp"
#include "metadata/roles.hpp"

namespace ashbeam::metadata {

// The accepted files of a repository. A role without an accepted file is null, or has no entry in `targets`.
struct TrustedMetadata {
  std::shared_ptr<const Root> root;
  std::shared_ptr<const Timestamp> timestamp;
  std::shared_ptr<const Snapshot> snapshot;
  std::map<std::string, std::shared_ptr<const Targets>, std::less<>> targets;  // by role
};

struct TrustUpdate {
  TrustedMetadata trust;  // the updated metadata, or the unchanged metadata if the file is refused
  Refusal refusal;        // empty if the file is accepted
  bool changed = false;   // false if the file is refused, or was already trusted with the same bytes
  std::uint64_t verifications = 0;  // number of signatures that were verified
};

// Trusts the first root of a repository. No other key vouches for it, so that its signatures by its own keys
// prove only that the file is not corrupted.
TrustUpdate pin_root(std::string_view bytes);

// Updates the root to its next version (section 5.3). An expired root is accepted, because an intermediate
// root may have expired. An expired root is refused when it is used: update_timestamp() and check_unexpired()
// check it (section 5.3.10).
TrustUpdate update_root(const TrustedMetadata& trust, std::string_view bytes);

// Updates the timestamp (section 5.4). Refused if the trusted root has expired.
TrustUpdate update_timestamp(const TrustedMetadata& trust, std::string_view bytes, Instant now);

// Updates the snapshot (section 5.5). The trusted timestamp must list the file.
TrustUpdate update_snapshot(const TrustedMetadata& trust, std::string_view bytes, Instant now);

// Updates the top-level targets role (section 5.6). The trusted snapshot must list the file.
TrustUpdate update_targets(const TrustedMetadata& trust, std::string_view bytes, Instant now);

// Updates a role that the targets role `delegator` delegates to (section 5.6.7). Delegators name their own
// keys for a role, so that a file may be valid for one delegator and not for another.
TrustUpdate update_delegated_targets(const TrustedMetadata& trust, std::string_view delegator,
                                     std::string_view role, std::string_view bytes, Instant now);

// Whether the next root rotates the keys of the timestamp or the snapshot role. If so, files that were signed
// with the previous keys are no longer trusted: an attacker who had those keys may have raised the version
// numbers so far that no later file is accepted (fast-forward attack, section 5.3.11).
bool recovers_from_fast_forward(const Root& trusted, const Root& next);

// Refuses a file whose expiry date has passed. `subject` is its role.
Refusal check_expiry(std::string_view subject, const MetadataHeader& file, Instant now, const char* section);

// Refuses if there is no trusted root, or if the trusted root, timestamp or snapshot has expired by now.
Refusal check_unexpired(const TrustedMetadata& trust, Instant now);

// Refuses content that does not have the target's length and hashes (section 5.7.2).
Refusal check_target_content(const Target& target, std::string_view bytes);

}  // namespace ashbeam::metadata
