// The public keys that tokens are verified with, and their states: a key is not yet active (listed as
// "coming"), current, retiring, retired or revoked.
//
// update() applies complete key sets, and check() returns whether a key is valid for a token. A key
// retires at the time that its entry gives, or when a set no longer lists it. A retiring key still verifies
// tokens for the overlap period, if they were issued before it retired. A revoked key stays revoked, whatever
// later sets say. The key ring performs no I/O. Callers pass the current time of the clock that tokens are
// dated by, the wall clock. Errors are reported as a Refusal. State is kept in memory alone: after a restart,
// keys that are no longer listed are unknown, even if their overlap period has not ended.
#pragma once
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.hpp"
#include "calling/refusal.hpp"
#include "tokens/key_set.hpp"

namespace ashbeam::calling {

// Refers to a key of the ring. Slots are reused for later keys; `generation` is unique to each key, so that a
// reference to a removed key is never taken for its successor.
struct KeyRef {
  std::uint32_t slot = UINT32_MAX;
  std::uint32_t generation = 0;
  bool operator==(const KeyRef&) const = default;
};

class KeyRing {
 public:
  struct Settings {
    // How long a key verifies tokens after it has retired, if they were issued before.
    Duration retiring_key_overlap;
    // Maximum assumed difference between the issuer's clock and this machine's, in either direction.
    Duration leeway;
    // How long a revoked key is kept after its revocation when it is no longer listed. Longer than the
    // lifetime of any token.
    Duration revoked_retention = Duration::s(7 * 86'400);
  };
  // The number of keys that an update has changed, by the kind of change.
  struct UpdateSummary {
    unsigned added = 0;
    unsigned restored = 0;  // listed again after they had been unlisted
    unsigned retiring = 0;  // no longer listed, or listed with other activation or retirement times
    unsigned revoked = 0;
    unsigned removed = 0;  // deleted after their overlap or retention period
    bool has_changes() const { return added + restored + retiring + revoked + removed > 0; }
  };
  // Maximum number of keys in the ring, of all states together.
  static constexpr std::size_t kMaxKeys = 256;
  // Maximum number of keys of one kid that are tried for a token. It bounds the verifications for each token.
  static constexpr unsigned kMaxCandidatesPerKid = 4;

  explicit KeyRing(const Settings& settings) : settings_(settings) {}
  void set_settings(const Settings& settings) { settings_ = settings; }

  // Replaces the set of listed keys, with effect from `now` on. If the ring is full, a new key replaces the
  // key that retired earliest; if no key has retired, the new key is not added. Revoked keys are never
  // replaced.
  UpdateSummary update(std::span<const tokens::KeyEntry> listed, Instant now);

  // Calls `try_key` with each key that has this kid and algorithm, listed keys first, until it returns true
  // or kMaxCandidatesPerKid keys have been tried. Returns false if there is no such key.
  template <class TryKey>
  bool try_candidates(std::string_view kid, tokens::Algorithm algorithm, TryKey&& try_key) const {
    unsigned tried_count = 0;
    for (const bool listed : {true, false}) {
      for (std::uint32_t slot = 0; slot < keys_.size() && tried_count < kMaxCandidatesPerKid; ++slot) {
        const HeldKey& held = keys_[slot];
        if (!held.in_use || held.listed != listed) continue;
        if (held.kid != kid || held.key.algorithm() != algorithm) continue;
        ++tried_count;
        if (try_key(KeyRef{slot, held.generation})) return true;
      }
    }
    return tried_count > 0;
  }
  // Returns whether a key of any algorithm has this kid.
  bool has_kid(std::string_view kid) const;

  // Returns whether the key is valid at `now` for a token issued at `issued_at`: kNone, kKeyRevoked,
  // kKeyRetired or kNotYetValid.
  Refusal check(KeyRef key, Instant issued_at, Instant now) const;
  // `key` must refer to a key that is in the ring.
  const tokens::Key& key(KeyRef key) const { return keys_[key.slot].key; }
  // Returns a number that is incremented with each update that changes a key.
  std::uint64_t epoch() const { return epoch_; }
  std::size_t size() const;

 private:
  struct HeldKey {
    std::string kid;
    tokens::Key key;
    Instant active_from;
    Instant retired_at;
    Instant revoked_at;
    bool in_use = false;  // false if the slot is free
    bool listed = false;
    bool revoked = false;
    std::uint32_t generation = 0;
    std::uint64_t last_listed = 0;  // number of the update that listed the key last
  };
  const HeldKey* find(KeyRef key) const;
  HeldKey* find(const tokens::KeyEntry& entry);
  const HeldKey* find_revoked(const std::string& thumbprint) const;
  HeldKey* find_slot_for_new_key(Instant now);
  HeldKey* insert(const tokens::KeyEntry& entry, Instant now);
  bool may_be_removed(const HeldKey& held, Instant now) const;
  unsigned remove_expired_keys(Instant now);
  void apply_entry(const tokens::KeyEntry& entry, Instant now, UpdateSummary& summary);
  unsigned revoke_same_public_keys();
  unsigned retire_unlisted_keys(Instant now);

  Settings settings_;
  std::vector<HeldKey> keys_;
  std::uint32_t last_generation_ = 0;
  std::uint64_t update_count_ = 0;
  std::uint64_t epoch_ = 0;
};

}  // namespace ashbeam::calling
