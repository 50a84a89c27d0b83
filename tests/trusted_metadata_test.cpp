// Tests of trusted metadata: the client workflow of TUF, and known attacks on it.
#include "metadata/trusted_metadata.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

#include "metadata_fixtures.hpp"

namespace ashbeam::metadata {
namespace {

TEST(TrustedMetadata, AcceptsCompleteUpdateWithKeysOfAllKinds) {
  TestRepository repository;
  for (const auto kind : {SigningKey::Kind::kEcdsa, SigningKey::Kind::kRsa}) {
    for (auto& [name, role] : repository.roles) {
      role.keys.push_back(SigningKey::generate(kind));
      ++role.threshold;
    }
  }
  TufClient client;
  ASSERT_TRUE(client.apply_root(repository.root_file())) << client.refusal_line();
  ASSERT_TRUE(client.update_all(repository)) << client.refusal_line();
  const TargetLookup found = find_target(client.trust, "app.bin", kNow);
  ASSERT_TRUE(found.target);
  EXPECT_FALSE(check_target_content(*found.target, "app"));
  EXPECT_TRUE(check_target_content(*found.target, "apq") && check_target_content(*found.target, "app2"));
  EXPECT_FALSE(find_target(client.trust, "other", kNow).target);
  const TrustUpdate again = update_timestamp(client.trust, repository.timestamp_file(), kNow);
  EXPECT_TRUE(!again.refusal && !again.changed && again.verifications == 0);
}

// An attack on a client that has accepted two versions of the repository, and the expected refusal.
struct Attack {
  const char* name;
  RefusalReason reason;
  std::function<bool(TufClient&, TestRepository&)> run;  // returns whether the client accepted the file
};

void expect_refused(const std::vector<Attack>& attacks) {
  for (const Attack& attack : attacks) {
    TestRepository repository;
    repository.roles["timestamp"].keys.push_back(new_key());
    repository.roles["timestamp"].threshold = 2;
    repository.delegations.push_back(make_delegation("targets", "part", {"p/*"}));
    TufClient client;
    ASSERT_TRUE(client.apply_root(repository.root_file()) && client.update_all(repository))
        << client.refusal_line();
    repository.increment_versions();
    ASSERT_TRUE(client.update_all(repository)) << client.refusal_line();
    EXPECT_FALSE(attack.run(client, repository)) << attack.name;
    EXPECT_EQ(name_of(client.last_refusal.reason), name_of(attack.reason))
        << attack.name << ": " << client.refusal_line();
  }
}

TEST(TrustedMetadata, RefusesRollbackAndEquivocation) {
  expect_refused({
      {"older timestamp", RefusalReason::kRollback,
       [](TufClient& client, TestRepository& repository) {
         repository.versions["timestamp"] = 1;
         return client.apply_timestamp(repository.timestamp_file());
       }},
      {"timestamp lists an older snapshot", RefusalReason::kRollback,
       [](TufClient& client, TestRepository& repository) {
         ++repository.versions["timestamp"];
         repository.versions["snapshot"] = 1;
         return client.apply_timestamp(repository.timestamp_file());
       }},
      {"snapshot lists older targets", RefusalReason::kRollback,
       [](TufClient& client, TestRepository& repository) {
         ++repository.versions["timestamp"];
         ++repository.versions["snapshot"];
         repository.versions["targets"] = 1;
         return client.apply_timestamp(repository.timestamp_file()) &&
                client.apply_snapshot(repository.snapshot_file());
       }},
      {"timestamp of the same version with other bytes", RefusalReason::kEquivocation,
       [](TufClient& client, TestRepository& repository) {
         repository.expires["timestamp"] = kDefaultExpiry + Duration::s(60);
         return client.apply_timestamp(repository.timestamp_file());
       }},
      {"snapshot no longer lists a role", RefusalReason::kMissing,
       [](TufClient& client, TestRepository& repository) {
         repository.delegations.clear();
         repository.increment_versions();
         return client.apply_timestamp(repository.timestamp_file()) &&
                client.apply_snapshot(repository.snapshot_file());
       }},
  });
}

TEST(TrustedMetadata, RefusesExpiredFiles) {
  expect_refused({
      {"freeze attack: expired timestamp", RefusalReason::kExpired,
       [](TufClient& client, TestRepository& repository) {
         return client.apply_timestamp(repository.timestamp_file(), kDefaultExpiry + Duration::s(1));
       }},
      {"expired snapshot", RefusalReason::kExpired,
       [](TufClient& client, TestRepository& repository) {
         repository.increment_versions();
         repository.expires["snapshot"] = kNow - Duration::s(1);
         return client.apply_timestamp(repository.timestamp_file()) &&
                client.apply_snapshot(repository.snapshot_file());
       }},
      {"expired targets", RefusalReason::kExpired,
       [](TufClient& client, TestRepository& repository) {
         repository.increment_versions();
         repository.expires["targets"] = kNow - Duration::s(1);
         return client.update_all(repository);
       }},
      {"expired root", RefusalReason::kExpired,
       [](TufClient& client, TestRepository& repository) {
         const auto previous_root_keys = repository.roles["root"];
         repository.versions["root"] = 2;
         repository.expires["root"] = kNow - Duration::s(1);
         client.apply_root(repository.root_file());
         return client.apply_timestamp(repository.timestamp_file());
       }},
  });
}

TEST(TrustedMetadata, RefusesFilesThatTheRoleAboveDoesNotList) {
  expect_refused({
      {"mix-and-match attack: older snapshot", RefusalReason::kMismatch,
       [](TufClient& client, TestRepository& repository) {
         const std::string older = repository.snapshot_file();
         repository.increment_versions();
         return client.apply_timestamp(repository.timestamp_file()) && client.apply_snapshot(older);
       }},
      {"mix-and-match attack: older targets", RefusalReason::kMismatch,
       [](TufClient& client, TestRepository& repository) {
         const std::string older = repository.targets_file();
         repository.increment_versions();
         return client.apply_timestamp(repository.timestamp_file()) &&
                client.apply_snapshot(repository.snapshot_file()) && client.apply_targets(older);
       }},
      {"snapshot before its timestamp", RefusalReason::kOutOfOrder,
       [](TufClient& client, TestRepository& repository) {
         client.trust.timestamp = nullptr;
         return client.apply_snapshot(repository.snapshot_file());
       }},
      {"role without a delegation", RefusalReason::kUnlisted,
       [](TufClient& client, TestRepository& repository) {
         return client.apply_delegated_targets("targets", "stranger", repository.targets_file("part"));
       }},
  });
}

TEST(TrustedMetadata, RefusesFilesWithTooFewSigningKeys) {
  expect_refused({
      {"one key fewer than the threshold", RefusalReason::kThreshold,
       [](TufClient& client, TestRepository& repository) {
         ++repository.versions["timestamp"];
         return client.apply_timestamp(Publisher::sign_envelope(repository.signed_part("timestamp"),
                                                                {repository.roles["timestamp"].keys[0]}));
       }},
      {"several signatures by one key", RefusalReason::kThreshold,
       [](TufClient& client, TestRepository& repository) {
         ++repository.versions["timestamp"];
         const auto& key = repository.roles["timestamp"].keys[0];
         return client.apply_timestamp(
             Publisher::sign_envelope(repository.signed_part("timestamp"), {key, key, key}));
       }},
      {"signatures by keys of another role", RefusalReason::kThreshold,
       [](TufClient& client, TestRepository& repository) {
         ++repository.versions["timestamp"];
         return client.apply_timestamp(Publisher::sign_envelope(repository.signed_part("timestamp"),
                                                                repository.roles["snapshot"].keys));
       }},
      {"signature by an unknown key under a valid key id", RefusalReason::kThreshold,
       [](TufClient& client, TestRepository& repository) {
         ++repository.versions["timestamp"];
         std::string file = repository.timestamp_file();
         const JsonNode signed_part = repository.signed_part("timestamp");
         const auto signature = repository.roles["timestamp"].keys[0].sign(signed_part.to_canonical_json());
         const std::string other = new_key().sign(signed_part.to_canonical_json());
         return client.apply_timestamp(file.replace(file.find(signature), signature.size(), other));
       }},
      {"one byte of the signed part changed", RefusalReason::kThreshold,
       [](TufClient& client, TestRepository& repository) {
         ++repository.versions["timestamp"];
         std::string file = repository.timestamp_file();
         const std::size_t at = file.rfind("\"version\":3");
         return client.apply_timestamp(file.replace(at, 11, "\"version\":9"));
       }},
      {"delegated role signed by the delegator's keys", RefusalReason::kThreshold,
       [](TufClient& client, TestRepository& repository) {
         repository.list_hashes = false;
         repository.increment_versions();
         return client.update_all(repository) &&
                client.apply_delegated_targets("targets", "part",
                                               Publisher::sign_envelope(repository.signed_part("part"),
                                                                        repository.roles["targets"].keys));
       }},
  });
}

TEST(TrustedMetadata, RefusesMalformedFiles) {
  expect_refused({
      {"snapshot offered as timestamp", RefusalReason::kWrongRole,
       [](TufClient& client, TestRepository& repository) {
         return client.apply_timestamp(repository.snapshot_file());
       }},
      {"bytes after the JSON value", RefusalReason::kUnreadable,
       [](TufClient& client, TestRepository& repository) {
         return client.apply_timestamp(repository.timestamp_file() + "{}");
       }},
      {"repeated member", RefusalReason::kUnreadable,
       [](TufClient& client, TestRepository& repository) {
         std::string file = repository.timestamp_file();
         return client.apply_timestamp(file.replace(file.rfind('}'), 1, ",\"signed\":{}}"));
       }},
      {"version in exponent notation", RefusalReason::kUnreadable,
       [](TufClient& client, TestRepository& repository) {
         std::string file = repository.timestamp_file();
         return client.apply_timestamp(file.replace(file.find("\"version\":2"), 11, "\"version\":2e0"));
       }},
      {"file over the size limit", RefusalReason::kTooLong,
       [](TufClient& client, TestRepository&) { return client.apply_timestamp(std::string(65536, '[')); }},
      {"JSON nested too deeply", RefusalReason::kUnreadable,
       [](TufClient& client, TestRepository&) { return client.apply_timestamp(std::string(16000, '[')); }},
      {"date that does not exist", RefusalReason::kUnreadable,
       [](TufClient& client, TestRepository& repository) {
         std::string file = repository.timestamp_file();
         const std::size_t at = file.find("\"expires\":\"") + 11;
         return client.apply_timestamp(file.replace(at, 10, "2027-02-31"));
       }},
      {"unsupported version of the specification", RefusalReason::kUnreadable,
       [](TufClient& client, TestRepository& repository) {
         std::string file = repository.timestamp_file();
         return client.apply_timestamp(file.replace(file.find("1.0.31"), 6, "2.0.31"));
       }},
  });
}

TEST(TrustedMetadata, RefusesRootsThatDoNotFollowTheTrustedRoot) {
  expect_refused({
      {"root that skips a version", RefusalReason::kRootVersion,
       [](TufClient& client, TestRepository& repository) {
         repository.versions["root"] = 3;
         return client.apply_root(repository.root_file());
       }},
      {"older root", RefusalReason::kRollback,
       [](TufClient& client, TestRepository& repository) {
         repository.versions["root"] = 2;
         client.apply_root(repository.root_file());
         repository.versions["root"] = 1;
         repository.expires["root"] = kDefaultExpiry + Duration::s(5);
         return client.apply_root(repository.root_file());
       }},
      {"root of the same version with other bytes", RefusalReason::kEquivocation,
       [](TufClient& client, TestRepository& repository) {
         repository.expires["root"] = kDefaultExpiry + Duration::s(5);
         return client.apply_root(repository.root_file());
       }},
      {"root not signed by the previous root's keys", RefusalReason::kThreshold,
       [](TufClient& client, TestRepository& repository) {
         repository.roles["root"].keys = {new_key()};
         repository.versions["root"] = 2;
         return client.apply_root(repository.root_file());
       }},
      {"root not signed by its own keys", RefusalReason::kThreshold,
       [](TufClient& client, TestRepository& repository) {
         const auto previous_keys = repository.roles["root"].keys;
         repository.roles["root"].keys = {new_key()};
         repository.versions["root"] = 2;
         return client.apply_root(Publisher::sign_envelope(repository.signed_part("root"), previous_keys));
       }},
      {"key under the id of another key", RefusalReason::kKey,
       [](TufClient& client, TestRepository& repository) {
         repository.versions["root"] = 2;
         JsonNode signed_part = repository.signed_part("root");
         for (auto& [name, member] : signed_part.members) {
           if (name != "keys") continue;
           member.members[0].value = new_key().public_key_object();
         }
         return client.apply_root(Publisher::sign_envelope(signed_part, repository.roles["root"].keys));
       }},
      {"threshold of 0", RefusalReason::kUnreadable,
       [](TufClient& client, TestRepository& repository) {
         repository.versions["root"] = 2;
         repository.roles["timestamp"].threshold = 0;
         return client.apply_root(repository.root_file());
       }},
  });
}

TEST(TrustedMetadata, CountsOneKeyUnderTwoIdsOnce) {
  TestRepository repository;
  const SigningKey key = new_key();
  repository.roles["timestamp"].keys = {key, key.with_extra_member("x-note")};
  repository.roles["timestamp"].threshold = 2;
  TufClient client;
  ASSERT_TRUE(client.apply_root(repository.root_file())) << client.refusal_line();
  EXPECT_FALSE(client.apply_timestamp(repository.timestamp_file()));
  EXPECT_EQ(client.refusal_line(), "threshold timestamp: 1 of 2 distinct keys (TUF 5.4.2)");
}

TEST(TrustedMetadata, KeepsTimestampUnlessRootRotatesItsOrTheSnapshotsKeys) {
  TestRepository repository;
  TufClient client;
  ASSERT_TRUE(client.apply_root(repository.root_file()) &&
              client.apply_timestamp(repository.timestamp_file()));
  const auto previous_root_keys = repository.roles["root"];
  repository.roles["root"].keys = {new_key()};
  repository.versions["root"] = 2;
  EXPECT_TRUE(client.apply_root(repository.root_file(&previous_root_keys)))
      << client.refusal_line();  // rotates only the root's own keys, so the timestamp stays trusted
  EXPECT_TRUE(client.apply_snapshot(repository.snapshot_file()) &&
              client.apply_targets(repository.targets_file()))
      << client.refusal_line();
  const auto second_root_keys = repository.roles["root"];
  repository.roles["snapshot"].keys = {new_key()};
  repository.versions["root"] = 3;
  EXPECT_TRUE(client.apply_root(repository.root_file(&second_root_keys))) << client.refusal_line();
  EXPECT_FALSE(client.trust.timestamp ||
               client.trust.snapshot);  // no longer trusted, because a key was rotated
  EXPECT_TRUE(client.update_all(repository)) << client.refusal_line();
}

TEST(TrustedMetadata, RecoversFromFastForwardByRootThatRotatesKeys) {
  TestRepository repository;
  TufClient client;
  ASSERT_TRUE(client.apply_root(repository.root_file()) && client.update_all(repository));
  repository.versions["timestamp"] = INT64_MAX;
  repository.versions["snapshot"] = INT64_MAX;
  ASSERT_TRUE(client.update_all(repository));  // an attacker who has the keys can raise the versions
  repository.versions["timestamp"] = 3;
  repository.versions["snapshot"] = 3;
  EXPECT_FALSE(client.apply_timestamp(repository.timestamp_file()));
  repository.roles["timestamp"].keys = {new_key()};
  repository.versions["root"] = 2;
  ASSERT_TRUE(client.apply_root(repository.root_file())) << client.refusal_line();
  EXPECT_TRUE(client.update_all(repository)) << client.refusal_line();
}

}  // namespace
}  // namespace ashbeam::metadata
