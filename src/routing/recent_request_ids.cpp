#include "routing/recent_request_ids.hpp"

#include <xxhash.h>

namespace ashbeam {

RecentRequestIds::Digest RecentRequestIds::digest_of(std::string_view id) const {
  const XXH128_hash_t hash = XXH3_128bits_withSeed(id.data(), id.size(), seed_);
  return {hash.high64, hash.low64};
}

RecentRequestIds::InsertResult RecentRequestIds::insert(const Digest& id, bool unsafe, Instant now,
                                                        Instant expiry) {
  remove_expired(now);
  if (ids_.contains(id)) return InsertResult::kPresent;
  if (ids_.size() >= max_ids_) {
    if (others_by_expiry_.empty()) return InsertResult::kFull;
    erase(others_by_expiry_.begin()->second);
  }
  ids_.emplace(id, Entry{unsafe, queue_of(unsafe).emplace(expiry, id)});
  return InsertResult::kInserted;
}

void RecentRequestIds::erase(const Digest& id) {
  const auto found = ids_.find(id);
  if (found == ids_.end()) return;
  queue_of(found->second.unsafe).erase(found->second.position);
  ids_.erase(found);
}

void RecentRequestIds::remove_expired(Instant now) {
  for (ByExpiry* const queue : {&unsafe_by_expiry_, &others_by_expiry_}) {
    while (!queue->empty() && queue->begin()->first <= now) erase(queue->begin()->second);
  }
}

}  // namespace ashbeam
