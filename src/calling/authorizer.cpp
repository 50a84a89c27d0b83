#include "calling/authorizer.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "tokens/jws.hpp"

namespace ashbeam::calling {

namespace {

constexpr std::size_t kRefusedTokenCacheSlots = 1024;
constexpr Duration kRefusedTokenRetention = Duration::s(10);
constexpr std::size_t kKnownSubjectBudgetSlots = 4096;
constexpr double kKnownSubjectVerificationsPerS = 2;
constexpr double kKnownSubjectVerificationBurst = 4;
constexpr Duration kMinRetryAfter = Duration::ms(1);

KeyRing::Settings key_ring_settings(const CallingSettings& settings) {
  KeyRing::Settings result;
  result.retiring_key_overlap = settings.retiring_key_overlap;
  result.leeway = settings.leeway;
  result.revoked_retention = std::max(result.revoked_retention, settings.max_token_lifetime * 2);
  return result;
}

Budget make_verification_budget(const CallingSettings& settings) {
  return {settings.verifications_per_s, std::max(1.0, settings.verifications_per_s / 10)};
}

// Returns whether the refusal applies to each later use of the same token.
bool is_permanent(Refusal refusal) {
  return refusal == Refusal::kKeyRevoked || refusal == Refusal::kKeyRetired || refusal == Refusal::kExpired;
}

bool is_in_flight_limit_reached(std::uint32_t in_flight, const RouterLimit& limit) {
  return limit.max_in_flight > 0 && in_flight >= limit.max_in_flight;
}

}  // namespace

Authorizer::Authorizer(const CallingSettings& settings, std::uint64_t hash_seed, Instant now)
    : settings_(settings), directory_(std::make_unique<TenantDirectory>(settings)), hash_seed_(hash_seed),
      key_ring_(key_ring_settings(settings)), verified_tokens_(settings.max_cached_tokens),
      refused_tokens_(kRefusedTokenCacheSlots), subjects_(settings.max_subjects),
      unauthenticated_verification_budget_(make_verification_budget(settings)),
      preferred_verification_budget_(make_verification_budget(settings)),
      known_subject_verification_budgets_(kKnownSubjectBudgetSlots, kKnownSubjectVerificationsPerS,
                                          kKnownSubjectVerificationBurst) {
  tenant_usage_.assign_slots(*directory_, now);
}

void Authorizer::update_settings(const CallingSettings& settings, Instant now) {
  auto directory = std::make_unique<TenantDirectory>(settings);
  settings_ = settings;
  directory_ = std::move(directory);
  key_ring_.set_settings(key_ring_settings(settings));
  ++directory_epoch_;
  tenant_usage_.assign_slots(*directory_, now);
}

// ---- Authentication ----

std::uint64_t Authorizer::hash_principal(const std::string& principal) const {
  return XXH3_64bits_withSeed(principal.data(), principal.size(), hash_seed_);
}

Refusal Authorizer::authenticate(const Credentials& credentials, ConnectionHistory& history, Instant now,
                                 Identity& identity, Duration& retry_after) {
  identity.tenant = Identity::kNoTenant;
  identity.principal.clear();
  const auto text = bearer_token(credentials.authorization);
  Refusal refusal = Refusal::kNone;
  if (credentials.is_ambiguous) {
    refusal = Refusal::kMalformed;  // an endpoint might use the other value
  } else if (text) {
    refusal = authenticate_token(*text, credentials, history, now, identity, retry_after);
  } else if (credentials.certificate) {
    refusal = authenticate_certificate(*credentials.certificate, now, identity);
  } else if (settings_.requires_authentication) {
    refusal = credentials.authorization.empty() ? Refusal::kNoCredentials : Refusal::kMalformed;
  } else {
    return Refusal::kNone;
  }
  if (refusal != Refusal::kNone) return record_refusal(refusal);
  history.is_authenticated = true;
  const TenantDirectory::Tenant& tenant = (*directory_)[identity.tenant];
  if (!credentials.account.empty() && credentials.account != tenant.name)
    return record_refusal(Refusal::kTenantMismatch);
  identity.policy_tenant = tenant.policy_tenant;
  return Refusal::kNone;
}

Refusal Authorizer::authenticate_certificate(const ClientCertificate& certificate, Instant now,
                                             Identity& identity) const {
  const Instant wall_now = to_wall_clock(now);
  if (wall_now < certificate.not_before - settings_.leeway || wall_now > certificate.not_after)
    return Refusal::kCertificate;
  identity.tenant = directory_->find_by_organisation(certificate.organisation);
  if (identity.tenant == TenantDirectory::kNone) return Refusal::kUnknownTenant;
  const TenantDirectory::Tenant& tenant = (*directory_)[identity.tenant];
  identity.rule = tenant.find_rule(certificate.common_name);
  if (identity.rule == TenantDirectory::kNone) return Refusal::kUnknownSubject;
  identity.principal = principal_name(tenant.name, certificate.common_name);
  identity.subject_hash = hash_principal(identity.principal);
  return Refusal::kNone;
}

Refusal Authorizer::authenticate_token(std::string_view text, const Credentials& credentials,
                                       const ConnectionHistory& history, Instant now, Identity& identity,
                                       Duration& retry_after) {
  if (text.empty() || text.size() > tokens::kMaxTokenBytes) return Refusal::kMalformed;
  const tokens::Digest digest = tokens::sha256(text);
  VerifiedToken* token = verified_tokens_.find(digest);
  if (!token) {
    const Refusal refusal = verify_new_token(text, digest, history, now, token, retry_after);
    if (refusal != Refusal::kNone) return refusal;
  }
  Refusal refusal = check_validity(*token, credentials.certificate, now);
  if (refusal == Refusal::kNone && token->directory_epoch != directory_epoch_)
    refusal = resolve_tenant(*token);
  if (is_permanent(refusal)) verified_tokens_.erase(digest);
  if (refusal != Refusal::kNone) return refusal;
  identity.tenant = token->tenant_index;
  identity.rule = token->rule;
  identity.subject_hash = token->subject_hash;
  identity.principal = token->principal;
  subjects_.prefetch(token->subject_hash);
  // A token must not be sent over a connection whose certificate belongs to another tenant. A token that is
  // bound to the certificate has been checked above.
  if (credentials.certificate && !token->certificate_sha256) {
    const std::uint32_t tenant = directory_->find_by_organisation(credentials.certificate->organisation);
    if (tenant != TenantDirectory::kNone && tenant != identity.tenant) return Refusal::kTenantMismatch;
  }
  return Refusal::kNone;
}

// On Refusal::kNone, `token` points to the entry in the cache.
Refusal Authorizer::verify_new_token(std::string_view text, const tokens::Digest& digest,
                                     const ConnectionHistory& history, Instant now, VerifiedToken*& token,
                                     Duration& retry_after) {
  const Refusal known = refused_tokens_.find(digest, key_ring_.epoch(), now);
  if (known != Refusal::kNone) return known;
  // Verifying a token costs the router more than sending it costs the client, so verifications are limited.
  if (!try_spend_verification(text, history, now, retry_after)) return Refusal::kVerificationsBusy;
  VerifiedToken new_token;
  const Refusal refusal = verifier_.verify(text, settings_, key_ring_, to_wall_clock(now), new_token);
  if (refusal != Refusal::kNone) {
    if (refusal != Refusal::kNotYetValid)
      refused_tokens_.insert(digest, key_ring_.epoch(), refusal, now + kRefusedTokenRetention);
    return refusal;
  }
  new_token.digest = digest;
  new_token.principal = principal_name(new_token.tenant, new_token.subject);
  new_token.subject_hash = hash_principal(new_token.principal);
  token = &verified_tokens_.insert(std::move(new_token), now);
  return Refusal::kNone;
}

bool Authorizer::try_spend_verification(std::string_view text, const ConnectionHistory& history, Instant now,
                                        Duration& retry_after) {
  if (!history.is_authenticated && unauthenticated_verification_budget_.try_spend(now)) return true;
  const bool preferred = history.is_authenticated || try_spend_known_subject_verification(text, now);
  if (preferred && preferred_verification_budget_.try_spend(now)) return true;
  const Budget& budget = preferred ? preferred_verification_budget_ : unauthenticated_verification_budget_;
  retry_after = std::max(kMinRetryAfter, budget.wait_time(now));
  return false;
}

// Returns whether a token that is not verified yet claims a recently admitted subject whose verification
// budget is not exhausted. Spends one verification of that budget if so.
bool Authorizer::try_spend_known_subject_verification(std::string_view text, Instant now) {
  const auto jws = tokens::parse_jws(text);
  const auto claims = jws ? tokens::parse_claims(jws->payload, settings_.tenant_claim) : std::nullopt;
  if (!claims) return false;
  const std::uint64_t hash = hash_principal(principal_name(claims->tenant, claims->subject));
  return subjects_.find(hash) != SubjectTable::kNone &&
         known_subject_verification_budgets_.try_use(hash, now);
}

Refusal Authorizer::check_validity(const VerifiedToken& token, const ClientCertificate* certificate,
                                   Instant now) const {
  const Instant wall_now = to_wall_clock(now);
  const Refusal key = key_ring_.check(token.key, token.issued_at, wall_now);
  if (key != Refusal::kNone) return key;
  if (wall_now > token.expires_at + settings_.leeway) return Refusal::kExpired;
  if (wall_now < token.not_before - settings_.leeway || wall_now < token.issued_at - settings_.leeway)
    return Refusal::kNotYetValid;
  if (token.certificate_sha256 && (!certificate || certificate->sha256 != *token.certificate_sha256))
    return Refusal::kCertificateBinding;
  return Refusal::kNone;
}

Refusal Authorizer::resolve_tenant(VerifiedToken& token) const {
  token.tenant_index = directory_->find_by_name(token.tenant);
  if (token.tenant_index == TenantDirectory::kNone) return Refusal::kUnknownTenant;
  const TenantDirectory::Tenant& tenant = (*directory_)[token.tenant_index];
  if (!tenant.issuer.empty() && tenant.issuer != token.issuer) return Refusal::kIssuer;
  token.rule = tenant.find_rule(token.subject);
  if (token.rule == TenantDirectory::kNone) return Refusal::kUnknownSubject;
  token.directory_epoch = directory_epoch_;
  return Refusal::kNone;
}

// ---- Admission ----

Refusal Authorizer::admit(const Identity& identity, unsigned request_class, Instant now, QuotaHold& hold,
                          Duration& retry_after) {
  if (identity.tenant == Identity::kNoTenant) return Refusal::kNone;
  const TenantDirectory::Tenant& tenant = (*directory_)[identity.tenant];
  const TenantDirectory::Rule& rule = tenant.rules[identity.rule];
  if (request_class >= rule.allowed.size() || !rule.allowed[request_class])
    return record_refusal(Refusal::kRequestClass);

  const std::uint32_t tenant_slot = tenant_usage_.slot_of(identity.tenant);
  TenantUsage::Usage& usage = tenant_usage_[tenant_slot];
  const std::uint32_t subject_slot = subjects_.find_or_insert(identity.subject_hash, now);
  if (subject_slot == SubjectTable::kNone ||
      is_in_flight_limit_reached(subjects_.in_flight(subject_slot), rule.limit) ||
      is_in_flight_limit_reached(usage.in_flight, tenant.limit)) {
    // Without a slot, all subjects of the same set in the table have requests in flight. By the end of
    // `max_request_duration`, each request that is now in flight has ended.
    retry_after = settings_.max_request_duration;
    return record_refusal(Refusal::kInFlightLimit);
  }

  const std::int64_t now_ns = nanoseconds_of(now);
  Bucket& subject_bucket = subjects_.bucket(subject_slot);
  const std::int64_t subject_wait_ns = subject_bucket.wait_ns(rule.limit, now_ns);
  const std::int64_t tenant_wait_ns = usage.bucket.wait_ns(tenant.limit, now_ns);
  if (subject_wait_ns > 0 || tenant_wait_ns > 0) {
    // A subject over its own limit is not assigned a retry slot of its tenant: that would make the tenant's
    // other subjects wait longer.
    const std::int64_t retry_slot_wait_ns = subject_wait_ns > 0
                                                ? subject_bucket.assign_retry_slot_ns(rule.limit, now_ns)
                                                : usage.bucket.assign_retry_slot_ns(tenant.limit, now_ns);
    retry_after = Duration::us(std::max(retry_slot_wait_ns, tenant_wait_ns) / 1000 + 1);
    return record_refusal(Refusal::kRateLimit);
  }
  subject_bucket.consume(rule.limit, now_ns);
  usage.bucket.consume(tenant.limit, now_ns);
  ++subjects_.in_flight(subject_slot);
  ++usage.in_flight;
  hold = {tenant_slot, subject_slot};
  return Refusal::kNone;
}

void Authorizer::release(const QuotaHold& hold) {
  if (hold.tenant_slot == QuotaHold::kNone) return;
  --tenant_usage_[hold.tenant_slot].in_flight;
  --subjects_.in_flight(hold.subject_slot);
}

}  // namespace ashbeam::calling
