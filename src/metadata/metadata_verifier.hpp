// Which metadata files may go on to a client: trusted metadata for each repository, and what each client was
// served before. Decides alone; no I/O, the time is an argument and never goes back. Source: TUF 1.0, section
// 5; refusals name the section.
//
// Unlike a TUF client, the verifier sees files in whatever order clients request them, from endpoints that
// take in a new version one after another:
// - A timestamp is checked against the newest accepted one. An older one that was accepted may be served for
//   the repository's `lag` after it was the newest (an endpoint that lags), but never to a client that was
//   served a newer one.
// - Snapshot, targets and delegated roles are checked under each timestamp that may be served. Where none is
//   accepted yet (after a start), a snapshot or targets file has to be signed by its role, in form and in
//   date; its place in the chain is then the client's to check.
// - After a root that rotates the timestamp's or the snapshot's keys (recovery from fast-forward, 5.3.11),
//   former timestamps may be served for `lag` to clients that have not been served that root here.
// - A delegated role whose delegator has not been accepted here can't be checked, and is refused.
// Clients are bounded (client_history.hpp). All of it is lost where the program ends: trust begins at the
// pinned root again.
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
  std::string path_prefix;  // of paths, "/look/updates/"
  std::string pinned_root;  // the pinned root's bytes
  Duration max_lag = Duration::s(30);
};

class MetadataVerifier {
 public:
  static constexpr std::uint32_t kNoRepository = UINT32_MAX;
  static constexpr std::size_t kMaxKnownRoots = 256;         // of a repository
  static constexpr std::size_t kMaxServableTimestamps = 32;  // of a repository
  // Throws std::runtime_error where a pinned root can't be used, naming its prefix.
  MetadataVerifier(std::vector<RepositorySettings> repositories, std::size_t max_clients);

  // The repository that a path (without its query) belongs to, the longest prefix first; `file` is the rest.
  std::uint32_t find_repository(std::string_view path, std::string_view& file) const;
  // May these bytes go to this client? `client` is any number that stays the client's own. Files that are no
  // metadata (whose name does not end in .json) may.
  Refusal check(std::uint32_t repository, std::string_view file, std::string_view bytes, std::uint64_t client,
                Instant now);

  const TrustedMetadata& trusted_metadata(std::uint32_t repository) const {
    return repositories_[repository].trust;
  }
  std::uint64_t verification_count() const { return verifications_; }
  std::uint64_t refusal_count(RefusalReason reason) const {
    return refusal_counts_[static_cast<std::size_t>(reason)];
  }
  std::size_t client_count() const { return client_history_.size(); }

 private:
  // A file that is to go to a client.
  struct ServedFile {
    std::string role;
    std::int64_t named_version = 0;  // by the file's name; 0: none
    std::string_view bytes;
    std::uint64_t client = 0;
    Instant now;
  };
  // A timestamp that is or was the newest.
  struct AcceptedTimestamp {
    std::shared_ptr<const Timestamp> timestamp;
    Instant servable_until;  // never: it is the newest
    TrustedMetadata trust;   // with what was accepted under it
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
    std::int64_t key_generation = 0;            // see ServedVersion
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
  std::vector<std::uint32_t> by_descending_prefix_length_;  // the longest first
  ClientHistory client_history_;
  std::uint64_t verifications_ = 0;
  std::uint64_t refusal_counts_[static_cast<std::size_t>(RefusalReason::kCount)] = {};
};

}  // namespace ashbeam::metadata
