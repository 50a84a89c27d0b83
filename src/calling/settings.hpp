// The operator's settings for authentication, rights and quotas. They are read at start, and again whenever
// the operator's file is reloaded.
#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.hpp"

namespace ashbeam::calling {

// A limit that applies to all routers together.
struct Limit {
  double requests_per_s = 0;        // 0 if the rate is not limited
  double burst_requests = 1;        // maximum number of requests at once
  std::uint32_t max_in_flight = 0;  // requests; 0 if it is not limited
  bool operator==(const Limit&) const = default;
};

struct SubjectSettings {
  std::string name;  // a subject, or a prefix of subjects' names followed by *
  bool allows_any_class = true;
  std::vector<std::string> allowed_classes;  // request classes; ignored if `allows_any_class`
  std::optional<Limit> limit;                // the tenant's `subject_limit` if absent
};

struct TenantSettings {
  std::string name;          // as in X-Account
  std::string issuer;        // of its tokens; CallingSettings::issuer if empty
  std::string organisation;  // O attribute of its certificates; `name` if empty
  bool allows_any_class = true;
  std::vector<std::string> allowed_classes;  // request classes; ignored if `allows_any_class`
  bool allows_only_listed_subjects = false;  // subjects that `subjects` does not list have no rights
  Limit tenant_limit;                        // of all its subjects together
  Limit subject_limit;                       // of each subject
  std::vector<SubjectSettings> subjects;
};

struct CallingSettings {
  // If false, requests without credentials are served, without rights or quotas of their own.
  bool requires_authentication = false;
  std::string issuer;
  std::string audience;  // any audience is accepted if empty
  std::string tenant_claim = "tenant";
  // Maximum assumed difference between the issuer's clock and this machine's, in either direction.
  Duration leeway = Duration::s(30);
  // How long a key verifies tokens after it has retired.
  Duration retiring_key_overlap = Duration::s(60);
  // Maximum time from a token's issue to its expiry.
  Duration max_token_lifetime = Duration::s(86'400);
  double verifications_per_s = 2000;
  std::size_t max_cached_tokens = 8192;
  std::size_t max_subjects = 65'536;

  // Parameters of a router's share of a limit; see quota.hpp.
  std::uint32_t router_count = 1;
  std::uint32_t routers_per_subject = 2;
  Duration credit_window = Duration::s(10);
  double peak_factor = 4;
  // After this time, each request that is now in flight has ended.
  Duration max_request_duration = Duration::s(5);

  // Names from the deployment's settings; the router's decisions refer to them by index. The tenants named
  // here have soft quotas (policy/admission), whereas `tenants` below are those of the operator's file, with
  // rights and hard limits.
  std::vector<std::string> request_classes;
  std::vector<std::string> policy_tenants;

  std::vector<TenantSettings> tenants;
};

}  // namespace ashbeam::calling
