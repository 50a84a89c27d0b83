// The reasons for which a request is refused. Each has an HTTP status (RFC 9110, section 15.5) and a word
// that is sent to the client: in X-Refused, or in WWW-Authenticate (RFC 6750, section 3).
#pragma once
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <string_view>

namespace ashbeam::calling {

enum class Refusal : std::uint8_t {
  kNone,
  // 401: the request could not be authenticated.
  kNoCredentials,
  kMalformed,  // credentials that cannot be parsed, or that are ambiguous
  kAlgorithm,  // not supported, or not the algorithm of the key
  kUnknownKey,
  kSignature,
  kKeyRevoked,
  kKeyRetired,
  kIssuer,
  kAudience,
  kNotYetValid,
  kExpired,
  kLifetimeTooLong,     // longer than CallingSettings::max_token_lifetime
  kCertificateBinding,  // the token is bound to another certificate (RFC 8705)
  kCertificate,         // the client certificate is not valid
  // 403: the principal is authenticated, but has no right to send this request.
  kUnknownTenant,
  kTenantMismatch,  // X-Account or the certificate names another tenant than the token
  kUnknownSubject,
  kRequestClass,  // the principal has no right to the request class
  // 429: a limit of the router or of the principal has been reached.
  kVerificationsBusy,  // too many signature verifications per second
  kRateLimit,
  kInFlightLimit,  // too many requests in flight
};

struct RefusalResponse {
  Refusal refusal;
  unsigned http_status;
  std::string_view wire_name;  // the word that is sent to the client
};

// Indexed by Refusal.
constexpr RefusalResponse kRefusalResponses[] = {
    {Refusal::kNone, 200, "none"},
    {Refusal::kNoCredentials, 401, "missing"},
    {Refusal::kMalformed, 401, "unreadable"},
    {Refusal::kAlgorithm, 401, "algorithm"},
    {Refusal::kUnknownKey, 401, "key"},
    {Refusal::kSignature, 401, "signature"},
    {Refusal::kKeyRevoked, 401, "revoked"},
    {Refusal::kKeyRetired, 401, "retired"},
    {Refusal::kIssuer, 401, "issuer"},
    {Refusal::kAudience, 401, "audience"},
    {Refusal::kNotYetValid, 401, "early"},
    {Refusal::kExpired, 401, "expired"},
    {Refusal::kLifetimeTooLong, 401, "life"},
    {Refusal::kCertificateBinding, 401, "binding"},
    {Refusal::kCertificate, 401, "certificate"},
    {Refusal::kUnknownTenant, 403, "tenant"},
    {Refusal::kTenantMismatch, 403, "contradiction"},
    {Refusal::kUnknownSubject, 403, "subject"},
    {Refusal::kRequestClass, 403, "path"},
    {Refusal::kVerificationsBusy, 429, "busy"},
    {Refusal::kRateLimit, 429, "rate"},
    {Refusal::kInFlightLimit, 429, "in-hand"},
};
constexpr std::size_t kRefusalCount = std::size(kRefusalResponses);

constexpr bool refusal_responses_are_in_order() {
  for (std::size_t i = 0; i < kRefusalCount; ++i) {
    if (static_cast<std::size_t>(kRefusalResponses[i].refusal) != i) return false;
  }
  return true;
}
static_assert(refusal_responses_are_in_order());
static_assert(kRefusalCount == static_cast<std::size_t>(Refusal::kInFlightLimit) + 1);

// Returns the word that is sent to the client.
constexpr std::string_view name_of(Refusal refusal) {
  return kRefusalResponses[static_cast<std::size_t>(refusal)].wire_name;
}
constexpr unsigned http_status_of(Refusal refusal) {
  return kRefusalResponses[static_cast<std::size_t>(refusal)].http_status;
}

}  // namespace ashbeam::calling
