// The newest timestamp that each client was served, for a bounded number of clients. Decides alone; no I/O.
//
// The least recently served client is evicted. From then on it counts as having seen what the most recent of
// the evicted saw, so that eviction never lets a rollback through. All of it is lost where the program ends.
#pragma once
#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/lru_map.hpp"

namespace ashbeam::metadata {

// A timestamp's version. Versions begin anew with each root that rotates the timestamp's or the snapshot's
// keys (recovery from fast-forward, TUF 5.3.11), so such roots are counted and compared first.
struct ServedVersion {
  std::int64_t key_generation = 0;
  std::int64_t version = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): the check takes the 0 in a defaulted comparison for a pointer
  auto operator<=>(const ServedVersion&) const = default;
};

class ClientHistory {
 public:
  // `repositories`: how many; they are named by index. `max_clients`: of all repositories together.
  ClientHistory(std::size_t repositories, std::size_t max_clients);

  // `client` is any number that stays the client's own. Does not count as a use.
  ServedVersion newest_served(std::uint32_t repository, std::uint64_t client);
  void record(std::uint32_t repository, std::uint64_t client, ServedVersion served);
  std::size_t size() const { return clients_.size(); }

 private:
  struct Client {
    std::uint32_t repository = 0;
    ServedVersion newest;
  };
  void evict_least_recent();

  std::size_t max_clients_;
  LruMap<Client> clients_;
  std::vector<ServedVersion> newest_evicted_;  // by repository
};

}  // namespace ashbeam::metadata
