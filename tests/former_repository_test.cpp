// Tests that files signed by an earlier version of the publisher are still accepted. A change of the
// canonical form, of key ids or of a parser would make them invalid. The files are in
// tests/data/former_repository, with keys of all kinds, a second root, roles in agreement and a delegation by
// hash prefix.
#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include "metadata/metadata_verifier.hpp"
#include "metadata_fixtures.hpp"

namespace ashbeam::metadata {
namespace {

std::string read_former_file(const std::string& name) {
  std::ifstream file(std::string(ASHBEAM_TEST_DATA) + "/former_repository/" + name, std::ios::binary);
  EXPECT_TRUE(file) << name;
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

struct FormerFile {
  const char* name;
  const char* sha256;
};
constexpr FormerFile kFormerFiles[] = {
    {"1.agreeing.json", "60f73d7c0d878657d868b1e580ec3e33a43459419a712b80d539b09444e96199"},
    {"1.hashed.json", "960224bc54f28691e6cea7d093f4177ebf171ff87841217df199ad082761d78e"},
    {"1.root.json", "725d9307ff158b8044f5c30be0d499f15f97a68963ae7d9aa4b230866a81aae8"},
    {"1.several.json", "0de3798a71b88d793260d7c00644f9b19fdbc2c40a386a982188b4d9309d4c4e"},
    {"1.snapshot.json", "50729c392a345311683a1cdbbd6dd011ee3b070f63b462d113e684d77d170899"},
    {"1.targets.json", "ed78418d67ccda402f60805b70a124ad9d56f66c0b3b7dd199e04126666aeba1"},
    {"1.timestamp.json", "38db97236b558260310fb6497997ab7cc034201a8ea4b6e58bbc7586a1070c8a"},
    {"2.root.json", "8df735e8415ce1620150207520b68a90008b476bb5c0a54ad526b815340dd671"},
    {"2.snapshot.json", "be72f22fc64cb4e4cf1455bd7195b8c8bc1cf75e231606ac8f124f746f1c36b0"},
    {"2.targets.json", "4b0c9e720c59d50eec5ab90a62abc09c3c7a48fc9914b7454dbbbe31398c00ce"},
    {"timestamp.json", "0428b4b92b1529e9af4a81e23b98f6fc703579b725b2fb7d45a3c89834bd0e24"},
};

// Returns a client that has accepted all current files, beginning with the pinned root.
TufClient updated_client() {
  TufClient client;
  EXPECT_TRUE(client.apply_root(read_former_file("1.root.json"))) << client.refusal_line();
  EXPECT_TRUE(client.apply_root(read_former_file("2.root.json"))) << client.refusal_line();
  EXPECT_TRUE(client.apply_timestamp(read_former_file("1.timestamp.json"))) << client.refusal_line();
  EXPECT_TRUE(client.apply_timestamp(read_former_file("timestamp.json"))) << client.refusal_line();
  EXPECT_TRUE(client.apply_snapshot(read_former_file("2.snapshot.json"))) << client.refusal_line();
  EXPECT_TRUE(client.apply_targets(read_former_file("2.targets.json"))) << client.refusal_line();
  for (const char* role : {"several", "agreeing", "hashed"}) {
    EXPECT_TRUE(
        client.apply_delegated_targets("targets", role, read_former_file("1." + std::string(role) + ".json")))
        << client.refusal_line();
  }
  return client;
}

TEST(FormerRepository, FilesHaveTheirRecordedHashes) {
  for (const FormerFile& file : kFormerFiles) EXPECT_EQ(sha256_hex(read_former_file(file.name)), file.sha256);
}

TEST(FormerRepository, WritesParsedJsonBackByteForByte) {
  for (const FormerFile& file : kFormerFiles) {
    const std::string bytes = read_former_file(file.name);
    std::string error;
    const auto node = parse_json(bytes, {}, error);
    ASSERT_TRUE(node) << file.name << ": " << error;
    EXPECT_EQ(node->to_json(), bytes) << file.name;
  }
}

TEST(FormerRepository, ClientAcceptsFilesAndFindsTargets) {
  const TufClient client = updated_client();
  EXPECT_EQ(client.trust.root->version, 2);
  EXPECT_EQ(client.trust.timestamp->version, 2);
  EXPECT_TRUE(client.trust.root->consistent_snapshot);
  struct ExpectedTarget {
    const char* path;
    const char* role;
    const char* bytes;
  };
  for (const ExpectedTarget& expected :
       {ExpectedTarget{"app.bin", "targets", "app, second version"},
        ExpectedTarget{"lib/a.bin", "agreeing", "a"}, ExpectedTarget{"by hash", "hashed", "h"}}) {
    const TargetLookup lookup = find_target(client.trust, expected.path, kNow);
    ASSERT_TRUE(lookup.target) << expected.path << ": " << lookup.refusal.line();
    EXPECT_EQ(lookup.role, expected.role);
    EXPECT_FALSE(check_target_content(*lookup.target, expected.bytes)) << expected.path;
  }
  EXPECT_FALSE(find_target(client.trust, "lib/b.bin", kNow).target);
  EXPECT_EQ(find_target(client.trust, "app.bin", kDefaultExpiry).refusal.line(),
            "expired root 2 expired 2027-01-16T08:00:00Z (TUF 5.3.10)");
}

TEST(FormerRepository, RefusesOlderFilesWithUnchangedMessages) {
  TufClient client = updated_client();
  EXPECT_FALSE(client.apply_root(read_former_file("1.root.json")));
  EXPECT_EQ(client.refusal_line(), "threshold root by the trusted root: 0 of 1 distinct keys (TUF 5.3.4)");
  EXPECT_FALSE(client.apply_timestamp(read_former_file("1.timestamp.json")));
  EXPECT_EQ(client.refusal_line(), "rollback timestamp 1 < 2 (TUF 5.4.3.1)");
  EXPECT_FALSE(client.apply_snapshot(read_former_file("1.snapshot.json")));
  EXPECT_TRUE(client.refusal_line().starts_with("mismatch snapshot: ")) << client.refusal_line();
  EXPECT_FALSE(client.apply_targets(read_former_file("1.targets.json")));
  EXPECT_TRUE(client.refusal_line().starts_with("mismatch targets: ")) << client.refusal_line();
}

TEST(FormerRepository, VerifierAcceptsFilesInTheOrderOfAClient) {
  MetadataVerifier verifier({{"/look/u/", read_former_file("1.root.json"), Duration::s(30)}}, 10);
  for (const char* name : {"1.root.json", "2.root.json", "timestamp.json", "2.snapshot.json",
                           "2.targets.json", "1.several.json", "1.agreeing.json", "1.hashed.json"}) {
    const Refusal refusal = verifier.check(0, name, read_former_file(name), 1, kNow);
    EXPECT_FALSE(refusal) << name << ": " << refusal.line();
  }
  EXPECT_EQ(verifier.check(0, "timestamp.json", read_former_file("1.timestamp.json"), 1, kNow).line(),
            "rollback timestamp 1 < 2 (TUF 5.4.3.1)");
}

}  // namespace
}  // namespace ashbeam::metadata
