#include "metadata/target_lookup.hpp"

#include <algorithm>
#include <set>
#include <vector>

namespace ashbeam::metadata {

namespace {

class Search {
 public:
  enum class End { kFound, kNothing, kStop };  // kStop: the search is over without a target

  Search(const TrustedMetadata& trust, std::string_view path, Instant now)
      : trust_(trust), path_(path), path_hash_(sha256_hex(path)), now_(now) {}

  End visit(const std::string& role, const std::string& delegator) {
    if (!visited_.insert(role).second) return End::kNothing;
    if (++visits_ > kMaxDelegationVisits) return stop_at_limit();
    const auto trusted = trust_.targets.find(role);
    if (trusted == trust_.targets.end()) {
      result_.missing_role = role;
      result_.missing_delegator = delegator;
      return End::kStop;
    }
    const Targets& targets = *trusted->second;
    result_.refusal = check_expiry(role, targets, now_, "TUF 5.6.5");
    if (result_.refusal) return End::kStop;
    if (const auto target = targets.targets.find(path_); target != targets.targets.end()) {
      result_.target = &target->second;
      result_.role = role;
      return End::kFound;
    }
    return visit_delegations(targets, role);
  }

  TargetLookup take_result() { return std::move(result_); }

 private:
  struct ListedTarget {
    const Target* target;
    unsigned roles;  // that list exactly this
  };

  End stop_at_limit() {
    result_.refusal = {RefusalReason::kDelegation,
                       "more than " + std::to_string(kMaxDelegationVisits) + " roles", "TUF 5.6.7.1"};
    return End::kStop;
  }

  End visit_delegations(const Targets& targets, const std::string& role) {
    for (const Delegation& delegation : targets.delegations) {
      if (!delegation.covers(path_, path_hash_)) continue;
      const bool single = delegation.roles.size() == 1;
      const End end = single ? visit(delegation.roles[0].name, role) : visit_agreeing(delegation, role);
      if (end != End::kNothing) return end;
      if (delegation.terminating) return End::kStop;
    }
    return End::kNothing;
  }

  // TAP 3: a target counts where enough of the roles list the same.
  End visit_agreeing(const Delegation& delegation, const std::string& delegator) {
    std::vector<ListedTarget> listed;
    for (const DelegatedRole& delegated : delegation.roles) {
      const auto visited_before = visited_;
      const End end = visit(delegated.name, delegator);
      if (end == End::kStop) return end;
      visited_ = visited_before;  // each role of the agreement has the same ones before it
      if (end == End::kFound) count(listed, result_.target);
    }
    result_.target = nullptr;
    unsigned most_roles = 0;
    for (const ListedTarget& candidate : listed) {
      most_roles = std::max(most_roles, candidate.roles);
      if (candidate.roles < delegation.min_roles_in_agreement) continue;
      result_.target = candidate.target;
      return End::kFound;
    }
    if (listed.empty()) return End::kNothing;
    const std::string wanted = std::to_string(delegation.min_roles_in_agreement);
    result_.refusal = {RefusalReason::kDelegation,
                       std::to_string(most_roles) + " of " + wanted + " roles in agreement", "TAP 3"};
    return End::kStop;
  }

  static void count(std::vector<ListedTarget>& listed, const Target* target) {
    const auto same = std::find_if(listed.begin(), listed.end(), [&](const ListedTarget& candidate) {
      return *candidate.target == *target;
    });
    if (same != listed.end()) ++same->roles;
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
  Search search(trust, path, now);
  const bool found = search.visit("targets", "root") == Search::End::kFound;
  TargetLookup result = search.take_result();
  if (!found) result.target = nullptr;
  return result;
}

}  // namespace ashbeam::metadata
