// Why a hit is not taken, and how a client is told (RFC 9110, section 15.5; RFC 6750, section 3).
#pragma once
#include <cstdint>
#include <string_view>

namespace ashbeam::calling {

enum class Refusal : std::uint8_t {
  kNone,
  // 401
  kMissing,
  kUnreadable,
  kAlgorithm,
  kUnknownKey,
  kSignature,
  kRevoked,
  kRetired,
  kIssuer,
  kAudience,
  kEarly,
  kExpired,
  kTooLong,
  kBinding,
  kCertificate,
  // 403
  kTenant,
  kContradiction,
  kSubject,
  kPathGroup,
  // 429
  kBusy,
  kRate,
  kInHand,
  kCount
};

constexpr std::string_view kRefusalWords[] = {
    "none",          "missing",  "unreadable", "algorithm", "key",  "signature", "revoked",     "retired",
    "issuer",        "audience", "early",      "expired",   "life", "binding",   "certificate", "tenant",
    "contradiction", "subject",  "path",       "busy",      "rate", "in-hand"};
static_assert(std::size(kRefusalWords) == static_cast<std::size_t>(Refusal::kCount));

constexpr std::string_view word_of(Refusal r) { return kRefusalWords[static_cast<std::size_t>(r)]; }
constexpr unsigned status_of(Refusal r) {
  return r == Refusal::kNone ? 200 : r < Refusal::kTenant ? 401 : r < Refusal::kBusy ? 403 : 429;
}

}  // namespace ashbeam::calling
