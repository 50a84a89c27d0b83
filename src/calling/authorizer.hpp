// Authenticates the sender of each request and decides whether the request may be admitted: by the tenant's
// and subject's rights to the request class, and by their rate and in-flight limits. The authorizer performs
// no I/O. Callers pass the current time, which must not decrease.
//
// Order of calls for a request: authenticate(), then admit() with the request class. If admit() returns
// Refusal::kNone, release() must be called exactly once with the quota hold, when the request has ended.
// update_keys() and update_settings() may be called between any two of these calls. Both take effect with
// the next call, also for tokens that were verified before. Errors are reported as a Refusal.
//
// A token's signature is verified once; after that the token is recognized by the SHA-256 of its text. The
// state of its key, its validity times and its tenant's rights are checked again for each request. A token
// that fails verification is remembered, so that the same text costs no second verification.
//
// Signature verifications are limited per second by two budgets. The first is for connections that have not
// authenticated yet. The second, preferred one is for connections that have authenticated before, and for
// tokens that claim a recently admitted subject (at most two verifications per second for each subject). A
// flood of tokens that name no known subject therefore does not delay these clients. A flood that names many
// known subjects can only delay tokens that have not been verified yet, on connections that have not
// authenticated yet.
#pragma once
#include <array>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "calling/budget.hpp"
#include "calling/key_ring.hpp"
#include "calling/principal.hpp"
#include "calling/refusal.hpp"
#include "calling/refused_token_cache.hpp"
#include "calling/settings.hpp"
#include "calling/subject_table.hpp"
#include "calling/tenant_directory.hpp"
#include "calling/tenant_usage.hpp"
#include "calling/token_cache.hpp"
#include "calling/token_verifier.hpp"

namespace ashbeam::calling {

// Identifies the in-flight counts that an admitted request occupies, from admit() to release().
struct QuotaHold {
  static constexpr std::uint32_t kNone = UINT32_MAX;
  std::uint32_t tenant_slot = kNone;   // slot in TenantUsage; kNone: the request occupies nothing
  std::uint32_t subject_slot = kNone;  // slot in SubjectTable
};

class Authorizer {
 public:
  // `hash_seed` seeds the hash of principals. It must not be known to clients, so that they cannot choose the
  // table slots that their principals map to.
  Authorizer(const CallingSettings& settings, std::uint64_t hash_seed, Instant now);

  // Determines who sends a request. On Refusal::kNone, `identity` is filled in; it names no tenant where
  // authentication is optional and the request has no credentials. On kVerificationsBusy, `retry_after` is
  // set to the time after which the client should try again.
  Refusal authenticate(const Credentials& credentials, ConnectionHistory& history, Instant now,
                       Identity& identity, Duration& retry_after);
  // Decides whether the request may be sent to an endpoint now. On Refusal::kNone, `hold` must be passed to
  // release() later. On kRateLimit and kInFlightLimit, `retry_after` is set to the time after which the
  // client should try again.
  Refusal admit(const Identity& identity, unsigned request_class, Instant now, QuotaHold& hold,
                Duration& retry_after);
  // Called once for each admitted request, when it has ended.
  void release(const QuotaHold& hold);

  // Replaces the listed keys. Keys that are no longer listed retire; see KeyRing::update().
  KeyRing::UpdateSummary update_keys(std::span<const tokens::KeyEntry> listed, Instant now) {
    return key_ring_.update(listed, to_wall_clock(now));
  }
  // Replaces the settings. Requests in flight and consumed quotas are retained. The verification rates and
  // the table sizes keep the values that they were constructed with.
  void update_settings(const CallingSettings& settings, Instant now);
  // Sets the difference between the machine's wall clock and the time that callers pass; positive if the wall
  // clock is ahead. The validity times of tokens, keys and certificates are compared with the wall clock,
  // which may be adjusted while the process runs. Rates and waiting times use the time that callers pass.
  void set_wall_clock_offset(Duration offset) { wall_clock_offset_ = offset; }
  Duration wall_clock_offset() const { return wall_clock_offset_; }

  const KeyRing& key_ring() const { return key_ring_; }
  std::size_t cached_token_count() const { return verified_tokens_.size(); }
  std::uint64_t verification_count() const { return verifier_.verification_count(); }
  // Returns how many requests have been refused for this reason.
  std::uint64_t refusal_count(Refusal refusal) const {
    return refusal_counts_[static_cast<std::size_t>(refusal)];
  }

 private:
  // Counts the refusal and returns it.
  Refusal record_refusal(Refusal refusal) {
    ++refusal_counts_[static_cast<std::size_t>(refusal)];
    return refusal;
  }
  Instant to_wall_clock(Instant now) const { return now + wall_clock_offset_; }
  std::uint64_t hash_principal(const std::string& principal) const;

  Refusal authenticate_certificate(const ClientCertificate& certificate, Instant now,
                                   Identity& identity) const;
  Refusal authenticate_token(std::string_view text, const Credentials& credentials,
                             const ConnectionHistory& history, Instant now, Identity& identity,
                             Duration& retry_after);
  Refusal verify_new_token(std::string_view text, const tokens::Digest& digest,
                           const ConnectionHistory& history, Instant now, VerifiedToken*& token,
                           Duration& retry_after);
  bool try_spend_verification(std::string_view text, const ConnectionHistory& history, Instant now,
                              Duration& retry_after);
  bool try_spend_known_subject_verification(std::string_view text, Instant now);
  Refusal check_validity(const VerifiedToken& token, const ClientCertificate* certificate, Instant now) const;
  Refusal resolve_tenant(VerifiedToken& token) const;

  CallingSettings settings_;
  std::unique_ptr<TenantDirectory> directory_;
  std::uint64_t directory_epoch_ = 1;  // incremented with each new directory
  std::uint64_t hash_seed_;
  Duration wall_clock_offset_;
  KeyRing key_ring_;
  TokenVerifier verifier_;
  TokenCache verified_tokens_;
  RefusedTokenCache refused_tokens_;
  SubjectTable subjects_;
  TenantUsage tenant_usage_;
  Budget unauthenticated_verification_budget_;
  Budget preferred_verification_budget_;
  HashedBudgets known_subject_verification_budgets_;
  std::array<std::uint64_t, kRefusalCount> refusal_counts_{};
};

}  // namespace ashbeam::calling
