#include "tokens/jws.hpp"

#include <algorithm>

#include "protocol/json.hpp"
#include "tokens/base64url.hpp"
#include "tokens/json_members.hpp"

namespace ashbeam::tokens {

namespace {

constexpr double kMaxUnixS = 1e11;  // the year 5138

// Returns false if the claim is present but is not a NumericDate (RFC 7519, section 2).
bool read_time(const Json& claims, const char* name, std::optional<Instant>& time) {
  const auto given = claims.member(name);
  if (!given) return true;
  const auto unix_s = given->number();
  if (!unix_s || !(*unix_s >= 0 && *unix_s < kMaxUnixS)) return false;
  time = Instant::at_us(static_cast<std::int64_t>(*unix_s * 1e6));
  return true;
}

// Returns false if the claim is present but is not a string, or is too long.
bool read_name(const Json& claims, std::string_view claim, std::string& name) {
  const auto given = claims.member(claim);
  if (!given) return true;
  const auto text = given->text();
  if (!text || text->size() > kMaxNameBytes) return false;
  name = *text;
  return true;
}

// Reads one audience or a list (RFC 7519, section 4.1.3). Returns false if an audience is not a string or is
// too long, or if there are more than kMaxAudiences.
bool read_audiences(const Json& claims, std::vector<std::string>& audiences) {
  const auto given = claims.member("aud");
  if (!given) return true;
  bool is_valid = true;
  const auto add = [&](const Json& audience) {
    const auto text = audience.text();
    is_valid = is_valid && text && text->size() <= kMaxNameBytes && audiences.size() < kMaxAudiences;
    if (is_valid) audiences.push_back(*text);
  };
  if (given->is_array()) {
    given->for_each_element(add);
  } else {
    add(*given);
  }
  return is_valid;
}

// Returns false if `cnf` is present but has no valid x5t#S256. A confirmation method that is not supported is
// thus rejected rather than ignored, because ignoring it would remove the binding.
bool read_certificate_binding(const Json& claims, std::optional<Digest>& certificate_sha256) {
  const auto confirmation = claims.member("cnf");
  if (!confirmation) return true;
  const auto members = confirmation->is_object() ? parse_object(confirmation->raw()) : std::nullopt;
  const auto thumbprint = members ? members->member("x5t#S256") : std::nullopt;
  const auto bytes = thumbprint && thumbprint->text() ? decode_base64url(*thumbprint->text()) : std::nullopt;
  Digest digest{};
  if (!bytes || bytes->size() != digest.size()) return false;
  std::copy(bytes->begin(), bytes->end(), digest.begin());
  certificate_sha256 = digest;
  return true;
}

bool is_jwt_type(const std::string& type) { return type == "JWT" || type == "jwt" || type == "at+jwt"; }

// Returns false if the header is invalid; see parse_jws().
bool read_header(std::string_view text, Jws& jws) {
  const auto header = parse_object(text);
  if (!header || header->member("crit") || header->member("b64")) return false;
  const auto algorithm = header->member("alg");
  if (!algorithm || !algorithm->text()) return false;
  jws.algorithm = *algorithm->text();
  if (const auto kid = header->member("kid")) {
    if (!kid->text()) return false;
    jws.kid = *kid->text();
  }
  const auto type = header->member("typ");
  return !type || is_jwt_type(type->text().value_or("?"));
}

}  // namespace

std::optional<Jws> parse_jws(std::string_view token) {
  if (token.size() > kMaxTokenBytes) return std::nullopt;
  const std::size_t first_dot = token.find('.');
  if (first_dot == std::string_view::npos) return std::nullopt;
  const std::size_t second_dot = token.find('.', first_dot + 1);
  if (second_dot == std::string_view::npos) return std::nullopt;
  const auto header = decode_base64url(token.substr(0, first_dot));
  const auto payload = decode_base64url(token.substr(first_dot + 1, second_dot - first_dot - 1));
  const auto signature = decode_base64url(token.substr(second_dot + 1));
  if (!header || !payload || !signature) return std::nullopt;
  Jws jws;
  if (!read_header(*header, jws)) return std::nullopt;
  jws.signed_bytes = token.substr(0, second_dot);
  jws.signature = *signature;
  jws.payload = *payload;
  return jws;
}

std::optional<Claims> parse_claims(std::string_view payload, std::string_view tenant_claim) {
  const auto object = parse_object(payload);
  if (!object) return std::nullopt;
  Claims claims;
  std::optional<Instant> not_before;
  const bool is_valid =
      read_name(*object, "iss", claims.issuer) && read_name(*object, "sub", claims.subject) &&
      read_name(*object, tenant_claim, claims.tenant) && read_time(*object, "exp", claims.expires_at) &&
      read_time(*object, "nbf", not_before) && read_time(*object, "iat", claims.issued_at) &&
      read_audiences(*object, claims.audiences) &&
      read_certificate_binding(*object, claims.certificate_sha256);
  if (!is_valid) return std::nullopt;
  claims.not_before = not_before.value_or(Instant());
  return claims;
}

std::string sign_token(const Key& key, std::string_view kid, std::string_view payload) {
  const std::string header = R"({"alg":")" + std::string(name_of(key.algorithm())) +
                             R"(","typ":"JWT","kid":)" + json_quoted(kid) + "}";
  const std::string signed_text = encode_base64url(header) + "." + encode_base64url(payload);
  return signed_text + "." + encode_base64url(key.sign(signed_text));
}

}  // namespace ashbeam::tokens
