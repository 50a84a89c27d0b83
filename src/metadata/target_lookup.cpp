#include "metadata/target_lookup.hpp"

#include <algorithm>
#include <set>
#include <vector>

namespace ashbeam::metadata {

namespace {

class DelegationSearch {
 public:
  // kNotFound lets the search go on with the next role; kStopped ends the search without a target.
  enum class VisitResult { kFound, kNotFound, kStopped };

  DelegationSearch(const TrustedMetadata& trust, std::string_view path, Instant now)
      : trust_(trust), path_(path), path_hash_(sha256_hex(path)), now_(now) {}

  VisitResult visit(const std::string& role, const std::string& delegator) {
    if (!visited_.insert(role).second) return VisitResult::kNotFound;
    if (++visits_ > kMaxDelegationVisits) return stop_at_limit();
    const auto trusted = trust_.targets.find(role);
    if (trusted == trust_.targets.end()) {
      result_.missing_role = role;
      result_.missing_delegator = delegator;
      return VisitResult::kStopped;
    }
    const Targets& targets = *trusted->second;
    result_.refusal = check_expiry(role, targets, now_, "TUF 5.6.5");
    if (result_.refusal) return VisitResult::kStopped;
    if (const auto target = targets.targets.find(path_); target != targets.targets.end()) {
      result_.target = &target->second;
      result_.role = role;
      return VisitResult::kFound;
    }
    return visit_delegations(targets, role);
  }

  TargetLookup take_result() { return std::move(result_); }

 private:
  struct ListedTarget {
    const Target* target;
    unsigned role_count;  // number of roles that list the target with the same values
  };

  VisitResult stop_at_limit() {
    result_.refusal = {RefusalReason::kDelegation,
                       "more than " + std::to_string(kMaxDelegationVisits) + " roles", "TUF 5.6.7.1"};
    return VisitResult::kStopped;
  }

  VisitResult visit_delegations(const Targets& targets, const std::string& role) {
    for (const Delegation& delegation : targets.delegations) {
      if (!delegation.covers(path_, path_hash_)) continue;
      const bool single = delegation.roles.size() == 1;
      const VisitResult visit_result =
          single ? visit(delegation.roles[0].name, role) : visit_roles_in_agreement(delegation, role);
      if (visit_result != VisitResult::kNotFound) return visit_result;
      if (delegation.terminating) return VisitResult::kStopped;
    }
    return VisitResult::kNotFound;
  }

  // Accepts a target if enough of the delegation's roles list it with the same values (TAP 3).
  VisitResult visit_roles_in_agreement(const Delegation& delegation, const std::string& delegator) {
    std::vector<ListedTarget> listed;
    for (const DelegatedRole& delegated : delegation.roles) {
      const auto visited_before = visited_;
      const VisitResult visit_result = visit(delegated.name, delegator);
      if (visit_result == VisitResult::kStopped) return visit_result;
      // The roles of an agreement are searched independently, so each begins with the same visited roles.
      visited_ = visited_before;
      if (visit_result == VisitResult::kFound) count_listing(listed, result_.target);
    }
    result_.target = nullptr;
    unsigned max_role_count = 0;
    for (const ListedTarget& candidate : listed) {
      max_role_count = std::max(max_role_count, candidate.role_count);
      if (candidate.role_count < delegation.min_roles_in_agreement) continue;
      result_.target = candidate.target;
      return VisitResult::kFound;
    }
    if (listed.empty()) return VisitResult::kNotFound;
    const std::string wanted = std::to_string(delegation.min_roles_in_agreement);
    result_.refusal = {RefusalReason::kDelegation,
                       std::to_string(max_role_count) + " of " + wanted + " roles in agreement", "TAP 3"};
    return VisitResult::kStopped;
  }

  static void count_listing(std::vector<ListedTarget>& listed, const Target* target) {
    const auto same = std::find_if(listed.begin(), listed.end(), [&](const ListedTarget& candidate) {
      return *candidate.target == *target;
    });
    if (same != listed.end()) ++same->role_count;
    else listed.push_back({target, 1});
  }

  const TrustedMetadata& trust_;
  std::string_view path_;
  std::string path_hash_;
  Instant now_;
  unsigned visits_ = 0;
  std::set<std::string, std::less<>> visited_;
  TargetLookup result_;
};

}  // namespace

TargetLookup find_target(const TrustedMetadata& trust, std::string_view path, Instant now) {
  TargetLookup expired;
  expired.refusal = check_unexpired(trust, now);
  if (expired.refusal) return expired;
  DelegationSearch search(trust, path, now);
  const bool found = search.visit("targets", "root") == DelegationSearch::VisitResult::kFound;
  TargetLookup result = search.take_result();
  if (!found) result.target = nullptr;
  return result;
}

}  // namespace ashbeam::metadata
