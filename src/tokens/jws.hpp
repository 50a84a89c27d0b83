// JWS in compact form (RFC 7515, section 3.1) and the claims of a JWT (RFC 7519, section 4.1). Reading alone:
// whether a token counts is decided in calling/.
#pragma once
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.hpp"
#include "tokens/keys.hpp"

namespace ashbeam::tokens {

constexpr std::size_t kMaxTokenBytes = 4096;
constexpr std::size_t kMaxNameBytes = 128;  // of a subject, tenant, issuer or audience
constexpr std::size_t kMaxAudiences = 8;

struct Jws {
  std::string_view signed_bytes;  // of the token's own text
  std::string signature;
  std::string kid;        // empty: not given
  std::string algorithm;  // as the header names it; what counts is the algorithm of the key
  std::string payload;    // JSON, or something else
};

// Nothing where the token is not three good parts, or its header is no JSON object with each member once, is
// of another type than a JWT, or has `crit` or `b64` (RFC 7515, section 4.1.11; RFC 8725, section 3.11).
std::optional<Jws> parse_jws(std::string_view token);

struct Claims {
  std::string issuer;
  std::string subject;
  std::string tenant;
  std::vector<std::string> audiences;
  std::optional<Instant> expires_at;
  std::optional<Instant> issued_at;
  Instant not_before;                        // the far past: not given
  std::optional<Digest> certificate_sha256;  // cnf.x5t#S256 (RFC 8705, section 3.1)
};

// `tenant_claim` names the claim that says the tenant. Nothing where a claim has another type than the RFC's,
// stands twice, or binds the token in a way that is not known here.
std::optional<Claims> parse_claims(std::string_view payload, std::string_view tenant_claim);

// A token with these claims, signed. Throws KeyError without the private part.
std::string sign_token(const Key& key, std::string_view kid, std::string_view payload);

}  // namespace ashbeam::tokens
