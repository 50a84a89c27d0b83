#include "calling/token_cache.hpp"

#include <cstring>
#include <utility>

namespace ashbeam::calling {

VerifiedToken* TokenCache::find(const tokens::Digest& digest) {
  const Tokens::Index entry = find_entry(digest);
  if (entry == Tokens::kNone) return nullptr;
  tokens_.touch(entry);
  return &tokens_[entry];
}

VerifiedToken& TokenCache::insert(VerifiedToken token, Instant now) {
  const std::uint64_t key = key_of(token.digest);
  if (const Tokens::Index known = tokens_.find(key); known != Tokens::kNone) tokens_.erase(known);
  if (tokens_.size() >= max_tokens_) tokens_.erase(find_entry_to_evict(now));
  VerifiedToken& inserted = tokens_[tokens_.insert(key)];
  inserted = std::move(token);
  return inserted;
}

void TokenCache::erase(const tokens::Digest& digest) {
  const Tokens::Index entry = find_entry(digest);
  if (entry != Tokens::kNone) tokens_.erase(entry);
}

std::uint64_t TokenCache::key_of(const tokens::Digest& digest) {
  std::uint64_t key = 0;
  std::memcpy(&key, digest.data(), sizeof key);
  return key;
}

// The map key is only the first 8 bytes of the digest, so two tokens may share it. The whole digest decides.
TokenCache::Tokens::Index TokenCache::find_entry(const tokens::Digest& digest) {
  const Tokens::Index entry = tokens_.find(key_of(digest));
  return entry != Tokens::kNone && tokens_[entry].digest == digest ? entry : Tokens::kNone;
}

TokenCache::Tokens::Index TokenCache::find_entry_to_evict(Instant now) {
  Tokens::Index candidate = tokens_.least_recent();
  for (int i = 0; i < kEvictionCandidates && candidate != Tokens::kNone; ++i) {
    if (tokens_[candidate].expires_at <= now) return candidate;
    candidate = tokens_.next_more_recent(candidate);
  }
  return tokens_.least_recent();
}

}  // namespace ashbeam::calling
