// Who sends a request, and may they: the decision on each request before it is taken. No I/O; the time is an
// argument and never goes back.
//
// Order of calls, for a request: authenticate(), then admit() with its request class; if that admits it,
// release() exactly once with the quota hold, when the request has left the router. update_keys() and
// update_settings() at any time between: both count from the next call on, also for tokens that were verified
// before. Errors: a Refusal.
//
// A token is verified once and then known by its hash; its key's state, its times and its tenant's rights are
// checked again at each request. A refused one costs one verification the first time, and none for the same
// text again. Verifications are limited by the second, apart for those who have reason to be heard:
// connections on which a principal has been proven, and tokens that name a subject that was admitted lately,
// two a second for each name. A flood that knows no such names does not stop these; one that knows many can
// keep their new tokens on new connections waiting, nothing else.
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

// What a request holds of its quotas, from admit() to release().
struct QuotaHold {
  static constexpr std::uint32_t kNone = UINT32_MAX;
  std::uint32_t tenant_slot = kNone;  // kNone: nothing is to be released
  std::uint32_t subject_slot = kNone;
};

class Authorizer {
 public:
  // `hash_seed` keeps clients from choosing the slots that they fall on.
  Authorizer(const CallingSettings& settings, std::uint64_t hash_seed, Instant now);

  // kNone: `identity` says who it is. kVerificationsBusy: `retry_after` says when to try again.
  Refusal authenticate(const Credentials& credentials, ConnectionHistory& history, Instant now,
                       Identity& identity, Duration& retry_after);
  // kNone: `hold` is to be released. kRateLimit, kInFlightLimit: `retry_after` says when there is capacity.
  Refusal admit(const Identity& identity, unsigned request_class, Instant now, QuotaHold& hold,
                Duration& retry_after);
  void release(const QuotaHold& hold);

  KeyRing::UpdateSummary update_keys(std::span<const tokens::KeyEntry> listed, Instant now) {
    return key_ring_.update(listed, to_wall_clock(now));
  }
  // What is in flight and has been used up stands. Rates of verifications and the sizes of tables do not
  // change.
  void update_settings(const CallingSettings& settings, Instant now);
  // Times of tokens, keys and certificates are of the machine's clock, which may be set while we run; rates
  // and waits are of the time handed in.
  void set_wall_clock_offset(Duration ahead) { wall_clock_offset_ = ahead; }
  Duration wall_clock_offset() const { return wall_clock_offset_; }

  const KeyRing& key_ring() const { return key_ring_; }
  std::size_t cached_token_count() const { return verified_tokens_.size(); }
  std::uint64_t verification_count() const { return verifier_.verification_count(); }
  std::uint64_t refusal_count(Refusal refusal) const {
    return refusal_counts_[static_cast<std::size_t>(refusal)];
  }

 private:
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
  std::uint64_t directory_epoch_ = 1;  // grows with each new directory
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
