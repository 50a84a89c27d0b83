// Tenants, and what they and their subjects may do, as small indices. Built whole from the operator's
// settings and never changed; a new directory replaces it.
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

  // What a group of subjects may do.
  struct Rule {
    std::vector<bool> allowed;  // by request class
    RouterLimit limit;          // of each subject
  };
  struct PrefixRule {
    std::string prefix;
    std::uint32_t rule;
  };
  struct Tenant {
    std::string name;
    std::string issuer;
    std::uint32_t policy_tenant = 0;  // index in CallingSettings::policy_tenants, or their number
    RouterLimit limit;                // of all its subjects together
    bool allows_only_listed_subjects = false;
    std::vector<Rule> rules;  // the first is for subjects that are not listed
    IndexByName rule_by_subject;
    std::vector<PrefixRule> prefix_rules;  // the longest prefix first

    std::uint32_t find_rule(std::string_view subject) const;  // kNone: it has no rights
  };

  explicit TenantDirectory(const CallingSettings& settings);
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

// What in the settings contradicts itself or names what is not there, a line each; empty if nothing.
std::vector<std::string> validate_settings(const CallingSettings& settings);

}  // namespace ashbeam::calling
