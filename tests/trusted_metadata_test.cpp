// Trusted metadata: the client's workflow, and named attacks on it.
#include "metadata/trusted_metadata.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

#include "metadata_fixtures.hpp"

namespace ashbeam::metadata {
namespace {

TEST(TrustedMetadata, AWholeUpdateWithKeysOfAllKinds) {
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

// What an attacker does after a client has followed the repository to its second state, and the refusal.
struct Attack {
  const char* name;
  RefusalReason reason;
  std::function<bool(TufClient&, TestRepository&)> run;  // true: it got through
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
      {"timestamp goes back", RefusalReason::kRollback,
       [](TufClient& client, TestRepository& repository) {
         repository.versions["timestamp"] = 1;
         return client.apply_timestamp(repository.timestamp_file());
       }},
      {"snapshot in timestamp goes back", RefusalReason::kRollback,
       [](TufClient& client, TestRepository& repository) {
         ++repository.versions["timestamp"];
         repository.versions["snapshot"] = 1;
         return client.apply_timestamp(repository.timestamp_file());
       }},
      {"targets in snapshot goes back", RefusalReason::kRollback,
       [](TufClient& client, TestRepository& repository) {
         ++repository.versions["timestamp"];
         ++repository.versions["snapshot"];
         repository.versions["targets"] = 1;
         return client.apply_timestamp(repository.timestamp_file()) &&
                client.apply_snapshot(repository.snapshot_file());
       }},
      {"same timestamp, other bytes", RefusalReason::kEquivocation,
       [](TufClient& client, TestRepository& repository) {
         repository.expires["timestamp"] = kDefaultExpiry + Duration::s(60);
         return client.apply_timestamp(repository.timestamp_file());
       }},
      {"a role is listed no more", RefusalReason::kMissing,
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
      {"freeze: timestamp expired", RefusalReason::kExpired,
       [](TufClient& client, TestRepository& repository) {
         return client.apply_timestamp(repository.timestamp_file(), kDefaultExpiry + Duration::s(1));
       }},
      {"snapshot expired", RefusalReason::kExpired,
       [](TufClient& client, TestRepository& repository) {
         repository.increment_versions();
         repository.expires["snapshot"] = kNow - Duration::s(1);
         return client.apply_timestamp(repository.timestamp_file()) &&
                client.apply_snapshot(repository.snapshot_file());
       }},
      {"targets expired", RefusalReason::kExpired,
       [](TufClient& client, TestRepository& repository) {
         repository.increment_versions();
         repository.expires["targets"] = kNow - Duration::s(1);
         return client.update_all(repository);
       }},
      {"root expired", RefusalReason::kExpired,
       [](TufClient& client, TestRepository& repository) {
         const auto old = repository.roles["root"];
         repository.versions["root"] = 2;
         repository.expires["root"] = kNow - Duration::s(1);
         client.apply_root(repository.root_file());
         return client.apply_timestamp(repository.timestamp_file());
       }},
  });
}

TEST(TrustedMetadata, RefusesFilesThatAreNotListed) {
  expect_refused({
      {"mix and match: an older snapshot", RefusalReason::kMismatch,
       [](TufClient& client, TestRepository& repository) {
         const std::string older = repository.snapshot_file();
         repository.increment_versions();
         return client.apply_timestamp(repository.timestamp_file()) && client.apply_snapshot(older);
       }},
      {"mix and match: older targets", RefusalReason::kMismatch,
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
      {"a role that nobody delegates to", RefusalReason::kUnlisted,
       [](TufClient& client, TestRepository& repository) {
         return client.apply_delegated_targets("targets", "stranger", repository.targets_file("part"));
       }},
  });
}

TEST(TrustedMetadata, RefusesFilesWithTooFewSigningKeys) {
  expect_refused({
      {"threshold one key short", RefusalReason::kThreshold,
       [](TufClient& client, TestRepository& repository) {
         ++repository.versions["timestamp"];
         return client.apply_timestamp(Publisher::sign_envelope(repository.signed_part("timestamp"),
                                                                {repository.roles["timestamp"].keys[0]}));
       }},
      {"one key twice", RefusalReason::kThreshold,
       [](TufClient& client, TestRepository& repository) {
         ++repository.versions["timestamp"];
         const auto& k = repository.roles["timestamp"].keys[0];
         return client.apply_timestamp(
             Publisher::sign_envelope(repository.signed_part("timestamp"), {k, k, k}));
       }},
      {"signed by keys of another role", RefusalReason::kThreshold,
       [](TufClient& client, TestRepository& repository) {
         ++repository.versions["timestamp"];
         return client.apply_timestamp(Publisher::sign_envelope(repository.signed_part("timestamp"),
                                                                repository.roles["snapshot"].keys));
       }},
      {"signed by a stranger under a good id", RefusalReason::kThreshold,
       [](TufClient& client, TestRepository& repository) {
         ++repository.versions["timestamp"];
         std::string file = repository.timestamp_file();
         const JsonNode body = repository.signed_part("timestamp");
         const auto sig = repository.roles["timestamp"].keys[0].sign(body.to_canonical_json());
         const std::string other = new_key().sign(body.to_canonical_json());
         return client.apply_timestamp(file.replace(file.find(sig), sig.size(), other));
       }},
      {"a byte of the signed part", RefusalReason::kThreshold,
       [](TufClient& client, TestRepository& repository) {
         ++repository.versions["timestamp"];
         std::string file = repository.timestamp_file();
         const std::size_t at = file.rfind("\"version\":3");
         return client.apply_timestamp(file.replace(at, 11, "\"version\":9"));
       }},
      {"a delegated role by the wrong keys", RefusalReason::kThreshold,
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
      {"trailing bytes", RefusalReason::kUnreadable,
       [](TufClient& client, TestRepository& repository) {
         return client.apply_timestamp(repository.timestamp_file() + "{}");
       }},
      {"a member twice", RefusalReason::kUnreadable,
       [](TufClient& client, TestRepository& repository) {
         std::string file = repository.timestamp_file();
         return client.apply_timestamp(file.replace(file.rfind('}'), 1, ",\"signed\":{}}"));
       }},
      {"version as 1e0", RefusalReason::kUnreadable,
       [](TufClient& client, TestRepository& repository) {
         std::string file = repository.timestamp_file();
         return client.apply_timestamp(file.replace(file.find("\"version\":2"), 11, "\"version\":2e0"));
       }},
      {"64 KiB of brackets", RefusalReason::kTooLong,
       [](TufClient& client, TestRepository&) { return client.apply_timestamp(std::string(65536, '[')); }},
      {"16 KiB of brackets", RefusalReason::kUnreadable,
       [](TufClient& client, TestRepository&) { return client.apply_timestamp(std::string(16000, '[')); }},
      {"a date that there is not", RefusalReason::kUnreadable,
       [](TufClient& client, TestRepository& repository) {
         std::string file = repository.timestamp_file();
         const std::size_t at = file.find("\"expires\":\"") + 11;
         return client.apply_timestamp(file.replace(at, 10, "2027-02-31"));
       }},
      {"another specification", RefusalReason::kUnreadable,
       [](TufClient& client, TestRepository& repository) {
         std::string file = repository.timestamp_file();
         return client.apply_timestamp(file.replace(file.find("1.0.31"), 6, "2.0.31"));
       }},
  });
}

TEST(TrustedMetadata, RefusesRootsThatTheTrustedRootDoesNotLeadTo) {
  expect_refused({
      {"root skips a version", RefusalReason::kRootVersion,
       [](TufClient& client, TestRepository& repository) {
         repository.versions["root"] = 3;
         return client.apply_root(repository.root_file());
       }},
      {"root goes back", RefusalReason::kRollback,
       [](TufClient& client, TestRepository& repository) {
         repository.versions["root"] = 2;
         client.apply_root(repository.root_file());
         repository.versions["root"] = 1;
         repository.expires["root"] = kDefaultExpiry + Duration::s(5);
         return client.apply_root(repository.root_file());
       }},
      {"the same root, other bytes", RefusalReason::kEquivocation,
       [](TufClient& client, TestRepository& repository) {
         repository.expires["root"] = kDefaultExpiry + Duration::s(5);
         return client.apply_root(repository.root_file());
       }},
      {"root without the former keys", RefusalReason::kThreshold,
       [](TufClient& client, TestRepository& repository) {
         repository.roles["root"].keys = {new_key()};
         repository.versions["root"] = 2;
         return client.apply_root(repository.root_file());
       }},
      {"root without its own keys", RefusalReason::kThreshold,
       [](TufClient& client, TestRepository& repository) {
         const auto old = repository.roles["root"].keys;
         repository.roles["root"].keys = {new_key()};
         repository.versions["root"] = 2;
         return client.apply_root(Publisher::sign_envelope(repository.signed_part("root"), old));
       }},
      {"a key under an id that is not its own", RefusalReason::kKey,
       [](TufClient& client, TestRepository& repository) {
         repository.versions["root"] = 2;
         JsonNode body = repository.signed_part("root");
         for (auto& [name, member] : body.members) {
           if (name != "keys") continue;
           member.members[0].value = new_key().public_key_object();
         }
         return client.apply_root(Publisher::sign_envelope(body, repository.roles["root"].keys));
       }},
      {"a threshold of 0", RefusalReason::kUnreadable,
       [](TufClient& client, TestRepository& repository) {
         repository.versions["root"] = 2;
         repository.roles["timestamp"].threshold = 0;
         return client.apply_root(repository.root_file());
       }},
  });
}

TEST(TrustedMetadata, OneKeyUnderTwoIdsCountsOnce) {
  TestRepository repository;
  const SigningKey key = new_key();
  repository.roles["timestamp"].keys = {key, key.with_extra_member("x-note")};
  repository.roles["timestamp"].threshold = 2;
  TufClient client;
  ASSERT_TRUE(client.apply_root(repository.root_file())) << client.refusal_line();
  EXPECT_FALSE(client.apply_timestamp(repository.timestamp_file()));
  EXPECT_EQ(client.refusal_line(), "threshold timestamp: 1 of 2 distinct keys (TUF 5.4.2)");
}

TEST(TrustedMetadata, RootRotatesBetweenTimestampAndSnapshot) {
  TestRepository repository;
  TufClient client;
  ASSERT_TRUE(client.apply_root(repository.root_file()) &&
              client.apply_timestamp(repository.timestamp_file()));
  const auto old = repository.roles["root"];
  repository.roles["root"].keys = {new_key()};
  repository.versions["root"] = 2;
  EXPECT_TRUE(client.apply_root(repository.root_file(&old)))
      << client.refusal_line();  // only root's own keys: what was had stands
  EXPECT_TRUE(client.apply_snapshot(repository.snapshot_file()) &&
              client.apply_targets(repository.targets_file()))
      << client.refusal_line();
  const auto second = repository.roles["root"];
  repository.roles["snapshot"].keys = {new_key()};
  repository.versions["root"] = 3;
  EXPECT_TRUE(client.apply_root(repository.root_file(&second))) << client.refusal_line();
  EXPECT_FALSE(client.trust.timestamp || client.trust.snapshot);  // the old key's word falls
  EXPECT_TRUE(client.update_all(repository)) << client.refusal_line();
}

TEST(TrustedMetadata, FastForwardAndTheRecoveryByRoot) {
  TestRepository repository;
  TufClient client;
  ASSERT_TRUE(client.apply_root(repository.root_file()) && client.update_all(repository));
  repository.versions["timestamp"] = INT64_MAX;
  repository.versions["snapshot"] = INT64_MAX;
  ASSERT_TRUE(client.update_all(repository));  // who has the keys can do that
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
