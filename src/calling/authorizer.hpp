// Who is calling, and may they: decides on each hit before it is taken. No I/O; the time is an argument.
//
// Order of calls, for a hit: identify(), and if it is known who calls let_in() with its path group; if that
// lets it in, ended() exactly once with the ticket when the hit has left the router. keys() and terms() at
// any time between: both count from the next call on, also for what was verified before.
//
// A token is verified once and then known by its hash; its key's state, its times and its tenant's rights are
// looked at again at each hit. A refused one costs one verification the first time, whatever is wrong with
// it: what takes as long tells nothing. Verifications are limited by the second, apart
// for those who have reason to be heard: connections that have proven somebody before, and tokens that name a
// subject that was let in lately, two a second for each name. A flood that knows no such names does not stop
// these; one that knows many can keep their new tokens on new connections waiting, nothing else.
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "calling/directory.hpp"
#include "calling/key_ring.hpp"
#include "calling/quota.hpp"
#include "calling/refusal.hpp"
#include "calling/settings.hpp"
#include "calling/token_cache.hpp"

namespace ashbeam::calling {

// A client certificate as its handshake proved it.
struct Certificate {
  std::string organisation, name;  // O and CN of its subject
  tokens::Digest print{};          // SHA-256 of its DER: x5t#S256 (RFC 8705, section 3.1)
  Instant not_before, not_after;
};

// What is known of a connection between its hits.
struct Presence {
  bool proven = false;  // somebody, once
};

struct Asked {
  std::string_view authorization;  // the field's value; empty: none
  bool twice = false;              // the field stands more than once
  std::string_view account;        // X-Account
  const Certificate* certificate = nullptr;
};

struct Identity {
  std::uint32_t tenant = UINT32_MAX, rule = 0;  // no tenant: nobody has proven anything, and none need
  std::uint64_t hash = 0;
  std::uint32_t customer = 0;
  std::string caller;  // "tenant/subject", as hosts are told; empty: nobody
};

struct AdmissionToken {
  std::uint32_t tenant = UINT32_MAX, subject = UINT32_MAX;
};

class Authorizer {
 public:
  Authorizer(const CallingSettings& terms, std::uint64_t seed, Instant now);

  // kNone: `into` says who it is. kBusy: `retry_after` says when.
  Refusal identify(const Asked& asked, Presence& presence, Instant now, Identity& into, Span& retry_after);
  // kNone: `ticket` is to be given back. kRate, kInHand: `retry_after` says when there is room.
  Refusal let_in(const Identity& who, unsigned path_group, Instant now, AdmissionToken& ticket,
                 Span& retry_after);
  void ended(const AdmissionToken& ticket);

  KeyRing::Change keys(std::span<const tokens::Listed> set, Instant now) {
    return ring_.told(set, now + wall_ahead_);
  }
  // Times of tokens, keys and certificates are of the machine's clock, which may be set while we run; rates
  // and waits are of the time handed in, which never goes back.
  void wall_ahead(Span ahead) { wall_ahead_ = ahead; }
  Span wall_ahead() const { return wall_ahead_; }
  void terms(const CallingSettings& terms, Instant now);  // what is in hand and was used up stands
  const KeyRing& ring() const { return ring_; }
  std::size_t cached() const { return granted_.size(); }
  std::uint64_t verifications() const { return verifications_; }
  std::uint64_t refused(Refusal why) const { return refused_[static_cast<std::size_t>(why)]; }

 private:
  struct Standing {  // of a tenant, whatever the terms are told anew
    Bucket bucket;
    std::uint32_t in_hand = 0;
  };
  Refusal count(Refusal why) {
    ++refused_[static_cast<std::size_t>(why)];
    return why;
  }
  Refusal token(std::string_view text, const Asked& asked, Presence& presence, Instant now, Identity& into,
                Span& retry_after);
  Refusal verify(std::string_view text, Grant& grant, Instant now);
  Refusal times(const Grant& grant, const Certificate* certificate, Instant now) const;
  std::uint64_t hash_of(const std::string& caller) const;
  Refusal resolve(Grant& grant) const;
  Refusal certificate(const Certificate& certificate, Instant now, Identity& into) const;
  void identity(const Grant& grant, Identity& into) const;
  void place_tenants(Instant now);

  Span wall_ahead_;
  CallingSettings terms_;
  std::unique_ptr<Directory> directory_;
  std::uint64_t epoch_ = 1, seed_;  // of the directory
  KeyRing ring_;
  TokenCache granted_;
  RefusedTokens refused_tokens_;
  Subjects subjects_;
  std::map<std::string, std::uint32_t, std::less<>> ids_;  // tenants' places, by name
  std::vector<Standing> tenants_;
  std::vector<std::uint32_t> place_of_;  // by the directory's index
  bool may_verify(std::string_view text, const Presence& presence, Instant now, Span& retry_after);
  Budget unproven_, proven_;
  NamedBudgets named_;
  tokens::Key decoys_[2];
  std::uint64_t verifications_ = 0;
  std::uint64_t refused_[static_cast<std::size_t>(Refusal::kCount)] = {};
};

}  // namespace ashbeam::calling
