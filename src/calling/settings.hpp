// What the operator says of who may call: plain figures, told at start and again at each reading of the file.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "base/time.hpp"

namespace ashbeam::calling {

struct Limit {                // of all routers together
  double per_s = 0;           // hits; 0: not limited
  double burst = 1;           // hits at once
  std::uint32_t in_hand = 0;  // hits; 0: not limited
  bool operator==(const Limit&) const = default;
};

struct SubjectTerms {
  std::string name;  // or the beginning of names, with a * behind
  std::vector<std::string> may;
  bool any_path = true, limited = false;
  Limit limit;
};

struct TenantSettings {
  std::string name;          // as in X-Account
  std::string issuer;        // of its tokens; empty: the common one
  std::string organisation;  // O of its certificates; empty: its name
  std::vector<std::string> may;
  bool any_path = true, only_listed = false;
  Limit all, each;  // its subjects together; each of them
  std::vector<SubjectTerms> subjects;
};

struct CallingSettings {
  bool required = false;  // else who proves nothing is served as before
  std::string issuer, audience, tenant_claim = "tenant";
  Span leeway = Span::s(30);           // between the issuer's clock and ours, either way
  Span overlap = Span::s(60);          // in which a retiring key still verifies
  Span longest_life = Span::s(86400);  // from a token's issue to its expiry
  double verifications_per_s = 2000;
  std::size_t cached_tokens = 8192, subjects = 65536;
  // A router's part of a limit; see quota.hpp.
  std::uint32_t routers = 1, reach = 2;
  Span bank = Span::s(10);
  double lend = 4;
  Span longest_hit = Span::s(5);                    // by when whatever is in hand is over
  std::vector<std::string> path_groups, customers;  // names by their index in the module
  std::vector<TenantSettings> tenants;
};

}  // namespace ashbeam::calling
