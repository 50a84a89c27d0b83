#include "calling/token_verifier.hpp"

#include <algorithm>
#include <string>

namespace ashbeam::calling {

namespace {

Refusal read_claims(std::string_view payload, const CallingSettings& settings, VerifiedToken& token) {
  const auto claims = tokens::parse_claims(payload, settings.tenant_claim);
  if (!claims || !claims->expires_at || !claims->issued_at || claims->subject.empty())
    return Refusal::kMalformed;
  const auto& audiences = claims->audiences;
  const bool is_addressed_to_us =
      settings.audience.empty() ||
      std::find(audiences.begin(), audiences.end(), settings.audience) != audiences.end();
  if (!is_addressed_to_us) return Refusal::kAudience;
  token.issuer = claims->issuer;
  token.tenant = claims->tenant;
  token.subject = claims->subject;
  token.issued_at = *claims->issued_at;
  token.not_before = claims->not_before;
  token.expires_at = *claims->expires_at;
  token.certificate_sha256 = claims->certificate_sha256;
  return token.expires_at - token.issued_at > settings.max_token_lifetime ? Refusal::kLifetimeTooLong
                                                                          : Refusal::kNone;
}

}  // namespace

TokenVerifier::TokenVerifier()
    : dummy_keys_{tokens::Key::generate(tokens::Algorithm::kEdDsa),
                  tokens::Key::generate(tokens::Algorithm::kEs256)} {}

void TokenVerifier::verify_with_dummy_key(tokens::Algorithm algorithm, std::string_view signed_bytes,
                                          std::string_view signature) const {
  static_cast<void>(dummy_keys_[static_cast<std::size_t>(algorithm)].verify(signed_bytes, signature));
}

Refusal TokenVerifier::check_signature(std::string_view text, const std::optional<tokens::Jws>& jws,
                                       const KeyRing& key_ring, KeyRef& key) const {
  // The token's `alg` is not trusted: the signature is verified only with keys of its kid that are for that
  // algorithm.
  const auto algorithm = jws ? tokens::parse_algorithm(jws->algorithm) : std::nullopt;
  if (!algorithm) {
    verify_with_dummy_key(tokens::Algorithm::kEdDsa, text, std::string(tokens::kSignatureBytes, '\1'));
    return jws ? Refusal::kAlgorithm : Refusal::kMalformed;
  }
  bool verified = false;
  const bool tried = key_ring.try_candidates(jws->kid, *algorithm, [&](KeyRef candidate) {
    verified = key_ring.key(candidate).verify(jws->signed_bytes, jws->signature);
    if (verified) key = candidate;
    return verified;
  });
  if (!tried) {
    verify_with_dummy_key(*algorithm, jws->signed_bytes, jws->signature);
    return key_ring.has_kid(jws->kid) ? Refusal::kAlgorithm : Refusal::kUnknownKey;
  }
  return verified ? Refusal::kNone : Refusal::kSignature;
}

Refusal TokenVerifier::verify(std::string_view text, const CallingSettings& settings, const KeyRing& key_ring,
                              Instant wall_now, VerifiedToken& token) {
  ++verification_count_;
  const auto jws = tokens::parse_jws(text);
  Refusal refusal = check_signature(text, jws, key_ring, token.key);
  if (refusal != Refusal::kNone) return refusal;
  refusal = read_claims(jws->payload, settings, token);
  if (refusal != Refusal::kNone) return refusal;
  // The validity times and the state of the key are checked again for each request. They are checked here as
  // well, so that a token that is expired or whose key is not valid is not cached.
  if (wall_now > token.expires_at + settings.leeway) return Refusal::kExpired;
  return key_ring.check(token.key, token.issued_at, wall_now);
}

}  // namespace ashbeam::calling
