// Tokens that have been verified, by the hash of their text: at most so many, the least recently used ones
// evicted first. No I/O; the time is an argument.
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

// What a token says whose signature is good. Its key's state and its times are checked again at each request.
struct VerifiedToken {
  tokens::Digest digest{};  // of its text
  KeyRef key;
  Instant issued_at;
  Instant not_before;
  Instant expires_at;
  std::string issuer;
  std::string tenant;
  std::string subject;
  std::string principal;                             // as endpoints see it
  std::uint64_t subject_hash = 0;                    // of the principal
  std::optional<tokens::Digest> certificate_sha256;  // where it counts beside this certificate alone

  // What the tenant directory of this epoch makes of it; epoch 0: not looked up yet.
  std::uint64_t directory_epoch = 0;
  std::uint32_t tenant_index = UINT32_MAX;
  std::uint32_t rule = 0;
};

class TokenCache {
 public:
  explicit TokenCache(std::size_t max_tokens) : max_tokens_(max_tokens) {}
  // Marks it as the most recently used; nullptr: not cached. The token stands until the next call.
  VerifiedToken* find(const tokens::Digest& digest);
  // Over the bound, an expired one among the eight least recently used is evicted, or else the very least
  // recently used.
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
