// Compares trusted metadata with a reference model on random repositories. The model does not parse or verify
// files: it is given the facts of each file and states the rules of the TUF workflow in the plainest form.
#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/pcg.hpp"
#include "metadata_fixtures.hpp"

namespace ashbeam::metadata {
namespace {

struct ListedFile {
  std::int64_t version = 0;
  std::string bytes;
};

struct FileFacts {
  std::string type;
  std::string bytes;
  std::int64_t version = 0;
  Instant expires;
  std::set<std::string> signing_keys;
  std::map<std::string, std::set<std::string>> keys;  // of a root, by role
  std::map<std::string, std::int64_t> thresholds;     // of a root, by role
  ListedFile listed;                                  // of a timestamp or a snapshot: the file that it lists
};

class ReferenceModel {
 public:
  explicit ReferenceModel(const FileFacts* root) : root_(root) {}

  // Returns whether the file is accepted.
  bool update(const FileFacts& file, Instant now) {
    if (file.type == "root") return update_root(file);
    if (file.type == "timestamp") return update_timestamp(file, now);
    if (file.type == "snapshot") return update_snapshot(file, now);
    return update_targets(file, now);
  }
  std::int64_t root_version() const { return root_->version; }
  bool has_timestamp() const { return timestamp_ != nullptr; }
  bool has_snapshot() const { return snapshot_ != nullptr; }

 private:
  static bool has_enough_keys(const FileFacts& root, const std::string& role, const FileFacts& file) {
    std::int64_t signing = 0;
    for (const auto& key : root.keys.at(role)) signing += file.signing_keys.contains(key);
    return signing >= root.thresholds.at(role);
  }

  bool rotates_keys_of(const FileFacts& next, const std::string& role) const {
    return next.keys.at(role) != root_->keys.at(role) ||
           next.thresholds.at(role) != root_->thresholds.at(role);
  }

  bool update_root(const FileFacts& file) {
    if (file.bytes == root_->bytes) return true;
    if (!has_enough_keys(*root_, "root", file) || !has_enough_keys(file, "root", file)) return false;
    if (file.version != root_->version + 1) return false;
    const bool recovers = rotates_keys_of(file, "timestamp") || rotates_keys_of(file, "snapshot");
    const bool rotates_targets = rotates_keys_of(file, "targets");
    root_ = &file;
    if (recovers) {
      timestamp_ = nullptr;
      snapshot_ = nullptr;
    }
    if (recovers || rotates_targets) targets_ = nullptr;
    return true;
  }

  bool update_timestamp(const FileFacts& file, Instant now) {
    if (now >= root_->expires || now >= file.expires) return false;
    if (!has_enough_keys(*root_, "timestamp", file)) return false;
    if (timestamp_) {
      if (file.version < timestamp_->version) return false;
      if (file.version == timestamp_->version && file.bytes != timestamp_->bytes) return false;
      if (file.listed.version < timestamp_->listed.version) return false;
    }
    timestamp_ = &file;
    return true;
  }

  bool is_listed(const FileFacts& file, const FileFacts& by, Instant now) const {
    if (file.bytes != by.listed.bytes || file.version != by.listed.version) return false;
    return now < file.expires && has_enough_keys(*root_, file.type, file);
  }

  bool update_snapshot(const FileFacts& file, Instant now) {
    if (!timestamp_ || now >= timestamp_->expires) return false;
    if (!is_listed(file, *timestamp_, now)) return false;
    if (snapshot_) {
      if (file.version == snapshot_->version && file.bytes != snapshot_->bytes) return false;
      if (file.listed.version < snapshot_->listed.version) return false;
    }
    snapshot_ = &file;
    if (targets_ && targets_->version != file.listed.version) targets_ = nullptr;
    return true;
  }

  bool update_targets(const FileFacts& file, Instant now) {
    if (!timestamp_ || now >= timestamp_->expires) return false;
    if (!snapshot_ || now >= snapshot_->expires) return false;
    if (!is_listed(file, *snapshot_, now)) return false;
    if (targets_ && targets_->version == file.version && targets_->bytes != file.bytes) return false;
    targets_ = &file;
    return true;
  }

  const FileFacts* root_ = nullptr;
  const FileFacts* timestamp_ = nullptr;
  const FileFacts* snapshot_ = nullptr;
  const FileFacts* targets_ = nullptr;
};

constexpr const char* kTypes[] = {"root", "timestamp", "snapshot", "targets"};

// A repository that changes at random and signs its files with random keys.
class RandomRepository {
 public:
  RandomRepository(std::uint64_t seed, const std::vector<SigningKey>& key_pool)
      : random_(seed), key_pool_(key_pool) {
    for (const char* role : kTypes) choose_keys(role);
  }

