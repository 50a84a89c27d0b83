// What the operator says of who may send requests, as plain figures. Read at start, and again whenever the
// operator's file is read anew.
#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.hpp"

namespace ashbeam::calling {

// A limit that holds for all routers together.
struct Limit {
  double requests_per_s = 0;        // 0: not limited
  double burst_requests = 1;        // at once
  std::uint32_t max_in_flight = 0;  // requests; 0: not limited
  bool operator==(const Limit&) const = default;
};

struct SubjectSettings {
  std::string name;  // a subject, or the prefix of subjects' names with a * behind it
  bool allows_any_class = true;
  std::vector<std::string> allowed_classes;  // request classes, where not `allows_any_class`
  std::optional<Limit> limit;                // absent: the tenant's `subject_limit`
};

struct TenantSettings {
  std::string name;          // as in X-Account
  std::string issuer;        // of its tokens; empty: CallingSettings::issuer
  std::string organisation;  // O of its certificates; empty: its name
  bool allows_any_class = true;
  std::vector<std::string> allowed_classes;  // request classes, where not `allows_any_class`
  bool allows_only_listed_subjects = false;  // subjects that `subjects` does not name have no rights
  Limit tenant_limit;                        // of all its subjects together
  Limit subject_limit;                       // of each of them
  std::vector<SubjectSettings> subjects;
};

struct CallingSettings {
  bool requires_authentication =
      false;  // false: who proves nothing is served, without rights or quotas of its own
  std::string issuer;
  std::string audience;  // empty: any
  std::string tenant_claim = "tenant";
  Duration leeway = Duration::s(30);                  // between the issuer's clock and ours, either way
  Duration retiring_key_overlap = Duration::s(60);    // in which a retiring key still verifies
  Duration max_token_lifetime = Duration::s(86'400);  // from a token's issue to its expiry
  double verifications_per_s = 2000;
  std::size_t max_cached_tokens = 8192;
  std::size_t max_subjects = 65'536;

  // A router's part of a limit: see quota.hpp.
  std::uint32_t router_count = 1;
  std::uint32_t routers_per_subject = 2;
  Duration credit_window = Duration::s(10);
  double peak_factor = 4;
  Duration max_request_duration = Duration::s(5);  // whatever is in flight has ended by then

  // The deployment's own names, behind the indices that the router's decisions use. Their tenants have soft
  // quotas (policy/admission); `tenants` below are the operator's, with rights and hard limits.
  std::vector<std::string> request_classes;
  std::vector<std::string> policy_tenants;

  std::vector<TenantSettings> tenants;
};

}  // namespace ashbeam::calling
