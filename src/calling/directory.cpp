#include "calling/directory.hpp"

#include <algorithm>

namespace ashbeam::calling {

namespace {

std::vector<bool> mask(const CallingSettings& terms, bool any, const std::vector<std::string>& may) {
  std::vector<bool> all(terms.path_groups.size(), any);
  for (std::size_t i = 0; i < all.size() && !any; ++i)
    all[i] = std::find(may.begin(), may.end(), terms.path_groups[i]) != may.end();
  return all;
}

}  // namespace

Directory::Directory(const CallingSettings& terms) {
  const auto part = [&](const Limit& limit, double over) {
    return Rate::part(limit, over, terms.lend, terms.bank);
  };
  const double reach = std::min(terms.reach, terms.routers);
  for (const TenantSettings& given : terms.tenants) {
    Tenant t;
    t.name = given.name;
    t.issuer = given.issuer.empty() ? terms.issuer : given.issuer;
    t.customer = static_cast<std::uint32_t>(
        std::find(terms.customers.begin(), terms.customers.end(), given.name) - terms.customers.begin());
    t.may = mask(terms, given.any_path, given.may);
    t.all = part(given.all, terms.routers);
    t.only_listed = given.only_listed;
    t.rules.push_back({t.may, part(given.each, reach)});
    for (const SubjectTerms& s : given.subjects) {
      const auto at = static_cast<std::uint32_t>(t.rules.size());
      Rule rule{mask(terms, s.any_path, s.may), part(s.limited ? s.limit : given.each, reach)};
      for (std::size_t i = 0; i < rule.may.size(); ++i) rule.may[i] = rule.may[i] && t.may[i];
      t.rules.push_back(std::move(rule));
      if (s.name.ends_with('*')) t.beginnings.emplace_back(s.name.substr(0, s.name.size() - 1), at);
      else t.named.emplace(s.name, at);
    }
    std::stable_sort(t.beginnings.begin(), t.beginnings.end(),
                     [](const auto& a, const auto& b) { return a.first.size() > b.first.size(); });
    const std::uint32_t at = size();
    names_.emplace(given.name, at);
    organisations_.emplace(given.organisation.empty() ? given.name : given.organisation, at);
    tenants_.push_back(std::move(t));
  }
}

std::uint32_t Directory::Tenant::rule_of(std::string_view subject) const {
  if (const auto at = named.find(subject); at != named.end()) return at->second;
  for (const auto& [beginning, rule] : beginnings) {
    if (subject.starts_with(beginning)) return rule;
  }
  return only_listed ? kNone : 0;
}

std::vector<std::string> problems_of(const CallingSettings& terms) {
  std::vector<std::string> all;
  std::vector<std::string> names, organisations;
  const auto known = [&](const std::string& where, const std::vector<std::string>& may) {
    for (const std::string& m : may) {
      if (std::find(terms.path_groups.begin(), terms.path_groups.end(), m) == terms.path_groups.end())
        all.push_back(where + ": no path group is called " + m);
    }
  };
  const auto once = [&](std::vector<std::string>& seen, const std::string& name, const std::string& what) {
    if (std::find(seen.begin(), seen.end(), name) != seen.end())
      all.push_back(what + " " + name + " stands twice");
    seen.push_back(name);
  };
  for (const TenantSettings& t : terms.tenants) {
    once(names, t.name, "tenant");
    once(organisations, t.organisation.empty() ? t.name : t.organisation, "organisation");
    known("tenant " + t.name, t.may);
    std::vector<std::string> subjects;
    for (const SubjectTerms& s : t.subjects) {
      once(subjects, s.name, "tenant " + t.name + ": subject");
      known("tenant " + t.name + ", subject " + s.name, s.may);
    }
  }
  return all;
}

}  // namespace ashbeam::calling