  // Writes the file of the repository's current state. Seven of eight files are signed by their role's keys
  // (a root by all keys of the pool), the others by random keys.
  const FileFacts& make_file(const std::string& type) {
    FileFacts file;
    file.type = type;
    file.version = publisher_.versions[type];
    file.expires = publisher_.expires.contains(type) ? publisher_.expires[type] : publisher_.default_expiry;
    const std::vector<SigningKey> keys = choose_signing_keys(type);
    for (const auto& key : keys) file.signing_keys.insert(key.id());
    if (type == "root") add_roles(file);
    if (type == "timestamp") file.listed = {publisher_.versions["snapshot"], publisher_.snapshot_file()};
    if (type == "snapshot") file.listed = {publisher_.versions["targets"], publisher_.targets_file()};
    file.bytes = Publisher::sign_envelope(publisher_.signed_part(type), keys);
    files_.push_back(file);
    return files_.back();
  }

  void change(const std::string& type, int step, std::int64_t trusted_root_version) {
    switch (random_.next_below(8)) {
      case 0:
        publisher_.versions[type] += type == "root" ? 1 : random_.next_below(3);
        break;
      case 1:
        if (publisher_.versions[type] > 1 && random_.next_below(3) == 0) --publisher_.versions[type];
        break;
      case 2:
        publisher_.expires[type] = kNow + Duration::s(static_cast<double>(random_.next_below(200)) - 40);
        break;
      case 3:
        if (random_.next_below(4) != 0) break;
        choose_keys(type);
        publisher_.versions["root"] = trusted_root_version + 1;
        break;
      case 4:
        publisher_.target_contents["targets"]["f" + std::to_string(random_.next_below(4))] =
            std::to_string(step);
        break;
      default:
        break;
    }
  }

  // Returns a random earlier file in one of four cases, and a new one otherwise.
  const FileFacts& next_file(const std::string& type, int step) {
    if (random_.next_below(4) == 0)
      return files_[random_.next_below(static_cast<std::uint32_t>(files_.size()))];
    return make_file(random_.next_below(2) == 0 ? type : kTypes[1 + step % 3]);
  }

  Pcg& random() { return random_; }

 private:
  void choose_keys(const std::string& role_name) {
    auto& role = publisher_.roles[role_name];
    role.keys.clear();
    for (const auto& key : key_pool_) {
      if (random_.next_below(3) == 0) role.keys.push_back(key);
    }
    if (role.keys.empty()) role.keys.push_back(key_pool_[random_.next_below(6)]);
    role.threshold = 1 + random_.next_below(static_cast<std::uint32_t>(role.keys.size()));
  }

  std::vector<SigningKey> choose_signing_keys(const std::string& type) {
    if (random_.next_below(8) != 0) return type == "root" ? key_pool_ : publisher_.roles[type].keys;
    std::vector<SigningKey> keys;
    for (const auto& key : key_pool_) {
      if (random_.next_below(2) == 0) keys.push_back(key);
    }
    return keys;
  }

  void add_roles(FileFacts& root) const {
    for (const auto& [name, role] : publisher_.roles) {
      for (const auto& key : role.keys) root.keys[name].insert(key.id());
      root.thresholds[name] = role.threshold;
    }
  }

  Pcg random_;
  const std::vector<SigningKey>& key_pool_;
  Publisher publisher_{kDefaultExpiry};
  std::deque<FileFacts> files_;  // references to them stay valid
};

const FileFacts* pin_first_valid_root(RandomRepository& repository, TufClient& client) {
  constexpr int kMaxTries = 50;
  for (int i = 0; i < kMaxTries; ++i) {
    const FileFacts& file = repository.make_file("root");
    if (client.apply_root(file.bytes)) return &file;
  }
  return nullptr;
}

TrustUpdate update_with(const TrustedMetadata& trust, const FileFacts& file, Instant now) {
  if (file.type == "root") return update_root(trust, file.bytes);
  if (file.type == "timestamp") return update_timestamp(trust, file.bytes, now);
  if (file.type == "snapshot") return update_snapshot(trust, file.bytes, now);
  return update_targets(trust, file.bytes, now);
}

TEST(TrustedMetadata, AgreesWithReferenceModelOnRandomRepositories) {
  std::vector<SigningKey> key_pool;
  for (int i = 0; i < 6; ++i) key_pool.push_back(new_key());
  unsigned accepted = 0;
  unsigned refused = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    RandomRepository repository(seed, key_pool);
    TufClient client;
    const FileFacts* const first = pin_first_valid_root(repository, client);
    ASSERT_TRUE(first);
    ReferenceModel model(first);
    for (int step = 0; step < 120; ++step) {
      const std::string type = kTypes[repository.random().next_below(4)];
      repository.change(type, step, model.root_version());
      const Instant now = kNow + Duration::s(repository.random().next_below(60));
      const FileFacts& file = repository.next_file(type, step);
      const TrustUpdate update = update_with(client.trust, file, now);
      const bool expected = model.update(file, now);
      ASSERT_EQ(!update.refusal, expected)
          << seed << " " << step << " " << file.type << " " << update.refusal.line();
      ++(expected ? accepted : refused);
      if (expected) client.trust = update.trust;
      ASSERT_EQ(client.trust.timestamp != nullptr, model.has_timestamp()) << seed << " " << step;
      ASSERT_EQ(client.trust.snapshot != nullptr, model.has_snapshot()) << seed << " " << step;
    }
  }
  EXPECT_GT(accepted, 700U);
  EXPECT_GT(refused, 2000U);
}

}  // namespace
}  // namespace ashbeam::metadata
