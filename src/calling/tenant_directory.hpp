// The tenants of the operator's settings with the rights and limits of their subjects, resolved to indices. A
// directory is immutable; when the settings change, a new directory replaces it.
#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "calling/quota.hpp"
#include "calling/settings.hpp"

namespace ashbeam::calling {

class TenantDirectory {
 public:
  static constexpr std::uint32_t kNone = UINT32_MAX;
  using IndexByName = std::map<std::string, std::uint32_t, std::less<>>;

  // The rights and limits of a group of subjects.
  struct Rule {
    std::vector<bool> allowed;  // by index of the request class
    RouterLimit limit;          // of each subject in the group
  };
  struct PrefixRule {
    std::string prefix;
    std::uint32_t rule;
  };
  struct Tenant {
    std::string name;
    std::string issuer;
    // Index in CallingSettings::policy_tenants, or their number if the tenant is not listed there.
    std::uint32_t policy_tenant = 0;
    RouterLimit limit;  // of all its subjects together
    bool allows_only_listed_subjects = false;
    std::vector<Rule> rules;  // the first applies to subjects that are not listed
    IndexByName rule_by_subject;
    std::vector<PrefixRule> prefix_rules;  // the longest prefix first

    // Returns the index in `rules` of the rule that applies to the subject: that of its name, else that of
    // the longest matching prefix, else the first. Returns kNone if the subject has no rights.
    std::uint32_t find_rule(std::string_view subject) const;
  };

  explicit TenantDirectory(const CallingSettings& settings);
  // Each returns the index of the tenant, or kNone if there is none.
  std::uint32_t find_by_name(std::string_view name) const { return find(by_name_, name); }
  std::uint32_t find_by_organisation(std::string_view name) const { return find(by_organisation_, name); }
  const Tenant& operator[](std::uint32_t tenant) const { return tenants_[tenant]; }
  std::uint32_t size() const { return static_cast<std::uint32_t>(tenants_.size()); }

 private:
  static std::uint32_t find(const IndexByName& index, std::string_view name);

  std::vector<Tenant> tenants_;
  IndexByName by_name_;
  IndexByName by_organisation_;
};

// Returns one line for each duplicate name and each reference to an unknown request class in the settings.
// Returns an empty list if the settings are valid.
std::vector<std::string> validate_settings(const CallingSettings& settings);

}  // namespace ashbeam::calling
