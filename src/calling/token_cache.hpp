// Tokens that were verified, by their hash, and tokens that were refused. Both bounded.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "base/index_map.hpp"
#include "base/slab.hpp"
#include "base/time.hpp"
#include "calling/key_ring.hpp"
#include "tokens/keys.hpp"

namespace ashbeam::calling {

// What a good token says, and what it hangs on: its key and its times are looked at again at each hit.
struct Grant {
  tokens::Digest digest{};
  KeyRef key;
  Instant issued, not_before, expires;
  std::string issuer, tenant, subject, caller;  // `caller`: as hosts are told
  bool bound = false;
  tokens::Digest certificate{};
  // As of the directory's epoch:
  std::uint64_t epoch = 0;
  std::uint32_t tenant_id = UINT32_MAX, rule = 0;
  std::uint64_t hash = 0;  // of tenant and subject
};

class TokenCache {
 public:
  explicit TokenCache(std::size_t most) : most_(most), index_(64) {}
  Grant* find(const tokens::Digest& digest);  // and marks it as used last; stands until the next call
  // Over the bound one that has expired goes first, among the eight used longest ago, then the one of those
  // used longest ago.
  Grant& put(Grant grant, Instant now);
  void erase(const tokens::Digest& digest);
  std::size_t size() const { return index_.size(); }

 private:
  static constexpr std::uint32_t kNone = UINT32_MAX;
  struct Node {
    Grant grant;
    std::uint32_t older = kNone, newer = kNone;
  };
  static std::uint64_t key_of(const tokens::Digest& d);
  void unlink(std::uint32_t at);
  void link_newest(std::uint32_t at);
  void drop(std::uint32_t at);
  std::size_t most_;
  IndexMap index_;
  Slab<Node> nodes_;
  std::uint32_t oldest_ = kNone, newest_ = kNone;
};

// Refused tokens of the key ring's epoch: the same again costs no verification. A fixed table; a token that
// falls on another's place takes it.
class RefusedTokens {
 public:
  explicit RefusedTokens(std::size_t places) : places_(places) {}
  Refusal find(const tokens::Digest& digest, std::uint64_t epoch, Instant now) const;
  void put(const tokens::Digest& digest, std::uint64_t epoch, Refusal why, Instant until);

 private:
  struct Place {
    tokens::Digest digest{};
    std::uint64_t epoch = 0;
    Instant until;
    Refusal why = Refusal::kNone;
  };
  std::size_t place_of(const tokens::Digest& d) const;
  std::vector<Place> places_;
};

}  // namespace ashbeam::calling
