// What is trusted of a repository, and how a file changes that (TUF 1.0, section 5, the client's workflow). A
// value: trusted metadata, a file and the time give new trusted metadata or one refusal. No I/O.
//
// Order: pin_root() with the root that came by another way; then update_root() with each next version until
// there is none, update_timestamp(), update_snapshot(), update_targets(), and update_delegated_targets() for
// the roles that find_target() (target_lookup.hpp) misses.
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

struct TrustedMetadata {
  std::shared_ptr<const Root> root;
  std::shared_ptr<const Timestamp> timestamp;
  std::shared_ptr<const Snapshot> snapshot;
  std::map<std::string, std::shared_ptr<const Targets>, std::less<>> targets;  // by role
};

struct TrustUpdate {
  TrustedMetadata trust;            // as before where refused
  Refusal refusal;                  // none: `trust` is the new one
  bool changed = false;             // false without a refusal: the very file that is trusted already
  std::uint64_t verifications = 0;  // signatures computed
};

// A pinned root is signed by nobody else; that it signs itself keeps out what is merely broken.
TrustUpdate pin_root(std::string_view bytes);
// Section 5.3. An expired root is accepted, as an intermediate one may be, and refused in use (5.3.10).
TrustUpdate update_root(const TrustedMetadata& trust, std::string_view bytes);
// Section 5.4.
TrustUpdate update_timestamp(const TrustedMetadata& trust, std::string_view bytes, Instant now);
// Section 5.5.
TrustUpdate update_snapshot(const TrustedMetadata& trust, std::string_view bytes, Instant now);
// Section 5.6: the top-level targets role.
TrustUpdate update_targets(const TrustedMetadata& trust, std::string_view bytes, Instant now);
// Section 5.6.7: a role that `delegator` names. One delegator may trust a file of it, another one not.
TrustUpdate update_delegated_targets(const TrustedMetadata& trust, std::string_view delegator,
                                     std::string_view role, std::string_view bytes, Instant now);

// Does the next root rotate the timestamp's or the snapshot's keys? Then files of the former keys lose their
// trust, since who had those keys may have raised the versions out of reach (section 5.3.11).
bool recovers_from_fast_forward(const Root& trusted, const Root& next);

// Refuses a file whose time is over; `what` is its role.
Refusal check_expiry(std::string_view subject, const MetadataHeader& file, Instant now, const char* section);
// Refuses where root, timestamp or snapshot have expired since they were accepted.
Refusal check_unexpired(const TrustedMetadata& trust, Instant now);

// Is this the target's content (section 5.7.2)?
Refusal check_target_content(const Target& target, std::string_view bytes);

}  // namespace ashbeam::metadata
