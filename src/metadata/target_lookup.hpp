// Finds the target that a repository lists under a path, through the delegations of its targets roles
// (TUF 1.0, section 5.6.7, and TAP 3 where several roles must agree).
#pragma once
#include <string>
#include <string_view>

#include "base/time.hpp"
#include "metadata/refusal.hpp"
#include "metadata/trusted_metadata.hpp"

namespace ashbeam::metadata {

// Bounds the roles that one lookup visits, so that long chains of delegations are refused.
constexpr unsigned kMaxDelegationVisits = 32;

struct TargetLookup {
  const Target* target = nullptr;  // valid as long as the trusted metadata; null: not found
  std::string role;                // the role that lists the target
  // A role whose file must be fetched before the lookup can go on, and the role that delegates to it. Both
  // are empty if none is missing.
  std::string missing_role;
  std::string missing_delegator;
  Refusal refusal;
};

// Visits the roles in pre-order and each role once, starting with the top-level targets role. The roles of
// one agreement (TAP 3) are searched independently of each other. If no role lists the path, the result has
// no target, no missing role and no refusal.
TargetLookup find_target(const TrustedMetadata& trust, std::string_view path, Instant now);

}  // namespace ashbeam::metadata
