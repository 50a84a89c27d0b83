// Tenants and what they and their subjects may do, as small indices. Built whole from the operator's terms,
// never changed; a new one takes its place.
#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "calling/quota.hpp"
#include "calling/settings.hpp"

namespace ashbeam::calling {

class Directory {
 public:
  static constexpr std::uint32_t kNone = UINT32_MAX;
  struct Rule {             // of subjects
    std::vector<bool> may;  // by path group
    Rate rate;
  };
  struct Tenant {
    std::string name, issuer;
    std::uint32_t customer = 0;  // as the module counts them
    std::vector<bool> may;
    Rate all;
    bool only_listed = false;
    std::vector<Rule> rules;                                        // 0: of whoever is not listed
    std::map<std::string, std::uint32_t, std::less<>> named;        // subject to rule
    std::vector<std::pair<std::string, std::uint32_t>> beginnings;  // the longest first
    std::uint32_t rule_of(std::string_view subject) const;          // kNone: it has no rights here
  };

  explicit Directory(const CallingSettings& terms);
  std::uint32_t by_name(std::string_view name) const { return look(names_, name); }
  std::uint32_t by_organisation(std::string_view name) const { return look(organisations_, name); }
  const Tenant& operator[](std::uint32_t tenant) const { return tenants_[tenant]; }
  std::uint32_t size() const { return static_cast<std::uint32_t>(tenants_.size()); }

 private:
  using Names = std::map<std::string, std::uint32_t, std::less<>>;
  static std::uint32_t look(const Names& names, std::string_view name) {
    const auto at = names.find(name);
    return at == names.end() ? kNone : at->second;
  }
  std::vector<Tenant> tenants_;
  Names names_, organisations_;
};

// What in the terms contradicts itself or names what is not there; empty if nothing.
std::vector<std::string> problems_of(const CallingSettings& terms);

}  // namespace ashbeam::calling
