// The metadata verifier: which files may go on to which client.
#include "metadata/metadata_verifier.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "metadata_fixtures.hpp"

namespace ashbeam::metadata {
namespace {

// A verifier of one repository, and requests of clients by number.
struct VerifiedRepository {
  TestRepository repository;
  std::unique_ptr<MetadataVerifier> verifier;
  Instant now = kNow;

  explicit VerifiedRepository(Duration lag = Duration::s(30), std::size_t max_clients = 100) {
    verifier = std::make_unique<MetadataVerifier>(
        std::vector<RepositorySettings>{{"/look/u/", repository.root_file(), lag}}, max_clients);
  }
  // The refusal's reason; empty where the file may go on.
  std::string check(const std::string& file, const std::string& bytes, std::uint64_t client = 1) {
    const Refusal refusal = verifier->check(0, file, bytes, client, now);
    return refusal ? std::string(name_of(refusal.reason)) : "";
  }
  std::string check_timestamp(std::uint64_t client = 1) {
    return check("timestamp.json", repository.timestamp_file(), client);
  }
};

TEST(MetadataVerifier, FindsTheRepositoryOfTheLongestPrefix) {
  const Publisher publisher(kNow + Duration::s(9));
  const MetadataVerifier verifier(
      {{"/look/", publisher.root_file(), {}}, {"/look/u/", publisher.root_file(), {}}}, 10);
  std::string_view file;
  EXPECT_EQ(verifier.find_repository("/look/u/timestamp.json", file), 1U);
  EXPECT_EQ(file, "timestamp.json");
  EXPECT_EQ(verifier.find_repository("/look/x", file), 0U);
  EXPECT_EQ(verifier.find_repository("/book/u/", file), MetadataVerifier::kNoRepository);
  EXPECT_THROW(MetadataVerifier({{"/look/", "{}", {}}}, 10), std::runtime_error);
}

TEST(MetadataVerifier, AnEndpointThatLagsIsServedForAWhileAndNeverBehindWhatAClientSaw) {
  VerifiedRepository served;
  const std::string old = served.repository.timestamp_file();
  const std::string old_snapshot = served.repository.snapshot_file();
  const std::string old_targets = served.repository.targets_file();
  EXPECT_EQ(served.check_timestamp(1) + served.check_timestamp(2), "");
  served.repository.increment_versions();
  EXPECT_EQ(served.check_timestamp(1), "");
  EXPECT_EQ(served.check("timestamp.json", old, 2), "");            // 2 has seen nothing newer
  EXPECT_EQ(served.check("timestamp.json", old, 1), "rollback");    // 1 has
  EXPECT_EQ(served.check("1.snapshot.json", old_snapshot, 2), "");  // between two versions
  EXPECT_EQ(served.check("1.targets.json", old_targets, 2), "");
  EXPECT_EQ(served.check("2.snapshot.json", served.repository.snapshot_file(), 1), "");
  EXPECT_EQ(served.check("2.snapshot.json", old_snapshot, 1), "mismatch");  // good, and not in this place
  EXPECT_EQ(served.check("2.targets.json", old_targets, 1), "mismatch");
  served.now = served.now + Duration::s(31);
  EXPECT_EQ(served.check("timestamp.json", old, 2), "rollback");
  EXPECT_EQ(served.check("timestamp.json", old, 3), "rollback");
  EXPECT_EQ(served.check("1.snapshot.json", old_snapshot, 2), "mismatch");
  served.now = kNow + Duration::s(90000);
  EXPECT_EQ(served.check_timestamp(2), "expired");  // the same bytes that were accepted before
}

TEST(MetadataVerifier, AFileWithoutItsTimestampMustBeValidByItself) {
  VerifiedRepository served;
  EXPECT_EQ(served.check("1.snapshot.json", served.repository.snapshot_file()), "");
  EXPECT_EQ(served.check("2.snapshot.json", served.repository.snapshot_file()), "mismatch");
  const Publisher stranger(kNow + Duration::s(86400));
  EXPECT_EQ(served.check("1.snapshot.json", stranger.snapshot_file()), "threshold");
  EXPECT_EQ(served.check("1.snapshot.json", served.repository.snapshot_file().substr(0, 200)), "unreadable");
  EXPECT_EQ(served.check("1.part.json", served.repository.targets_file()), "out-of-order");
  EXPECT_EQ(served.check("app", "anything"), "");  // no metadata
  EXPECT_EQ(served.check_timestamp(), "");
  EXPECT_EQ(served.check("1.snapshot.json", stranger.snapshot_file()), "mismatch");
}

TEST(MetadataVerifier, RootsInTheirOrderAndTheRecoveryFromFastForward) {
  VerifiedRepository served;
  served.repository.versions["timestamp"] = 1'000'000;
  served.repository.versions["snapshot"] = 1'000'000;
  EXPECT_EQ(served.check_timestamp(1), "");
  const auto former = served.repository.roles["root"];
  served.repository.roles["root"].keys = {new_key()};
  served.repository.roles["timestamp"].keys = {new_key()};
  served.repository.versions["root"] = 2;
  EXPECT_EQ(served.check("2.root.json", served.repository.root_file()),
            "threshold");  // the former keys have not signed
  EXPECT_EQ(served.check("2.root.json", served.repository.root_file(&former)), "");
  EXPECT_EQ(served.verifier->trusted_metadata(0).root->version, 2);
  served.repository.versions["timestamp"] = 3;
  served.repository.versions["snapshot"] = 3;
  EXPECT_EQ(served.check_timestamp(1), "");  // what 1 saw of the old keys binds it no more
  served.repository.versions["root"] = 4;
  EXPECT_EQ(served.check("4.root.json", served.repository.root_file()), "");  // 3 may have come another way
  EXPECT_EQ(served.verifier->trusted_metadata(0).root->version, 2);
  EXPECT_EQ(served.check("5.root.json", served.repository.root_file()),
            "root-version");  // under another name
}

TEST(MetadataVerifier, ClientsAreBoundedAndEvictionNeverLetsARollbackThrough) {
  VerifiedRepository served(Duration::s(3600), 16);
  const std::string old = served.repository.timestamp_file();
  EXPECT_EQ(served.check_timestamp(1), "");
  served.repository.increment_versions();
  for (std::uint64_t client = 1; client <= 400; ++client) EXPECT_EQ(served.check_timestamp(client), "");
  EXPECT_EQ(served.verifier->client_count(), 16U);
  for (std::uint64_t client = 1; client <= 400; ++client)
    EXPECT_EQ(served.check("timestamp.json", old, client), "rollback") << client;
  const auto before = served.verifier->verification_count();
  for (int i = 0; i < 100; ++i) EXPECT_EQ(served.check_timestamp(7), "");
  EXPECT_EQ(served.verifier->verification_count(), before);  // known bytes cost none
}

}  // namespace
}  // namespace ashbeam::metadata
