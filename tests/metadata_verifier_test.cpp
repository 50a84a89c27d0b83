// Tests of the metadata verifier: which files may be forwarded to which client.
#include "metadata/metadata_verifier.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "metadata_fixtures.hpp"

namespace ashbeam::metadata {
namespace {

// A verifier of one repository. Clients are identified by a number.
struct VerifierFixture {
  TestRepository repository;
  std::unique_ptr<MetadataVerifier> verifier;
  Instant now = kNow;

  explicit VerifierFixture(Duration max_lag = Duration::s(30), std::size_t max_clients = 100) {
    verifier = std::make_unique<MetadataVerifier>(
        std::vector<RepositorySettings>{{"/look/u/", repository.root_file(), max_lag}}, max_clients);
  }
  // Returns the name of the refusal's reason, or an empty string if the file may be forwarded.
  std::string check(const std::string& file, const std::string& bytes, std::uint64_t client = 1) {
    const Refusal refusal = verifier->check(0, file, bytes, client, now);
    return refusal ? std::string(name_of(refusal.reason)) : "";
  }
  std::string check_timestamp(std::uint64_t client = 1) {
    return check("timestamp.json", repository.timestamp_file(), client);
  }
};

TEST(MetadataVerifier, FindsRepositoryWithLongestPrefix) {
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

TEST(MetadataVerifier, ServesOlderTimestampOnlyWithinLagAndToClientsThatSawNoNewerOne) {
  VerifierFixture fixture;
  const std::string old_timestamp = fixture.repository.timestamp_file();
  const std::string old_snapshot = fixture.repository.snapshot_file();
  const std::string old_targets = fixture.repository.targets_file();
  EXPECT_EQ(fixture.check_timestamp(1) + fixture.check_timestamp(2), "");
  fixture.repository.increment_versions();
  EXPECT_EQ(fixture.check_timestamp(1), "");
  EXPECT_EQ(fixture.check("timestamp.json", old_timestamp, 2), "");  // client 2 was served nothing newer
  EXPECT_EQ(fixture.check("timestamp.json", old_timestamp, 1), "rollback");  // client 1 was
  EXPECT_EQ(fixture.check("1.snapshot.json", old_snapshot, 2), "");          // belongs to the old timestamp
  EXPECT_EQ(fixture.check("1.targets.json", old_targets, 2), "");
  EXPECT_EQ(fixture.check("2.snapshot.json", fixture.repository.snapshot_file(), 1), "");
  EXPECT_EQ(fixture.check("2.snapshot.json", old_snapshot, 1), "mismatch");  // valid, but named version 2
  EXPECT_EQ(fixture.check("2.targets.json", old_targets, 1), "mismatch");
  fixture.now = fixture.now + Duration::s(31);
  EXPECT_EQ(fixture.check("timestamp.json", old_timestamp, 2), "rollback");
  EXPECT_EQ(fixture.check("timestamp.json", old_timestamp, 3), "rollback");
  EXPECT_EQ(fixture.check("1.snapshot.json", old_snapshot, 2), "mismatch");
  fixture.now = kNow + Duration::s(90000);
  EXPECT_EQ(fixture.check_timestamp(2), "expired");  // although the same bytes were accepted before
}

TEST(MetadataVerifier, ChecksFileByItselfBeforeAnyTimestampIsAccepted) {
  VerifierFixture fixture;
  EXPECT_EQ(fixture.check("1.snapshot.json", fixture.repository.snapshot_file()), "");
  EXPECT_EQ(fixture.check("2.snapshot.json", fixture.repository.snapshot_file()), "mismatch");
  const Publisher other_publisher(kNow + Duration::s(86400));
  EXPECT_EQ(fixture.check("1.snapshot.json", other_publisher.snapshot_file()), "threshold");
  EXPECT_EQ(fixture.check("1.snapshot.json", fixture.repository.snapshot_file().substr(0, 200)),
            "unreadable");
  EXPECT_EQ(fixture.check("1.part.json", fixture.repository.targets_file()), "out-of-order");
  EXPECT_EQ(fixture.check("app", "anything"), "");  // not metadata
  EXPECT_EQ(fixture.check_timestamp(), "");
  EXPECT_EQ(fixture.check("1.snapshot.json", other_publisher.snapshot_file()), "mismatch");
}

TEST(MetadataVerifier, AcceptsRootsInOrderAndRecoversFromFastForward) {
  VerifierFixture fixture;
  fixture.repository.versions["timestamp"] = 1'000'000;
  fixture.repository.versions["snapshot"] = 1'000'000;
  EXPECT_EQ(fixture.check_timestamp(1), "");
  const auto previous_root_keys = fixture.repository.roles["root"];
  fixture.repository.roles["root"].keys = {new_key()};
  fixture.repository.roles["timestamp"].keys = {new_key()};
  fixture.repository.versions["root"] = 2;
  EXPECT_EQ(fixture.check("2.root.json", fixture.repository.root_file()),
            "threshold");  // not signed by the previous root's keys
  EXPECT_EQ(fixture.check("2.root.json", fixture.repository.root_file(&previous_root_keys)), "");
  EXPECT_EQ(fixture.verifier->trusted_metadata(0).root->version, 2);
  fixture.repository.versions["timestamp"] = 3;
  fixture.repository.versions["snapshot"] = 3;
  EXPECT_EQ(fixture.check_timestamp(1), "");  // versions start again after the rotation
  fixture.repository.versions["root"] = 4;
  EXPECT_EQ(fixture.check("4.root.json", fixture.repository.root_file()),
            "");  // the client may have root 3 from elsewhere
  EXPECT_EQ(fixture.verifier->trusted_metadata(0).root->version, 2);
  EXPECT_EQ(fixture.check("5.root.json", fixture.repository.root_file()),
            "root-version");  // the file holds version 4
}

TEST(MetadataVerifier, BoundsClientsAndRefusesRollbackAfterEviction) {
  VerifierFixture fixture(Duration::s(3600), 16);
  const std::string old_timestamp = fixture.repository.timestamp_file();
  EXPECT_EQ(fixture.check_timestamp(1), "");
  fixture.repository.increment_versions();
  for (std::uint64_t client = 1; client <= 400; ++client) EXPECT_EQ(fixture.check_timestamp(client), "");
  EXPECT_EQ(fixture.verifier->client_count(), 16U);
  for (std::uint64_t client = 1; client <= 400; ++client)
    EXPECT_EQ(fixture.check("timestamp.json", old_timestamp, client), "rollback") << client;
  const auto verifications_before = fixture.verifier->verification_count();
  for (int i = 0; i < 100; ++i) EXPECT_EQ(fixture.check_timestamp(7), "");
  EXPECT_EQ(fixture.verifier->verification_count(),
            verifications_before);  // known bytes are not verified again
}

}  // namespace
}  // namespace ashbeam::metadata
