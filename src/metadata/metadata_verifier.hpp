// Which metadata files may pass a router: trust for each repository, and what each client was served before.
// Decides alone; no I/O, the time is an argument.
//
// A router sees files in whatever order clients ask, of hosts that take in a new version one after another:
// - A timestamp is held against the newest that has passed here. An older one, validly signed, may pass for
// `lag`
//   after it was the newest (a host that lags), never to a client that was served a newer one.
// - What hangs on a timestamp is held against those that may pass now. Where none is known yet (a fresh
// start),
//   it must be signed by its role, whole and in date: its place in the chain is then the client's to check.
// - After a root that turns the timestamp's keys, timestamps of before may pass for `lag` to clients that
// have
//   not been given that root here.
// - A delegated role whose delegator has not passed here can't be checked, and is refused.
// What is remembered of clients is bounded: who is forgotten counts as having seen what the most recent of
// the forgotten saw, so that forgetting never lets a rollback pass. Killed, all of it is lost: trust begins
// at the pinned root again.
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/index_map.hpp"
#include "base/slab.hpp"
#include "base/time.hpp"
#include "metadata/trust.hpp"

namespace ashbeam::metadata {

struct RepositorySettings {
  std::string prefix;  // of paths, "/look/updates/"
  std::string root;    // the pinned root's bytes
  Span lag = Span::s(30);
};

class MetadataVerifier {
 public:
  static constexpr std::uint32_t kNone = UINT32_MAX;
  static constexpr std::size_t kMostRoots = 256;    // of a repository, whose bytes are known
  static constexpr std::size_t kMostVersions = 32;  // timestamps of a repository that may still pass
  // Throws std::runtime_error where a pinned root can't be used, naming its prefix.
  MetadataVerifier(std::vector<RepositorySettings> repositories, std::size_t clients);

  // The repository that a path (without its query) belongs to, the longest prefix first; `file` is the rest.
  std::uint32_t repository_of(std::string_view path, std::string_view& file) const;
  // May these bytes go to this client? `client` is any number that stays the client's own. Files that are no
  // metadata (whose name does not end in .json) pass.
  Refusal check(std::uint32_t repository, std::string_view file, std::string_view bytes, std::uint64_t client,
                Instant now);

  const Trust& trust(std::uint32_t repository) const { return all_[repository].trust; }
  std::uint64_t verifications() const { return verifications_; }
  std::uint64_t refused(Why why) const { return refused_[static_cast<std::size_t>(why)]; }
  std::size_t clients() const { return by_client_.size(); }

 private:
  // How far a client has come: with each root that turns the timestamp's or the snapshot's keys versions
  // begin anew (recovery from fast-forward), so the turn goes first.
  struct Floor {
    std::int64_t turn = 0, version = 0;
    auto operator<=>(const Floor&) const = default;
  };
  struct Passed {  // a timestamp that was the newest
    std::shared_ptr<const Timestamp> timestamp;
    Instant until;  // from then on it may pass no more; never: it is the newest
    Trust at;       // the trust that went with it
    std::int64_t turn = 0;
  };
  struct Repository {
    RepositorySettings terms;
    Trust trust;
    struct KnownRoot {
      std::string digest;
      std::int64_t turn = 0;
    };
    std::map<std::int64_t, KnownRoot> roots;  // by version
    std::int64_t turn = 0;
    std::vector<Passed> passed;  // the newest last
    Floor forgotten_floor;
  };
  struct Client {
    std::uint64_t key = 0;
    std::uint32_t repository = 0;
    Floor floor;  // what it was served last
    std::uint32_t older = kNone, newer = kNone;
  };
  Refusal root(Repository& r, std::int64_t named, std::string_view bytes, std::uint64_t key, Instant now);
  Refusal timestamp(Repository& r, std::string_view bytes, std::uint64_t key, Instant now);
  Refusal below(Repository& r, const std::string& role, std::int64_t named, std::string_view bytes,
                Instant now);
  Refusal alone(const Repository& r, const std::string& role, std::int64_t named, std::string_view bytes,
                Instant now);  // no context
  Refusal note(Step step, Trust& into);
  Floor floor_of(const Repository& r, std::uint64_t key) const;
  void served(Repository& r, std::uint64_t key, Floor floor);
  void unlink(std::uint32_t at);
  void link_newest(std::uint32_t at);

  std::vector<Repository> all_;
  std::vector<std::uint32_t> by_length_;
  std::size_t most_clients_;
  IndexMap by_client_{64};
  Slab<Client> clients_;
  std::uint32_t oldest_ = kNone, newest_ = kNone;
  std::uint64_t verifications_ = 0;
  std::uint64_t refused_[static_cast<std::size_t>(Why::kCount)] = {};
};

}  // namespace ashbeam::metadata
