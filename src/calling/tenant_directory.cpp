#include "calling/tenant_directory.hpp"

#include <algorithm>
#include <utility>

namespace ashbeam::calling {

namespace {

bool contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

// Returns by index of the request class whether it is allowed.
std::vector<bool> allowed_request_classes(const CallingSettings& settings, bool allows_any_class,
                                          const std::vector<std::string>& allowed_classes) {
  std::vector<bool> allowed(settings.request_classes.size(), allows_any_class);
  if (allows_any_class) return allowed;
  for (std::size_t i = 0; i < allowed.size(); ++i)
    allowed[i] = contains(allowed_classes, settings.request_classes[i]);
  return allowed;
}

const std::string& organisation_of(const TenantSettings& tenant) {
  return tenant.organisation.empty() ? tenant.name : tenant.organisation;
}

// Creates the directory entry of a tenant from its settings.
class TenantBuilder {
 public:
  explicit TenantBuilder(const CallingSettings& settings)
      : settings_(settings),
        routers_per_subject_(std::min(settings.routers_per_subject, settings.router_count)) {}

  TenantDirectory::Tenant build(const TenantSettings& given) const {
    TenantDirectory::Tenant tenant;
    tenant.name = given.name;
    tenant.issuer = given.issuer.empty() ? settings_.issuer : given.issuer;
    tenant.policy_tenant = find_policy_tenant(given.name);
    tenant.limit = router_share(given.tenant_limit, settings_.router_count);
    tenant.allows_only_listed_subjects = given.allows_only_listed_subjects;
    const std::vector<bool> allowed =
        allowed_request_classes(settings_, given.allows_any_class, given.allowed_classes);
    tenant.rules.push_back({allowed, router_share(given.subject_limit, routers_per_subject_)});
    for (const SubjectSettings& subject : given.subjects) {
      const auto rule = static_cast<std::uint32_t>(tenant.rules.size());
      tenant.rules.push_back(build_rule(subject, given.subject_limit, allowed));
      if (subject.name.ends_with('*')) {
        tenant.prefix_rules.push_back({subject.name.substr(0, subject.name.size() - 1), rule});
      } else {
        tenant.rule_by_subject.emplace(subject.name, rule);
      }
    }
    std::stable_sort(tenant.prefix_rules.begin(), tenant.prefix_rules.end(),
                     [](const auto& a, const auto& b) { return a.prefix.size() > b.prefix.size(); });
    return tenant;
  }

 private:
  RouterLimit router_share(const Limit& limit, double routers) const {
    return RouterLimit::share_of(limit, routers, settings_.peak_factor, settings_.credit_window);
  }
  std::uint32_t find_policy_tenant(const std::string& name) const {
    const auto& names = settings_.policy_tenants;
    return static_cast<std::uint32_t>(std::find(names.begin(), names.end(), name) - names.begin());
  }
  // A subject may only send requests of classes that its tenant may send.
  TenantDirectory::Rule build_rule(const SubjectSettings& subject, const Limit& default_limit,
                                   const std::vector<bool>& allowed_to_tenant) const {
    TenantDirectory::Rule rule;
    rule.allowed = allowed_request_classes(settings_, subject.allows_any_class, subject.allowed_classes);
    rule.limit = router_share(subject.limit.value_or(default_limit), routers_per_subject_);
    for (std::size_t i = 0; i < rule.allowed.size(); ++i)
      rule.allowed[i] = rule.allowed[i] && allowed_to_tenant[i];
    return rule;
  }

  const CallingSettings& settings_;
  double routers_per_subject_;
};

// Collects duplicate names and references to unknown request classes in the settings.
class NameValidator {
 public:
  explicit NameValidator(const CallingSettings& settings) : settings_(settings) {}

  std::vector<std::string> validate() {
    std::vector<std::string> names;
    std::vector<std::string> organisations;
    for (const TenantSettings& tenant : settings_.tenants) {
      check_unique(names, tenant.name, "tenant");
      check_unique(organisations, organisation_of(tenant), "organisation");
      const std::string owner = "tenant " + tenant.name;
      check_classes(owner, tenant.allowed_classes);
      check_subjects(owner, tenant.subjects);
    }
    return std::move(problems_);
  }

 private:
  void check_subjects(const std::string& owner, const std::vector<SubjectSettings>& subjects) {
    const std::string of_tenant = owner + ": subject";
    std::vector<std::string> names;
    for (const SubjectSettings& subject : subjects) {
      check_unique(names, subject.name, of_tenant);
      check_classes(std::string(owner).append(", subject ").append(subject.name), subject.allowed_classes);
    }
  }
  void check_classes(const std::string& owner, const std::vector<std::string>& classes) {
    for (const std::string& name : classes) {
      // The operator's file calls request classes path groups.
      if (contains(settings_.request_classes, name)) continue;
      problems_.push_back(owner);
      problems_.back().append(": path group ").append(name).append(" is not defined");
    }
  }
  void check_unique(std::vector<std::string>& seen, const std::string& name, const std::string& what) {
    if (contains(seen, name)) problems_.push_back(what + " " + name + " is listed twice");
    seen.push_back(name);
  }

  const CallingSettings& settings_;
  std::vector<std::string> problems_;
};

}  // namespace

TenantDirectory::TenantDirectory(const CallingSettings& settings) {
  const TenantBuilder builder(settings);
  for (const TenantSettings& given : settings.tenants) {
    const std::uint32_t index = size();
    by_name_.emplace(given.name, index);
    by_organisation_.emplace(organisation_of(given), index);
    tenants_.push_back(builder.build(given));
  }
}

std::uint32_t TenantDirectory::find(const IndexByName& index, std::string_view name) {
  const auto found = index.find(name);
  return found == index.end() ? kNone : found->second;
}

std::uint32_t TenantDirectory::Tenant::find_rule(std::string_view subject) const {
  if (const auto found = rule_by_subject.find(subject); found != rule_by_subject.end()) return found->second;
  for (const PrefixRule& candidate : prefix_rules) {
    if (subject.starts_with(candidate.prefix)) return candidate.rule;
  }
  return allows_only_listed_subjects ? kNone : 0;
}

std::vector<std::string> validate_settings(const CallingSettings& settings) {
  return NameValidator(settings).validate();
}

}  // namespace ashbeam::calling
