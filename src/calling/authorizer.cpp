#include "calling/authorizer.hpp"

#include <xxhash.h>

#include <algorithm>

#include "protocol/http.hpp"
#include "tokens/jws.hpp"

namespace ashbeam::calling {

namespace {

// Guards against names that would end the header line that hosts read, or look like another name there.
void append_escaped(std::string& to, std::string_view name) {
  constexpr char kHex[] = "0123456789ABCDEF";
  for (const char c : name) {
    const bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                       std::string_view("-._~@:+").find(c) != std::string_view::npos;
    if (plain) to += c;
    else
      to.append({'%', kHex[static_cast<unsigned char>(c) >> 4U], kHex[static_cast<unsigned char>(c) & 15U]});
  }
}

std::string caller_text(std::string_view tenant, std::string_view subject) {
  std::string all;
  append_escaped(all, tenant);
  all += '/';
  append_escaped(all, subject);
  return all;
}

// After "Bearer", in whatever case (RFC 9110, section 11.1); nothing where another scheme stands there.
bool bearer(std::string_view value, std::string_view& token) {
  constexpr std::string_view kScheme = "Bearer";
  if (value.size() < kScheme.size() || !http::same_name(value.substr(0, kScheme.size()), kScheme))
    return false;
  value.remove_prefix(kScheme.size());
  if (!value.empty() && value[0] != ' ') return false;
  token = http::trimmed(value);
  return true;
}

KeyRing::Times times_of(const CallingSettings& terms) {
  KeyRing::Times t;
  t.overlap = terms.overlap, t.leeway = terms.leeway;
  t.revoked_kept = std::max(t.revoked_kept, terms.longest_life * 2);
  return t;
}

}  // namespace

Authorizer::Authorizer(const CallingSettings& terms, std::uint64_t seed, Instant now)
    : terms_(terms), directory_(std::make_unique<Directory>(terms)), seed_(seed), ring_(times_of(terms)),
      granted_(terms.cached_tokens), refused_tokens_(1024), subjects_(terms.subjects),
      unproven_(terms.verifications_per_s, std::max(1.0, terms.verifications_per_s / 10)),
      proven_(terms.verifications_per_s, std::max(1.0, terms.verifications_per_s / 10)),
      named_(4096, 2, 4), decoys_{tokens::Key::fresh(tokens::Algorithm::kEdDsa),
                                  tokens::Key::fresh(tokens::Algorithm::kEs256)} {
  place_tenants(now);
}

// Tenants keep their places by name; one that is gone keeps it until its last hit is over.
void Authorizer::place_tenants(Instant now) {
  std::erase_if(ids_, [&](const auto& named) {
    return tenants_[named.second].in_hand == 0 && directory_->by_name(named.first) == Directory::kNone;
  });
  std::vector<bool> used(tenants_.size(), false);
  for (const auto& [name, id] : ids_) used[id] = true;
  place_of_.assign(directory_->size(), 0);
  std::uint32_t next = 0;
  for (std::uint32_t i = 0; i < directory_->size(); ++i) {
    const auto known = ids_.find((*directory_)[i].name);
    std::uint32_t id = 0;
    if (known != ids_.end()) {
      id = known->second;
    } else {
      while (next < used.size() && used[next]) ++next;
      if (next == used.size()) used.push_back(true), tenants_.emplace_back();
      id = next;
      used[id] = true;
      ids_.emplace((*directory_)[i].name, id);
      tenants_[id] = Standing{};
      tenants_[id].bucket.start(now.us() * 1000, INT64_MIN, INT64_MIN);
    }
    place_of_[i] = id;
  }
}

void Authorizer::terms(const CallingSettings& terms, Instant now) {
  auto next = std::make_unique<Directory>(terms);
  terms_ = terms;
  directory_ = std::move(next);
  ring_.times(times_of(terms));
  ++epoch_;
  place_tenants(now);
}

// ---- Who it is ----

std::uint64_t Authorizer::hash_of(const std::string& caller) const {
  return XXH3_64bits_withSeed(caller.data(), caller.size(), seed_);
}

Refusal Authorizer::identify(const Asked& asked, Presence& presence, Instant now, Identity& into,
                             Span& retry_after) {
  into.tenant = Directory::kNone;
  into.caller.clear();
  std::string_view text;
  const bool bears = !asked.authorization.empty() && bearer(asked.authorization, text);
  Refusal why = Refusal::kNone;
  if (asked.twice) {
    why = Refusal::kUnreadable;  // or a host might take the other one
  } else if (bears) {
    why = token(text, asked, presence, now, into, retry_after);
  } else if (asked.certificate) {
    why = certificate(*asked.certificate, now, into);
  } else if (terms_.required) {
    why = asked.authorization.empty() ? Refusal::kMissing : Refusal::kUnreadable;
  } else {
    return Refusal::kNone;
  }
  if (why != Refusal::kNone) return count(why);
  presence.proven = true;
  const Directory::Tenant& tenant = (*directory_)[into.tenant];
  if (!asked.account.empty() && asked.account != tenant.name) return count(Refusal::kContradiction);
  into.customer = tenant.customer;
  return Refusal::kNone;
}

Refusal Authorizer::certificate(const Certificate& c, Instant now, Identity& into) const {
  const Instant wall = now + wall_ahead_;
  if (wall < c.not_before - terms_.leeway || wall > c.not_after) return Refusal::kCertificate;
  into.tenant = directory_->by_organisation(c.organisation);
  if (into.tenant == Directory::kNone) return Refusal::kTenant;
  into.rule = (*directory_)[into.tenant].rule_of(c.name);
  if (into.rule == Directory::kNone) return Refusal::kSubject;
  into.caller = caller_text((*directory_)[into.tenant].name, c.name);
  into.hash = hash_of(into.caller);
  return Refusal::kNone;
}

Refusal Authorizer::token(std::string_view text, const Asked& asked, Presence& presence, Instant now,
                          Identity& into, Span& retry_after) {
  if (text.empty() || text.size() > tokens::kLongestToken) return Refusal::kUnreadable;
  const tokens::Digest digest = tokens::digest_of(text);
  Grant* grant = granted_.find(digest);
  if (!grant) {
    const Refusal known = refused_tokens_.find(digest, ring_.epoch(), now);
    if (known != Refusal::kNone) return known;
    // Guards against a flood of tokens that cost us more than their sender.
    if (!may_verify(text, presence, now, retry_after)) return Refusal::kBusy;
    Grant fresh;
    fresh.digest = digest;
    const Refusal why = verify(text, fresh, now);
    if (why != Refusal::kNone) {
      // A key that is unknown today may be told tomorrow: that is another epoch of the ring.
      if (why != Refusal::kEarly) refused_tokens_.put(digest, ring_.epoch(), why, now + Span::s(10));
      return why;
    }
    grant = &granted_.put(std::move(fresh), now);
  }
  Refusal why = times(*grant, asked.certificate, now);
  if (why == Refusal::kNone && grant->epoch != epoch_) why = resolve(*grant);
  if (why == Refusal::kRevoked || why == Refusal::kRetired || why == Refusal::kExpired)
    granted_.erase(digest);
  if (why != Refusal::kNone) return why;
  identity(*grant, into);
  // Guards against a certificate of one tenant that carries another's token.
  if (asked.certificate && !grant->bound) {
    const std::uint32_t other = directory_->by_organisation(asked.certificate->organisation);
    if (other != Directory::kNone && other != into.tenant) return Refusal::kContradiction;
  }
  return Refusal::kNone;
}

bool Authorizer::may_verify(std::string_view text, const Presence& presence, Instant now, Span& retry_after) {
  if (!presence.proven && unproven_.take(now)) return true;
  bool heard = presence.proven;
  if (!heard) {
    const auto jws = tokens::split(text);
    const auto claims = jws ? tokens::read_claims(jws->payload, terms_.tenant_claim) : std::nullopt;
    if (claims) {
      const std::string caller = caller_text(claims->tenant, claims->subject);
      const std::uint64_t hash = hash_of(caller);
      heard = subjects_.find(hash) != Subjects::kNone && named_.take(hash, now);
    }
  }
  if (heard && proven_.take(now)) return true;
  retry_after = std::max(Span::ms(1), (heard ? proven_ : unproven_).wait(now));
  return false;
}

// Whatever is wrong, one signature is computed; the first fault in the order below is told.
Refusal Authorizer::verify(std::string_view text, Grant& grant, Instant now) {
  ++verifications_;
  const auto jws = tokens::split(text);
  // The token names an algorithm; what counts is whether one of its key's is that.
  const auto algorithm = jws ? tokens::algorithm_of(jws->alg) : std::nullopt;
  bool found = false;
  if (algorithm) {
    const bool tried = ring_.each(jws->kid, *algorithm, [&](KeyRef key) {
      if (!ring_.key(key).verifies(jws->signed_bytes, jws->signature)) return false;
      grant.key = key;
      return found = true;
    });
    if (!tried) {
      static_cast<void>(
          decoys_[static_cast<std::size_t>(*algorithm)].verifies(jws->signed_bytes, jws->signature));
      return ring_.names(jws->kid) ? Refusal::kAlgorithm : Refusal::kUnknownKey;
    }
  } else {
    static_cast<void>(decoys_[0].verifies(text, std::string(64, '\1')));
    return jws ? Refusal::kAlgorithm : Refusal::kUnreadable;
  }
  if (!found) return Refusal::kSignature;
  const auto claims = tokens::read_claims(jws->payload, terms_.tenant_claim);
  if (!claims || !claims->has_expiry || !claims->has_issued || claims->subject.empty())
    return Refusal::kUnreadable;
  const auto& aud = claims->audiences;
  if (!terms_.audience.empty() && std::find(aud.begin(), aud.end(), terms_.audience) == aud.end())
    return Refusal::kAudience;
  grant.issuer = claims->issuer, grant.tenant = claims->tenant, grant.subject = claims->subject;
  grant.issued = claims->issued, grant.not_before = claims->not_before, grant.expires = claims->expires;
  grant.bound = claims->bound, grant.certificate = claims->certificate;
  if (grant.expires - grant.issued > terms_.longest_life) return Refusal::kTooLong;
  grant.caller = caller_text(grant.tenant, grant.subject);
  grant.hash = hash_of(grant.caller);
  // Times and rights change and are looked at again at each hit; a token that will never count is not kept.
  const Instant wall = now + wall_ahead_;
  if (wall > grant.expires + terms_.leeway) return Refusal::kExpired;
  return ring_.accepts(grant.key, grant.issued, wall);
}

Refusal Authorizer::times(const Grant& g, const Certificate* certificate, Instant now) const {
  const Instant wall = now + wall_ahead_;
  const Refusal key = ring_.accepts(g.key, g.issued, wall);
  if (key != Refusal::kNone) return key;
  if (wall > g.expires + terms_.leeway) return Refusal::kExpired;
  if (wall < g.not_before - terms_.leeway || wall < g.issued - terms_.leeway) return Refusal::kEarly;
  if (g.bound && (!certificate || certificate->print != g.certificate)) return Refusal::kBinding;
  return Refusal::kNone;
}

Refusal Authorizer::resolve(Grant& g) const {
  g.tenant_id = directory_->by_name(g.tenant);
  if (g.tenant_id == Directory::kNone) return Refusal::kTenant;
  const Directory::Tenant& tenant = (*directory_)[g.tenant_id];
  if (!tenant.issuer.empty() && tenant.issuer != g.issuer) return Refusal::kIssuer;
  g.rule = tenant.rule_of(g.subject);
  if (g.rule == Directory::kNone) return Refusal::kSubject;
  g.epoch = epoch_;
  return Refusal::kNone;
}

void Authorizer::identity(const Grant& g, Identity& into) const {
  into.tenant = g.tenant_id;
  into.rule = g.rule;
  into.hash = g.hash;
  into.caller = g.caller;
  subjects_.prefetch(g.hash);
}

// ---- What they may ----

Refusal Authorizer::let_in(const Identity& who, unsigned path_group, Instant now, AdmissionToken& ticket,
                           Span& retry_after) {
  if (who.tenant == Directory::kNone) return Refusal::kNone;
  const Directory::Tenant& tenant = (*directory_)[who.tenant];
  const Directory::Rule& rule = tenant.rules[who.rule];
  if (path_group >= rule.may.size() || !rule.may[path_group]) return count(Refusal::kPathGroup);
  Standing& all = tenants_[place_of_[who.tenant]];
  const std::uint32_t place = subjects_.find_or_make(who.hash, now);
  const bool held = place == Subjects::kNone;
  if (held || (rule.rate.in_hand > 0 && subjects_.in_hand(place) >= rule.rate.in_hand) ||
      (tenant.all.in_hand > 0 && all.in_hand >= tenant.all.in_hand)) {
    retry_after = terms_.longest_hit;  // by then whatever is in hand now is over
    return count(Refusal::kInHand);
  }
  const std::int64_t ns = now.us() * 1000;
  Bucket& own = subjects_.bucket(place);
  const std::int64_t own_wait = own.wait(rule.rate, ns), all_wait = all.bucket.wait(tenant.all, ns);
  if (own_wait > 0 || all_wait > 0) {
    // Who is over its own limit is no reason to let the tenant's others wait longer.
    std::int64_t told = 0;
    if (own_wait > 0) told = own.promise(rule.rate, ns);
    if (all_wait > 0 && own_wait == 0) told = std::max(told, all.bucket.promise(tenant.all, ns));
    retry_after = Span::us(std::max(told, all_wait) / 1000 + 1);
    return count(Refusal::kRate);
  }
  own.take(rule.rate, ns);
  all.bucket.take(tenant.all, ns);
  ++subjects_.in_hand(place);
  ++all.in_hand;
  ticket = {place_of_[who.tenant], place};
  return Refusal::kNone;
}

void Authorizer::ended(const AdmissionToken& t) {
  if (t.tenant == UINT32_MAX) return;
  --tenants_[t.tenant].in_hand;
  --subjects_.in_hand(t.subject);
}

}  // namespace ashbeam::calling
