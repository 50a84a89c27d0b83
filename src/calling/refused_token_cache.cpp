#include "calling/refused_token_cache.hpp"

#include <cstring>

namespace ashbeam::calling {

std::size_t RefusedTokenCache::slot_of(const tokens::Digest& digest) const {
  std::uint64_t key = 0;
  std::memcpy(&key, digest.data() + sizeof key, sizeof key);
  return key % entries_.size();
}

Refusal RefusedTokenCache::find(const tokens::Digest& digest, std::uint64_t key_ring_epoch,
                                Instant now) const {
  const Entry& entry = entries_[slot_of(digest)];
  const bool holds = entry.key_ring_epoch == key_ring_epoch && entry.until > now && entry.digest == digest;
  return holds ? entry.refusal : Refusal::kNone;
}

void RefusedTokenCache::insert(const tokens::Digest& digest, std::uint64_t key_ring_epoch, Refusal refusal,
                               Instant until) {
  entries_[slot_of(digest)] = {digest, key_ring_epoch, until, refusal};
}

}  // namespace ashbeam::calling
