// Tokens that were refused recently, so that the same text costs no second verification. The table has a
// fixed size; a token replaces another one that maps to the same slot. An entry is valid for one epoch of the
// key ring, because a key that is unknown now may be listed by the next update.
#pragma once
#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/time.hpp"
#include "calling/refusal.hpp"
#include "tokens/keys.hpp"

namespace ashbeam::calling {

class RefusedTokenCache {
 public:
  explicit RefusedTokenCache(std::size_t slots) : entries_(slots) {}
  // Returns why the token was refused, or Refusal::kNone if it has no valid entry.
  Refusal find(const tokens::Digest& digest, std::uint64_t key_ring_epoch, Instant now) const;
  void insert(const tokens::Digest& digest, std::uint64_t key_ring_epoch, Refusal refusal,
              Instant expires_at);

 private:
  struct Entry {
    tokens::Digest digest{};
    std::uint64_t key_ring_epoch = 0;
    Instant expires_at;
    Refusal refusal = Refusal::kNone;
  };
  std::size_t slot_of(const tokens::Digest& digest) const;

  std::vector<Entry> entries_;
};

}  // namespace ashbeam::calling
