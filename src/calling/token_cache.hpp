// A cache of verified tokens by the SHA-256 of their text. Its size is limited; the least recently used
// tokens are evicted first. Callers pass the current time.
#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "base/lru_map.hpp"
#include "base/time.hpp"
#include "calling/key_ring.hpp"
#include "tokens/keys.hpp"

namespace ashbeam::calling {

// The contents of a token whose signature has been verified. The state of its key and its validity times are
// checked again for each request.
struct VerifiedToken {
  tokens::Digest digest{};  // SHA-256 of its text
  KeyRef key;
  Instant issued_at;
  Instant not_before;
  Instant expires_at;
  std::string issuer;
  std::string tenant;
  std::string subject;
  std::string principal;                             // as sent to endpoints
  std::uint64_t subject_hash = 0;                    // hash of `principal`
  std::optional<tokens::Digest> certificate_sha256;  // set if the token is bound to this client certificate

  // The tenant and rule that the directory of this epoch resolves the token to. Epoch 0: not resolved yet.
  std::uint64_t directory_epoch = 0;
  std::uint32_t tenant_index = UINT32_MAX;
  std::uint32_t rule = 0;
};

class TokenCache {
 public:
  explicit TokenCache(std::size_t max_tokens) : max_tokens_(max_tokens) {}
  // Returns the token and marks it as the most recently used one, or returns nullptr if it is not cached. The
  // pointer is valid until the next call of insert() or erase().
  VerifiedToken* find(const tokens::Digest& digest);
  // Adds a token. If the cache is full, it first evicts an expired token among the eight least recently used
  // ones, or the least recently used one if none of them has expired. The reference is valid until the next
  // call of insert() or erase().
  VerifiedToken& insert(VerifiedToken token, Instant now);
  void erase(const tokens::Digest& digest);
  std::size_t size() const { return tokens_.size(); }

 private:
  using Tokens = LruMap<VerifiedToken>;
  static constexpr int kEvictionCandidates = 8;

  static std::uint64_t key_of(const tokens::Digest& digest);
  Tokens::Index find_entry(const tokens::Digest& digest);
  Tokens::Index find_entry_to_evict(Instant now);

  std::size_t max_tokens_;
  Tokens tokens_;
};

}  // namespace ashbeam::calling
