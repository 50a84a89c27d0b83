#include "calling/key_ring.hpp"

#include <algorithm>

namespace ashbeam::calling {

namespace {

Instant at_unix_s(double unix_s, Instant default_value) {
  return unix_s > 0 ? Instant::at_us(static_cast<std::int64_t>(unix_s * 1e6)) : default_value;
}

}  // namespace

const KeyRing::HeldKey* KeyRing::find(KeyRef key) const {
  if (key.slot >= keys_.size()) return nullptr;
  const HeldKey& held = keys_[key.slot];
  return held.in_use && held.generation == key.generation ? &held : nullptr;
}

// A key is identified by its kid and its public key together. Another public key with the same kid is another
// key.
KeyRing::HeldKey* KeyRing::find(const tokens::KeyEntry& entry) {
  const auto found = std::find_if(keys_.begin(), keys_.end(), [&](const HeldKey& held) {
    return held.in_use && held.kid == entry.kid && held.key.thumbprint() == entry.key.thumbprint();
  });
  return found == keys_.end() ? nullptr : &*found;
}

const KeyRing::HeldKey* KeyRing::find_revoked(const std::string& thumbprint) const {
  const auto found = std::find_if(keys_.begin(), keys_.end(), [&](const HeldKey& held) {
    return held.in_use && held.revoked && held.key.thumbprint() == thumbprint;
  });
  return found == keys_.end() ? nullptr : &*found;
}

bool KeyRing::may_be_removed(const HeldKey& held, Instant now) const {
  if (held.listed) return false;
  if (held.revoked) return now - held.revoked_at > settings_.revoked_retention;
  return now > held.retired_at + settings_.retiring_key_overlap;
}

unsigned KeyRing::remove_expired_keys(Instant now) {
  unsigned removed = 0;
  for (HeldKey& held : keys_) {
    if (!held.in_use || !may_be_removed(held, now)) continue;
    held = HeldKey{};
    ++removed;
  }
  return removed;
}

// Returns a free slot, or else the slot of the key that retired earliest; null if no key may be replaced.
KeyRing::HeldKey* KeyRing::find_slot_for_new_key(Instant now) {
  for (HeldKey& held : keys_) {
    if (!held.in_use) return &held;
  }
  if (keys_.size() < kMaxKeys) return &keys_.emplace_back();
  HeldKey* earliest_retired = nullptr;
  for (HeldKey& held : keys_) {
    if (held.revoked || held.listed || held.retired_at > now) continue;
    if (!earliest_retired || held.retired_at < earliest_retired->retired_at) earliest_retired = &held;
  }
  return earliest_retired;
}

KeyRing::HeldKey* KeyRing::insert(const tokens::KeyEntry& entry, Instant now) {
  HeldKey* const slot = find_slot_for_new_key(now);
  if (!slot) return nullptr;
  HeldKey new_key;
  new_key.kid = entry.kid;
  new_key.key = entry.key;
  new_key.active_from = at_unix_s(entry.active_from_unix_s, Instant());
  new_key.in_use = true;
  new_key.generation = ++last_generation_;
  // The same public key may have been revoked under another kid.
  if (const HeldKey* const revoked = find_revoked(entry.key.thumbprint())) {
    new_key.revoked = true;
    new_key.revoked_at = revoked->revoked_at;
  }
  *slot = std::move(new_key);
  return slot;
}

void KeyRing::apply_entry(const tokens::KeyEntry& entry, Instant now, UpdateSummary& summary) {
  const Instant active_from = at_unix_s(entry.active_from_unix_s, Instant());
  const Instant retired_at = at_unix_s(entry.retired_at_unix_s, Instant::never());
  HeldKey* held = find(entry);
  if (!held) {
    held = insert(entry, now);
    if (!held) return;
    ++summary.added;
  } else if (!held->listed) {
    ++summary.restored;
  } else if (held->retired_at != retired_at) {
    ++summary.retiring;
  }
  if (held->active_from != active_from) {
    held->active_from = active_from;
    ++summary.retiring;
  }
  if (entry.revoked && !held->revoked) {
    held->revoked = true;
    held->revoked_at = now;
    ++summary.revoked;
  }
  held->retired_at = retired_at;
  held->listed = true;
  held->last_listed = update_count_;
}

// A revocation applies to the public key, under each kid that it is listed with.
unsigned KeyRing::revoke_same_public_keys() {
  unsigned revoked = 0;
  for (const HeldKey& source : keys_) {
    if (!source.in_use || !source.revoked) continue;
    for (HeldKey& held : keys_) {
      if (!held.in_use || held.revoked || held.key.thumbprint() != source.key.thumbprint()) continue;
      held.revoked = true;
      held.revoked_at = source.revoked_at;
      ++revoked;
    }
  }
  return revoked;
}

unsigned KeyRing::retire_unlisted_keys(Instant now) {
  unsigned retiring = 0;
  for (HeldKey& held : keys_) {
    if (!held.in_use || !held.listed || held.last_listed == update_count_) continue;
    held.listed = false;
    held.retired_at = std::min(held.retired_at, now);
    ++retiring;
  }
  return retiring;
}

KeyRing::UpdateSummary KeyRing::update(std::span<const tokens::KeyEntry> listed, Instant now) {
  ++update_count_;
  UpdateSummary summary;
  summary.removed = remove_expired_keys(now);
  for (const tokens::KeyEntry& entry : listed) apply_entry(entry, now, summary);
  summary.revoked += revoke_same_public_keys();
  summary.retiring += retire_unlisted_keys(now);
  if (summary.has_changes()) ++epoch_;
  return summary;
}

bool KeyRing::has_kid(std::string_view kid) const {
  return std::any_of(keys_.begin(), keys_.end(),
                     [&](const HeldKey& held) { return held.in_use && held.kid == kid; });
}

std::size_t KeyRing::size() const {
  return static_cast<std::size_t>(
      std::count_if(keys_.begin(), keys_.end(), [](const HeldKey& held) { return held.in_use; }));
}

Refusal KeyRing::check(KeyRef key, Instant issued_at, Instant now) const {
  const HeldKey* const held = find(key);
  if (!held) return Refusal::kKeyRetired;
  if (held->revoked) return Refusal::kKeyRevoked;
  const Instant earliest = held->active_from - settings_.leeway;
  if (now < earliest || issued_at < earliest) return Refusal::kNotYetValid;
  if (held->retired_at == Instant::never()) return Refusal::kNone;
  const bool issued_after_retirement = issued_at > held->retired_at + settings_.leeway;
  const bool overlap_has_ended = now > held->retired_at + settings_.retiring_key_overlap;
  return issued_after_retirement || overlap_has_ended ? Refusal::kKeyRetired : Refusal::kNone;
}

}  // namespace ashbeam::calling
