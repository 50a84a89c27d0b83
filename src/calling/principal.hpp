// Who sends a request: the credentials that come with it, and the principal that they prove. No I/O.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.hpp"
#include "tokens/keys.hpp"

namespace ashbeam::calling {

// A client certificate as its handshake has proven it.
struct ClientCertificate {
  std::string organisation;  // O of its subject
  std::string common_name;   // CN of its subject
  tokens::Digest sha256{};   // of its DER: x5t#S256 (RFC 8705, section 3.1)
  Instant not_before;
  Instant not_after;
};

// What a request brings to prove who sends it.
struct Credentials {
  std::string_view authorization;  // the field's value; empty: none
  bool is_ambiguous = false;       // a field that credentials are read from stands more than once
  std::string_view account;        // X-Account
  const ClientCertificate* certificate = nullptr;
};

// What is remembered of a connection between its requests.
struct ConnectionHistory {
  bool is_authenticated = false;  // a principal has been proven on it before
};

// The principal that is proven.
struct Identity {
  static constexpr std::uint32_t kNoTenant = UINT32_MAX;
  std::uint32_t tenant =
      kNoTenant;                   // index in TenantDirectory; kNoTenant: nobody is proven, and none need be
  std::uint32_t rule = 0;          // index in the tenant's rules
  std::uint64_t subject_hash = 0;  // of tenant and subject
  std::uint32_t policy_tenant =
      0;                  // index in CallingSettings::policy_tenants, whose quota policy/admission weighs
  std::string principal;  // "tenant/subject", as endpoints see it; empty: nobody
};

// "tenant/subject", with every byte percent-encoded that could end a header line or be read as another name.
std::string principal_name(std::string_view tenant, std::string_view subject);

// The token of an Authorization field of scheme Bearer, in whatever case (RFC 9110, section 11.1); nothing
// for another scheme.
std::optional<std::string_view> bearer_token(std::string_view authorization);

}  // namespace ashbeam::calling
