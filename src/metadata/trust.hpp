// What is trusted of a repository, and how a file changes that (TUF 1.0, section 5, the client's workflow). A
// value: old trust, a file and the time give new trust or one refusal; the old one stands untouched. No I/O.
//
// Order: pin() with the root that came by another way; then root() with each N+1 until there is none,
// timestamp(), snapshot(), targets("targets"), and delegated ones as look_up() asks for them.
#pragma once
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.hpp"
#include "metadata/refusal.hpp"
#include "metadata/roles.hpp"

namespace ashbeam::metadata {

struct Trust {
  std::shared_ptr<const Root> root;
  std::shared_ptr<const Timestamp> timestamp;
  std::shared_ptr<const Snapshot> snapshot;
  std::map<std::string, std::shared_ptr<const Targets>, std::less<>> targets;  // by role
};

struct Step {
  Trust trust;                      // as before where refused
  Refusal refusal;                  // none: the trust is the new one
  bool changed = false;             // false and no refusal: the very file that is trusted already
  std::uint64_t verifications = 0;  // signatures computed
};

Step pin(std::string_view root);
Step take_root(const Trust& trust, std::string_view bytes);  // expiry counts when it is used, section 5.3.10
Step take_timestamp(const Trust& trust, std::string_view bytes, Instant now);
Step take_snapshot(const Trust& trust, std::string_view bytes, Instant now);
Step take_targets(const Trust& trust, std::string_view bytes, Instant now);
// A role that `delegator` names; the same role may be believed by one delegator and not by another.
Step take_delegated(const Trust& trust, std::string_view delegator, std::string_view role,
                    std::string_view bytes, Instant now);

// Does the file that is trusted stand? A trusted file that has expired since is no more to be used.
Refusal fresh(const Trust& trust, Instant now);

// Which target the repository names by that path (section 5.6.7): pre-order through the delegations, at most
// kMostVisits roles, each once.
struct Found {
  const Target* target = nullptr;
  std::string role;              // that lists it
  std::string wants, wanted_by;  // a role's file that must be had first, and its delegator
  Refusal refusal;
};
constexpr unsigned kMostVisits = 32;
Found look_up(const Trust& trust, std::string_view path, Instant now);

// Is this the target's content?
Refusal check_target(const Target& target, std::string_view bytes);

}  // namespace ashbeam::metadata
