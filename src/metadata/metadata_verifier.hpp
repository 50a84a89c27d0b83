// Decides which metadata files of TUF repositories may be forwarded to a client, from the trusted metadata of
// each repository and the versions that each client was served before. It does no I/O. The time is an
// argument and must never go back. It follows TUF 1.0, section 5; refusals name the section.
//
// Unlike a TUF client, the verifier sees files in the order in which clients request them, and from endpoints
// that receive a new version at different times. It therefore applies these rules:
// - A timestamp is checked against the newest accepted one. An older accepted one may still be served until
//   `max_lag` after a newer one replaced it, because an endpoint may lag behind, but never to a client that
//   was served a newer one.
// - Snapshot, targets and delegated roles are checked against each timestamp that may be served. If no
//   timestamp is accepted yet, as after a start, a snapshot or targets file must be well formed, signed by
//   its role and not expired; whether the client's timestamp leads to it is left to the client to check.
// - After a root that rotates the timestamp's or the snapshot's keys (recovery from a fast-forward attack,
//   section 5.3.11), timestamps accepted before it may be served for `max_lag` to clients that were not
//   served that root by this verifier.
// - A delegated role whose delegator has not been accepted can't be checked and is refused.
//
// The number of remembered clients is bounded (client_history.hpp). All state is held in memory: after a
// restart trust begins with the pinned root again.
#pragma once
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.hpp"
#include "metadata/client_history.hpp"
#include "metadata/trusted_metadata.hpp"

namespace ashbeam::metadata {

struct RepositorySettings {
  std::string path_prefix;  // of the request paths of its files, for example "/look/updates/"
  std::string pinned_root;  // bytes of the root file with which trust begins
  // The time for which an older timestamp may be served after a newer one was accepted.
  Duration max_lag = Duration::s(30);
};

class MetadataVerifier {
 public:
  static constexpr std::uint32_t kNoRepository = UINT32_MAX;
  static constexpr std::size_t kMaxKnownRoots = 256;         // for each repository
  static constexpr std::size_t kMaxServableTimestamps = 32;  // for each repository

  // Repositories are identified by their index in `repositories`. `max_clients` bounds the remembered clients
  // of all repositories together. Throws std::runtime_error if a pinned root is refused; the message names
  // the repository's path prefix.
  MetadataVerifier(std::vector<RepositorySettings> repositories, std::size_t max_clients);

  // Returns the repository with the longest prefix of the path, or kNoRepository. `path` has no query. `file`
  // is set to the part of the path after the prefix.
  std::uint32_t find_repository(std::string_view path, std::string_view& file) const;
  // Refuses a file that must not be forwarded to this client, and records what the client is served. `file`
  // is the file's name below the repository's prefix, and `client` a number that identifies the client and
  // never changes. Files other than metadata, whose names do not end in ".json", are never refused.
  Refusal check(std::uint32_t repository, std::string_view file, std::string_view bytes, std::uint64_t client,
                Instant now);

  // Returns the newest trusted metadata of the repository.
  const TrustedMetadata& trusted_metadata(std::uint32_t repository) const {
    return repositories_[repository].trust;
  }
  // Returns the number of signatures verified so far.
  std::uint64_t verification_count() const { return verifications_; }
  // Returns the number of files refused for this reason so far.
  std::uint64_t refusal_count(RefusalReason reason) const {
    return refusal_counts_[static_cast<std::size_t>(reason)];
  }
  // Returns the number of remembered clients (see ClientHistory::size()).
  std::size_t client_count() const { return client_history_.size(); }

 private:
  // A file that an endpoint sent and that is to be forwarded to a client.
  struct ServedFile {
    std::string role;
    std::int64_t named_version = 0;  // the version in the file's name; 0 if the name has none
    std::string_view bytes;
    std::uint64_t client = 0;
    Instant now;
  };
  // A timestamp that may be served: the newest accepted one, or one that was replaced less than `max_lag`
  // ago.
  struct AcceptedTimestamp {
    std::shared_ptr<const Timestamp> timestamp;
    Instant servable_until;  // Instant::never() for the newest
    TrustedMetadata trust;   // this timestamp and the files that were accepted with it
    std::int64_t key_generation = 0;
  };
  struct KnownRoot {
    std::string digest;
    std::int64_t key_generation = 0;
  };
  struct Repository {
    std::uint32_t index = 0;
    RepositorySettings settings;
    TrustedMetadata trust;
    std::map<std::int64_t, KnownRoot> roots;    // by version
    std::int64_t key_generation = 0;            // see ServedVersion::key_generation
    std::vector<AcceptedTimestamp> timestamps;  // the newest last
  };

  static bool parse_file_name(std::string_view name, ServedFile& file);
  static void expire_timestamps(Repository& repository, Instant now);
  static void retire_timestamps(Repository& repository, Instant now);

  Refusal check_root(Repository& repository, const ServedFile& file);
  void accept_root(Repository& repository, TrustedMetadata next, std::string digest, Instant now);
  Refusal check_timestamp(Repository& repository, const ServedFile& file);
  void accept_timestamp(Repository& repository, TrustedMetadata next, Instant now);
  Refusal serve_timestamp(const Repository& repository, const ServedFile& file, ServedVersion offered);
  Refusal check_below_timestamp(Repository& repository, const ServedFile& file);
  Refusal check_with_timestamp(AcceptedTimestamp& accepted, const ServedFile& file);
  Refusal check_without_timestamp(const Repository& repository, const ServedFile& file);

  std::vector<Repository> repositories_;
  std::vector<std::uint32_t> by_descending_prefix_length_;  // indices of `repositories_`
  ClientHistory client_history_;
  std::uint64_t verifications_ = 0;
  std::uint64_t refusal_counts_[static_cast<std::size_t>(RefusalReason::kCount)] = {};
};

}  // namespace ashbeam::metadata
