// Which target a repository names by a path (TUF 1.0, section 5.6.7; TAP 3 where several roles must agree).
#pragma once
#include <string>
#include <string_view>

#include "base/time.hpp"
#include "metadata/refusal.hpp"
#include "metadata/trusted_metadata.hpp"

namespace ashbeam::metadata {

// Roles that one lookup visits, at most.
constexpr unsigned kMaxDelegationVisits = 32;

struct TargetLookup {
  const Target* target = nullptr;  // stands as long as the trusted metadata; null: not found
  std::string role;                // that lists it
  // A role whose file must be fetched before the lookup can go on, and who delegates to it; empty: none.
  std::string missing_role;
  std::string missing_delegator;
  Refusal refusal;
};

// Walks the delegations in pre-order, each role once. Nothing is found, missing or refused where no role
// lists the path.
TargetLookup find_target(const TrustedMetadata& trust, std::string_view path, Instant now);

}  // namespace ashbeam::metadata
