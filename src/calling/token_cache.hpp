// Tokens that have been verified, by the hash of their text: at most so many, the least recently used ones
// evicted first. No I/O; the time is an argument.
#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "base/index_map.hpp"
#include "base/slab.hpp"
#include "base/time.hpp"
#include "calling/key_ring.hpp"
#include "tokens/keys.hpp"

namespace ashbeam::calling {

// What a token says whose signature is good. Its key's state and its times are checked again at each request.
struct VerifiedToken {
  tokens::Digest digest{};  // of its text
  KeyRef key;
  Instant issued;
  Instant not_before;
  Instant expires;
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
  std::size_t size() const { return index_.size(); }

 private:
  static constexpr std::uint32_t kNone = IndexMap::kNone;
  static constexpr int kEvictionCandidates = 8;
  struct Node {
    VerifiedToken token;
    std::uint32_t older = kNone;
    std::uint32_t newer = kNone;
  };
  static std::uint64_t key_of(const tokens::Digest& digest);
  std::uint32_t slot_to_evict(Instant now);
  void unlink(std::uint32_t slot);
  void link_newest(std::uint32_t slot);
  void remove(std::uint32_t slot);

  std::size_t max_tokens_;
  IndexMap index_;
  Slab<Node> nodes_;
  std::uint32_t oldest_ = kNone;
  std::uint32_t newest_ = kNone;
};

}  // namespace ashbeam::calling
