// JWS in compact form (RFC 7515, section 3.1) and the claims of a JWT (RFC 7519, section 4.1). Reading alone:
// whether a token counts is decided in calling/.
#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.hpp"
#include "tokens/keys.hpp"

namespace ashbeam::tokens {

constexpr std::size_t kLongestToken = 4096;  // bytes
constexpr std::size_t kLongestName = 128;    // of a subject, tenant, issuer or audience
constexpr std::size_t kMostAudiences = 8;

struct Jws {
  std::string_view signed_bytes;  // of the token's own text
  std::string signature, kid;
  std::string alg;      // as the header names it; read as an algorithm only against the key's own
  std::string payload;  // JSON, or something else
};

// Nothing where the token is not three good parts, its header is no JSON object with each member once, or
// names in `crit` what we do not know (RFC 7515, section 4.1.11).
std::optional<Jws> split(std::string_view token);

struct Claims {
  std::string issuer, subject, tenant;
  std::vector<std::string> audiences;
  Instant expires = Instant::never(), not_before, issued;  // far past: not said
  bool has_expiry = false, has_issued = false, bound = false;
  Digest certificate{};  // cnf.x5t#S256 (RFC 8705, section 3.1), where bound
};

// `tenant` names the claim that says the tenant. Nothing where a claim has another type than the RFC's, or
// stands twice.
std::optional<Claims> read_claims(std::string_view payload, std::string_view tenant);

// A token, signed.
std::string issue(const Key& key, std::string_view kid, std::string_view payload);

}  // namespace ashbeam::tokens
