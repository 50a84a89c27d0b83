// The credentials that a request carries, and the principal that they authenticate.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.hpp"
#include "tokens/keys.hpp"

namespace ashbeam::calling {

// A client certificate whose private key the TLS handshake has proven the client to hold.
struct ClientCertificate {
  std::string organisation;  // O attribute of its subject name
  std::string common_name;   // CN attribute of its subject name
  tokens::Digest sha256{};   // of its DER encoding: x5t#S256 (RFC 8705, section 3.1)
  Instant not_before;
  Instant not_after;
};

// The credentials of one request. The views must outlive the call of Authorizer::authenticate().
struct Credentials {
  std::string_view authorization;  // value of the Authorization field; empty if there is none
  bool is_ambiguous = false;       // a header field that credentials are read from occurs more than once
  std::string_view account;        // value of the X-Account field
  const ClientCertificate* certificate = nullptr;  // null if the client has not presented one
};

// What the authorizer remembers of a connection between its requests.
struct ConnectionHistory {
  bool is_authenticated = false;  // an earlier request on the connection has been authenticated
};

// The authenticated principal.
struct Identity {
  static constexpr std::uint32_t kNoTenant = UINT32_MAX;
  // Index in TenantDirectory. kNoTenant if the request is not authenticated, and need not be.
  std::uint32_t tenant = kNoTenant;
  std::uint32_t rule = 0;          // index in the tenant's rules
  std::uint64_t subject_hash = 0;  // hash of tenant and subject
  // Index in CallingSettings::policy_tenants. policy/admission applies the soft quota of that tenant.
  std::uint32_t policy_tenant = 0;
  std::string principal;  // "tenant/subject" as sent to endpoints; empty if the request is not authenticated
};

// Returns "tenant/subject". Each byte that could end a header line, or make the name look like another one,
// is percent-encoded.
std::string principal_name(std::string_view tenant, std::string_view subject);

// Returns the token of an Authorization field with the scheme Bearer, which is compared without regard to
// case (RFC 9110, section 11.1). Returns no value for another scheme.
std::optional<std::string_view> bearer_token(std::string_view authorization);

}  // namespace ashbeam::calling
