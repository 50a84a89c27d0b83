#include "calling/token_cache.hpp"

#include <cstring>
#include <utility>

namespace ashbeam::calling {

std::uint64_t TokenCache::key_of(const tokens::Digest& digest) {
  std::uint64_t key = 0;
  std::memcpy(&key, digest.data(), sizeof key);
  return key;
}

void TokenCache::unlink(std::uint32_t slot) {
  const Node& node = nodes_[slot];
  (node.older == kNone ? oldest_ : nodes_[node.older].newer) = node.newer;
  (node.newer == kNone ? newest_ : nodes_[node.newer].older) = node.older;
}

void TokenCache::link_newest(std::uint32_t slot) {
  Node& node = nodes_[slot];
  node.older = newest_;
  node.newer = kNone;
  (newest_ == kNone ? oldest_ : nodes_[newest_].newer) = slot;
  newest_ = slot;
}

void TokenCache::remove(std::uint32_t slot) {
  unlink(slot);
  index_.erase(key_of(nodes_[slot].token.digest));
  nodes_[slot] = Node{};
  nodes_.give_back(slot);
}

VerifiedToken* TokenCache::find(const tokens::Digest& digest) {
  const std::uint32_t slot = index_.find(key_of(digest));
  if (slot == kNone || nodes_[slot].token.digest != digest) return nullptr;
  if (slot != newest_) {
    unlink(slot);
    link_newest(slot);
  }
  return &nodes_[slot].token;
}

void TokenCache::erase(const tokens::Digest& digest) {
  const std::uint32_t slot = index_.find(key_of(digest));
  if (slot != kNone && nodes_[slot].token.digest == digest) remove(slot);
}

std::uint32_t TokenCache::slot_to_evict(Instant now) {
  std::uint32_t candidate = oldest_;
  for (int i = 0; i < kEvictionCandidates && candidate != kNone; ++i) {
    if (nodes_[candidate].token.expires <= now) return candidate;
    candidate = nodes_[candidate].newer;
  }
  return oldest_;
}

VerifiedToken& TokenCache::insert(VerifiedToken token, Instant now) {
  const std::uint64_t key = key_of(token.digest);
  if (const std::uint32_t known = index_.find(key); known != kNone) remove(known);
  if (index_.size() >= max_tokens_) remove(slot_to_evict(now));
  const std::uint32_t slot = nodes_.take();
  index_.put(key, slot);
  nodes_[slot].token = std::move(token);
  link_newest(slot);
  return nodes_[slot].token;
}

}  // namespace ashbeam::calling
