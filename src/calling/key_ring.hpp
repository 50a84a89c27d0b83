// The keys that tokens are verified with, each of them coming, current, retiring, retired or revoked.
//
// Job: take whole key sets, and say whether a key counts for a token. A key that a set no longer names
// retires from then on; a key that has been revoked stays revoked, whatever later sets say. No I/O; the time
// is an argument, of the clock that tokens are dated by. Errors: a Refusal. Killed, it loses when unnamed
// keys began to retire: they are then unknown.
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

// A key of the ring. Slots are reused; `generation` tells the keys of a slot apart.
struct KeyRef {
  std::uint32_t slot = UINT32_MAX;
  std::uint32_t generation = 0;
  bool operator==(const KeyRef&) const = default;
};

class KeyRing {
 public:
  struct Settings {
    Duration retiring_key_overlap;                         // in which a retiring key still verifies
    Duration leeway;                                       // between the issuer's clock and ours, either way
    Duration revoked_retention = Duration::s(7 * 86'400);  // longer than any token lives
  };
  // How many keys an update has changed.
  struct UpdateSummary {
    unsigned added = 0;
    unsigned restored = 0;  // listed again
    unsigned retiring = 0;  // no longer listed, or listed with other times
    unsigned revoked = 0;
    unsigned removed = 0;
    bool has_changes() const { return added + restored + retiring + revoked + removed > 0; }
  };
  static constexpr std::size_t kMaxKeys = 256;         // whatever their state
  static constexpr unsigned kMaxCandidatesPerKid = 4;  // so that no kid costs verifications without bound

  explicit KeyRing(const Settings& settings) : settings_(settings) {}
  void set_settings(const Settings& settings) { settings_ = settings; }

  // Takes the set as it stands from `now` on. Over the bound the key that retired first is dropped for a new
  // one; where none has retired, the new one is not taken. A revoked key is never dropped.
  UpdateSummary update(std::span<const tokens::KeyEntry> listed, Instant now);

  // Calls `try_key` with each key of that name and algorithm, listed ones first, until it returns true; at
  // most kMaxCandidatesPerKid. False where there is no such key.
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
  bool has_kid(std::string_view kid) const;  // with whatever algorithm

  // Whether this key counts now for a token that it signed at `issued`: kNone, kKeyRevoked, kKeyRetired or
  // kNotYetValid.
  Refusal check(KeyRef key, Instant issued_at, Instant now) const;
  const tokens::Key& key(KeyRef key) const { return keys_[key.slot].key; }
  std::uint64_t epoch() const { return epoch_; }  // grows with each change
  std::size_t size() const;

 private:
  struct HeldKey {
    std::string kid;
    tokens::Key key;
    Instant active_from;
    Instant retired_at;
    Instant revoked_at;
    bool in_use = false;  // false: the slot is free
    bool listed = false;
    bool revoked = false;
    std::uint32_t generation = 0;
    std::uint64_t last_listed = 0;  // the update that listed it last
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
  std::uint64_t updates_ = 0;
  std::uint64_t epoch_ = 0;
};

}  // namespace ashbeam::calling
