// Tokens that have been refused: the same text again costs no verification. A fixed table; a token that falls
// on another's slot takes it. An entry holds for one epoch of the key ring, since a key that is unknown today
// may be listed tomorrow.
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
  // kNone: not known as refused.
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
