// Verifies a token that has not been seen before: signature, then claims. Whatever is wrong with a token, one
// signature is computed for it, so that the time that it takes tells nothing of what is wrong. No I/O; the
// time is an argument, of the clock that tokens are dated by.
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
  // kNone: `token` holds what the token says, without a digest, a subject hash and what a directory makes of
  // it. Else the first fault, in the order: form, key, signature, claims, lifetime, expiry, state of the key.
  Refusal verify(std::string_view text, const CallingSettings& settings, const KeyRing& key_ring,
                 Instant wall_now, VerifiedToken& token);
  std::uint64_t verification_count() const { return verification_count_; }

 private:
  Refusal check_signature(std::string_view text, const std::optional<tokens::Jws>& jws,
                          const KeyRing& key_ring, KeyRef& key) const;
  void verify_with_dummy_key(tokens::Algorithm algorithm, std::string_view signed_bytes,
                             std::string_view signature) const;

  std::array<tokens::Key, 2> dummy_keys_;  // by algorithm: verified with where there is no key
  std::uint64_t verification_count_ = 0;
};

}  // namespace ashbeam::calling
