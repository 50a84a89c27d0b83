// Tests that key folders and tokens written by an earlier version can still be used. The stored files are in
// tests/data/.
#include <gtest/gtest.h>
#include <stdlib.h>

#include <filesystem>
#include <string>
#include <vector>

#include "calling/authorizer.hpp"
#include "calling_helpers.hpp"
#include "program/commands.hpp"
#include "store/files.hpp"
#include "tokens/jws.hpp"

namespace ashbeam {
namespace {

using namespace calling;

const std::string kFolder = ASHBEAM_TEST_DATA "/earlier_version_keys";
constexpr std::size_t kMaxFileBytes = 4096;
constexpr double kCreatedUnixS = 1'796'293'362;  // creation time of the keys and the tokens
constexpr double kRetiredUnixS = 1'796'293'365;
constexpr Duration kTokenLifetime = Duration::s(3600);

const Instant kCreated = Instant::at_us(static_cast<std::int64_t>(kCreatedUnixS) * 1'000'000);

std::string stored_token(const std::string& kid) {
  std::string token = read_file(kFolder + "/" + kid + ".token", kMaxFileBytes);
  token.pop_back();  // the line feed
  return token;
}

// Returns the result of authenticating the token at `now`, by an authorizer that has loaded the folder.
Refusal authenticate(const std::string& token, Instant now, std::string* principal = nullptr) {
  CallingSettings settings = shop_settings();
  settings.issuer = "issuer";
  Authorizer authorizer(settings, 7, now);
  authorizer.update_keys(read_key_folder(kFolder).keys, now);
  const std::string field = "Bearer " + token;
  Credentials credentials;
  credentials.authorization = field;
  ConnectionHistory history;
  Identity identity;
  Duration retry_after;
  const Refusal refusal = authorizer.authenticate(credentials, history, now, identity, retry_after);
  if (principal) *principal = identity.principal;
  return refusal;
}

TEST(StoredKeys, LoadsKeyFolderOfEarlierVersion) {
  const KeyFolder folder = read_key_folder(kFolder);
  struct Expected {
    std::string kid;
    tokens::Algorithm algorithm;
    std::string thumbprint;  // as `ashbeam keys list` printed it
    double retired_at_unix_s;
    bool revoked;
  };
  const std::vector<Expected> expected = {
      {"eddsa", tokens::Algorithm::kEdDsa, "HFTNri8iLng0oTRey23emaBidds2_GcfF-5YGJSIMH8", 0, false},
      {"es256", tokens::Algorithm::kEs256, "bjVnnNTkbHfYTNKcp8CPx-Atjnzs_JWjggI9fd_sFHA", 0, false},
      {"retiring", tokens::Algorithm::kEdDsa, "Kk2udTJA4JifvhXRmN2p67kqwalIt4sC094G7v_avHw", kRetiredUnixS,
       false},
      {"revoked", tokens::Algorithm::kEs256, "70KX8-hpyICLiRThqo8Pf7yXaoGl18veUhWJI_NJM4Y", 0, true},
  };
  ASSERT_EQ(folder.keys.size(), expected.size());
  for (std::size_t i = 0; i < expected.size(); ++i) {
    const tokens::KeyEntry& entry = folder.keys[i];
    EXPECT_EQ(entry.kid, expected[i].kid);
    EXPECT_EQ(entry.key.algorithm(), expected[i].algorithm) << entry.kid;
    EXPECT_EQ(entry.key.thumbprint(), expected[i].thumbprint) << entry.kid;
    EXPECT_EQ(entry.active_from_unix_s, kCreatedUnixS) << entry.kid;
    EXPECT_EQ(entry.retired_at_unix_s, expected[i].retired_at_unix_s) << entry.kid;
    EXPECT_EQ(entry.revoked, expected[i].revoked) << entry.kid;
    EXPECT_FALSE(entry.key.is_private()) << entry.kid;
  }
  EXPECT_EQ(tokens::serialize_key_set(folder.keys), read_file(kFolder + "/ring.json", kMaxFileBytes));
}

TEST(StoredKeys, VerifiesTokensOfEarlierVersion) {
  for (const std::string kid : {"eddsa", "es256", "retiring"}) {
    std::string principal;
    EXPECT_EQ(name_of(authenticate(stored_token(kid), kCreated + Duration::s(10), &principal)), "none")
        << kid;
    EXPECT_EQ(principal, "shop/rider%201") << kid;
    EXPECT_EQ(name_of(authenticate(stored_token(kid) + "A", kCreated + Duration::s(10))), "signature") << kid;
  }
  EXPECT_EQ(name_of(authenticate(stored_token("revoked"), kCreated + Duration::s(10))), "revoked");
  EXPECT_EQ(name_of(authenticate(stored_token("retiring"), kCreated + Duration::s(600))), "retired");
  const Instant past_expiry = kCreated + kTokenLifetime + Duration::s(31);  // with the leeway of 30 s
  EXPECT_EQ(name_of(authenticate(stored_token("eddsa"), past_expiry)), "expired");
}

TEST(StoredKeys, SignsWithPrivateKeysOfEarlierVersion) {
  std::string folder = testing::TempDir() + "ashbeam-stored-keys-XXXXXX";
  ASSERT_NE(::mkdtemp(folder.data()), nullptr);
  std::filesystem::copy(kFolder, folder, std::filesystem::copy_options::recursive);
  const KeyFolder listed = read_key_folder(folder);
  for (const std::size_t i : {0U, 1U}) {
    KeysOptions options;
    options.folder = folder;
    options.kid = listed.keys[i].kid;
    options.subject = "rider 1";
    options.tenant = "shop";
    std::filesystem::permissions(folder + "/private/" + options.kid + ".json",
                                 std::filesystem::perms::owner_read);
    testing::internal::CaptureStdout();
    EXPECT_EQ(keys_token(options), 0);
    const std::string line = testing::internal::GetCapturedStdout();
    const auto jws = tokens::parse_jws(std::string_view(line).substr(0, line.size() - 1));
    ASSERT_TRUE(jws) << line;
    EXPECT_TRUE(listed.keys[i].key.verify(jws->signed_bytes, jws->signature)) << options.kid;
  }
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace ashbeam
