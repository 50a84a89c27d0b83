// Stores the ids of requests that are in flight or were answered recently, so that a second request with the
// same id can be rejected. Ids are unique among all clients, whatever their tenant. Only a hash of each id is
// kept, so that the memory of an entry does not depend on what a client sends.
//
// Call begin() for each request, and end() once for each id that begin() has stored. Ids of requests in
// flight are always kept. Ids of requests that have ended are kept for the retention time; if there is no
// room, those of requests that may run again go first, and new requests that must not run twice are refused.
// One client cannot use all the room: beyond its share only its own requests are refused. Performs no I/O;
// callers pass the current time, which must not decrease.
#pragma once
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "base/index_map.hpp"
#include "base/lru_map.hpp"
#include "base/time.hpp"

namespace ashbeam {

class RecentRequestIds {
 public:
  // A hash of an id.
  using Digest = std::uint64_t;
  enum class BeginResult : std::uint8_t {
    kStored,
    kPresent,  // the id is stored already
    kFull,     // the request must not run twice, and there is no room to remember that it has run
  };
  struct Sender {
    std::uint64_t client = 0;    // a number that no other client has
    bool may_run_again = false;  // the request has no effect that must not happen twice
  };

  // Stores at most `max_ids` ids of requests that have ended, at most `max_ids_per_client` of them those of
  // one client's requests that must not run twice. `seed` makes the hash unpredictable for clients.
  RecentRequestIds(std::size_t max_ids, std::size_t max_ids_per_client, Duration retention,
                   std::uint64_t seed)
      : max_ids_(max_ids), max_ids_per_client_(max_ids_per_client), retention_(retention), seed_(seed) {}

  Digest digest_of(std::string_view id) const;
  // Stores the id of a request that begins.
  BeginResult begin(Digest id, const Sender& sender, Instant now);
  // Called when the request has ended. The id of a request that cannot have run is forgotten, so that its
  // client may send it again.
  void end(Digest id, bool may_have_run, Instant now);
  std::size_t size() const { return in_flight_.size() + repeatable_.size() + unrepeatable_.size(); }

 private:
  struct Ended {
    Instant expiry;
    std::uint64_t client = 0;
  };
  using EndedIds = LruMap<Ended>;  // in the order of their ends, and so of their expiry

  void remove_expired(EndedIds& ids, Instant now);
  void remove_oldest(EndedIds& ids);
  bool has_room_for(std::uint64_t client) const;
  // Counts the ids of a client's requests that must not run twice, in flight and ended.
  std::size_t count_of(std::uint64_t client) const;
  void set_count_of(std::uint64_t client, std::size_t count);

  std::size_t max_ids_;
  std::size_t max_ids_per_client_;
  Duration retention_;
  std::uint64_t seed_;
  LruMap<Sender> in_flight_;
  EndedIds repeatable_;
  EndedIds unrepeatable_;
  std::size_t unrepeatable_in_flight_ = 0;
  IndexMap counts_;  // by client; clients without such ids are not in it
};

}  // namespace ashbeam
