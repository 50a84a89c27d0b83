// Parses and signs tokens: JWS in compact serialization (RFC 7515, section 3.1) with the claims of a JWT (RFC
// 7519, section 4.1). Signatures and validity are checked in calling/.
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
// Maximum length of a subject, tenant, issuer or audience.
constexpr std::size_t kMaxNameBytes = 128;
constexpr std::size_t kMaxAudiences = 8;

struct Jws {
  std::string_view signed_bytes;  // a view of the token's text
  std::string signature;
  std::string kid;        // empty if absent
  std::string algorithm;  // `alg` of the header; not trusted until a key of that algorithm has verified it
  std::string payload;    // decoded, but not yet parsed as JSON
};

// Returns no value if the token is longer than kMaxTokenBytes, is not three base64url parts, or has an
// invalid header. A header is invalid if it is not a JSON object, has duplicate members, has no `alg`, has a
// `typ` other than a JWT's (RFC 8725, section 3.11), or has `crit` (RFC 7515, section 4.1.11) or `b64`.
std::optional<Jws> parse_jws(std::string_view token);

struct Claims {
  std::string issuer;
  std::string subject;
  std::string tenant;
  std::vector<std::string> audiences;
  std::optional<Instant> expires_at;
  std::optional<Instant> issued_at;
  Instant not_before;                        // in the far past if absent
  std::optional<Digest> certificate_sha256;  // cnf.x5t#S256 (RFC 8705, section 3.1)
};

// `tenant_claim` is the name of the claim that holds the tenant. Returns no value if a claim has another type
// than RFC 7519 requires, exceeds a limit or occurs twice, or if `cnf` binds the token by another method than
// x5t#S256.
std::optional<Claims> parse_claims(std::string_view payload, std::string_view tenant_claim);

// Returns a signed token whose payload is the given JSON text. Throws KeyError if `key` has no private part.
std::string sign_token(const Key& key, std::string_view kid, std::string_view payload);

}  // namespace ashbeam::tokens
