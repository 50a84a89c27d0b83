#include "calling/token_cache.hpp"

#include <cstring>

namespace ashbeam::calling {

std::uint64_t TokenCache::key_of(const tokens::Digest& d) {
  std::uint64_t key = 0;
  std::memcpy(&key, d.data(), sizeof key);
  return key;
}

void TokenCache::unlink(std::uint32_t at) {
  Node& n = nodes_[at];
  (n.older == kNone ? oldest_ : nodes_[n.older].newer) = n.newer;
  (n.newer == kNone ? newest_ : nodes_[n.newer].older) = n.older;
}

void TokenCache::link_newest(std::uint32_t at) {
  Node& n = nodes_[at];
  n.older = newest_;
  n.newer = kNone;
  (newest_ == kNone ? oldest_ : nodes_[newest_].newer) = at;
  newest_ = at;
}

void TokenCache::drop(std::uint32_t at) {
  unlink(at);
  index_.erase(key_of(nodes_[at].grant.digest));
  nodes_[at] = Node{};
  nodes_.give_back(at);
}

Grant* TokenCache::find(const tokens::Digest& digest) {
  const std::uint32_t at = index_.find(key_of(digest));
  if (at == kNone || nodes_[at].grant.digest != digest) return nullptr;
  if (at != newest_) unlink(at), link_newest(at);
  return &nodes_[at].grant;
}

void TokenCache::erase(const tokens::Digest& digest) {
  const std::uint32_t at = index_.find(key_of(digest));
  if (at != kNone && nodes_[at].grant.digest == digest) drop(at);
}

Grant& TokenCache::put(Grant grant, Instant now) {
  if (const std::uint32_t at = index_.find(key_of(grant.digest)); at != kNone) drop(at);
  if (index_.size() >= most_) {
    std::uint32_t out = oldest_, at = oldest_;
    for (int i = 0; i < 8 && at != kNone; ++i, at = nodes_[at].newer) {
      if (nodes_[at].grant.expires > now) continue;
      out = at;
      break;
    }
    drop(out);
  }
  const std::uint32_t at = nodes_.take();
  index_.put(key_of(grant.digest), at);
  nodes_[at].grant = std::move(grant);
  link_newest(at);
  return nodes_[at].grant;
}

std::size_t RefusedTokens::place_of(const tokens::Digest& d) const {
  std::uint64_t key = 0;
  std::memcpy(&key, d.data() + 8, sizeof key);
  return key % places_.size();
}

Refusal RefusedTokens::find(const tokens::Digest& digest, std::uint64_t epoch, Instant now) const {
  const Place& p = places_[place_of(digest)];
  return p.why != Refusal::kNone && p.epoch == epoch && p.until > now && p.digest == digest ? p.why
                                                                                            : Refusal::kNone;
}

void RefusedTokens::put(const tokens::Digest& digest, std::uint64_t epoch, Refusal why, Instant until) {
  places_[place_of(digest)] = {digest, epoch, until, why};
}

}  // namespace ashbeam::calling
