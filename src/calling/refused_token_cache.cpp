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
  const bool is_cached =
      entry.key_ring_epoch == key_ring_epoch && entry.expires_at > now && entry.digest == digest;
  return is_cached ? entry.refusal : Refusal::kNone;
}

void RefusedTokenCache::insert(const tokens::Digest& digest, std::uint64_t key_ring_epoch, Refusal refusal,
                               Instant expires_at) {
  entries_[slot_of(digest)] = {digest, key_ring_epoch, expires_at, refusal};
}

}  // namespace ashbeam::calling
