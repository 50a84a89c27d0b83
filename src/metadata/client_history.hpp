// Remembers the newest timestamp that each client was served, so that no client is later served an older one.
// It holds a bounded number of clients and does no I/O.
//
// When the bound is reached, the least recently served client is evicted. For each repository the history
// keeps the newest version that any evicted client was served, and treats every client that it does not know
// as one that was served that version. Eviction therefore never lets a rollback through.
//
// The history is held in memory only and is lost when the program ends.
#pragma once
#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/lru_map.hpp"

namespace ashbeam::metadata {

// The version of a timestamp that was served. A root that rotates the timestamp's or the snapshot's keys lets
// the version numbers start again (recovery from a fast-forward attack, TUF 5.3.11). The number of such roots
// so far is therefore compared before the version.
struct ServedVersion {
  // The number of accepted roots that rotated the timestamp's or the snapshot's keys.
  std::int64_t key_generation = 0;
  std::int64_t version = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): the check takes the 0 in a defaulted comparison for a pointer
  auto operator<=>(const ServedVersion&) const = default;
};

class ClientHistory {
 public:
  // `repositories` is the number of repositories, which are identified by their index. `max_clients` bounds
  // the clients of all repositories together; 0 is treated as 1.
  ClientHistory(std::size_t repositories, std::size_t max_clients);

  // Returns the newest version that the client was served. A client that is not in the history gets the
  // newest version of the evicted ones. `client` is a number that identifies the client and never changes.
  // This call does not make the client a recently served one.
  ServedVersion newest_served(std::uint32_t repository, std::uint64_t client);

  // Called when a client is served a timestamp, or a root, which has the version 0 here. Keeps the newer of
  // `served` and the known version.
  void record(std::uint32_t repository, std::uint64_t client, ServedVersion served);

  // Returns the number of clients in the history. A client counts once for each repository that served it.
  std::size_t size() const { return clients_.size(); }

 private:
  struct Client {
    std::uint32_t repository = 0;
    ServedVersion newest;
  };
  void evict_least_recent();

  std::size_t max_clients_;
  LruMap<Client> clients_;
  std::vector<ServedVersion> newest_evicted_;  // by index of the repository
};

}  // namespace ashbeam::metadata
