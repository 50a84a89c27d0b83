// Verifies a token that is not cached: first its signature, then its claims. At least one signature is
// verified for each token, whatever is wrong with it, so that the response time does not reveal which check
// failed. Callers pass the current time of the clock that tokens are dated by, the wall clock.
#pragma once
#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

#include "calling/key_ring.hpp"
#include "calling/refusal.hpp"
#include "calling/settings.hpp"
#include "calling/token_cache.hpp"
#include "tokens/jws.hpp"

namespace ashbeam::calling {

class TokenVerifier {
 public:
  TokenVerifier();
  // On Refusal::kNone, `token` holds the claims and the key of the token. The caller sets its digest,
  // principal and subject hash, and resolves it with the tenant directory. Otherwise returns the first check
  // that failed, in this order: format, key, signature, claims, lifetime, expiry, state of the key.
  Refusal verify(std::string_view text, const CallingSettings& settings, const KeyRing& key_ring,
                 Instant wall_now, VerifiedToken& token);
  std::uint64_t verification_count() const { return verification_count_; }

 private:
  Refusal check_signature(std::string_view text, const std::optional<tokens::Jws>& jws,
                          const KeyRing& key_ring, KeyRef& key) const;
  void verify_with_dummy_key(tokens::Algorithm algorithm, std::string_view signed_bytes,
                             std::string_view signature) const;

  std::array<tokens::Key, 2> dummy_keys_;  // by algorithm; used where no key matches the token
  std::uint64_t verification_count_ = 0;
};

}  // namespace ashbeam::calling
