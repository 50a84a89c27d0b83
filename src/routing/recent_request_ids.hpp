// Stores the ids of requests that are in flight or were answered recently, so that a second request with the
// same id can be rejected. Ids are unique among all clients, whatever their tenant. Only a hash of each id is
// kept, so that the memory of an entry does not depend on what a client sends.
#pragma once
#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <utility>

#include "base/time.hpp"

namespace ashbeam {

class RecentRequestIds {
 public:
  // A hash of 128 bits.
  using Digest = std::pair<std::uint64_t, std::uint64_t>;
  enum class InsertResult : std::uint8_t {
    kInserted,
    kPresent,  // the id is stored already
    kFull,     // there is no room, because all ids are those of requests that must not run twice
  };

  // Stores at most `max_ids` ids. `seed` makes the hash unpredictable for clients.
  RecentRequestIds(std::size_t max_ids, std::uint64_t seed) : max_ids_(max_ids), seed_(seed) {}

  Digest digest_of(std::string_view id) const;
  // Stores the id until `expiry`. If there is no room, the id that expires first is removed among those of
  // requests that may run again; ids of `unsafe` requests are kept until they expire.
  InsertResult insert(const Digest& id, bool unsafe, Instant now, Instant expiry);
  // Removes the id of a request that cannot have run, so that its client may send it again.
  void erase(const Digest& id);
  std::size_t size() const { return ids_.size(); }

 private:
  using ByExpiry = std::multimap<Instant, Digest>;
  struct Entry {
    bool unsafe = false;
    ByExpiry::iterator position;
  };

  void remove_expired(Instant now);
  ByExpiry& queue_of(bool unsafe) { return unsafe ? unsafe_by_expiry_ : others_by_expiry_; }

  std::size_t max_ids_;
  std::uint64_t seed_;
  std::map<Digest, Entry> ids_;
  ByExpiry unsafe_by_expiry_;
  ByExpiry others_by_expiry_;
};

}  // namespace ashbeam
