// Tests of base64url, signature keys and key sets.
#include <gtest/gtest.h>

#include "base/pcg.hpp"
#include "calling_helpers.hpp"
#include "tokens/base64url.hpp"

namespace ashbeam {
namespace {

TEST(Base64url, AcceptsOneEncodingOfEachByteString) {
  Pcg random(3);
  for (int i = 0; i < 300; ++i) {
    std::string bytes;
    for (unsigned n = random.next_below(40); n > 0; --n) bytes += static_cast<char>(random.next_below(256));
    EXPECT_EQ(tokens::decode_base64url(tokens::encode_base64url(bytes)), bytes);
  }
  for (const char* bad : {"a", "ab=", "a+b/", "ab c", "QQ==", "QR", "AAB"})
    EXPECT_FALSE(tokens::decode_base64url(bad)) << bad;
}

TEST(Keys, VerifyOnlyTheirOwnUnalteredSignatures) {
  for (const auto algorithm : {tokens::Algorithm::kEdDsa, tokens::Algorithm::kEs256}) {
    const tokens::Key key = tokens::Key::generate(algorithm);
    const tokens::Key other = tokens::Key::generate(algorithm);
    const std::string signature = key.sign("hello");
    EXPECT_TRUE(key.verify("hello", signature));
    EXPECT_FALSE(key.verify("hullo", signature) || other.verify("hello", signature));
    std::string altered = signature;
    altered[10] = static_cast<char>(altered[10] ^ 1);
    EXPECT_FALSE(key.verify("hello", altered) || key.verify("hello", signature + "x") ||
                 key.verify("hello", ""));
    EXPECT_FALSE(key.verify("hello", std::string(64, '\0')));
    tokens::KeyEntry entry;
    entry.key = key;
    entry.kid = "k";
    entry.active_from_unix_s = 5;
    entry.retired_at_unix_s = 9;
    entry.revoked = true;
    const tokens::KeySet read = tokens::parse_key_set(tokens::serialize_key_set({entry}));
    ASSERT_EQ(read.keys.size(), 1U) << read.error;
    EXPECT_TRUE(read.keys[0].key.verify("hello", signature));
    EXPECT_EQ(read.keys[0].key.thumbprint(), key.thumbprint());
    EXPECT_TRUE(read.keys[0].revoked && read.keys[0].active_from_unix_s == 5 &&
                read.keys[0].retired_at_unix_s == 9 && !read.has_private_keys);
  }
}

TEST(KeySets, IgnoreUnsupportedKeysAndRejectSetWithInvalidKey) {
  const std::string good =
      "{" + TokenSigner("k", tokens::Algorithm::kEs256).key.jwk_members(false) + ",\"kid\":\"a\"}";
  EXPECT_EQ(tokens::parse_key_set("{\"keys\":[" + good +
                                  R"(,{"kty":"oct","k":"AAAA","kid":"s"},{"kty":"RSA","kid":"r"}]})")
                .ignored_keys,
            2U);
  std::string off_curve = good;  // a point that is not on the curve
  const std::size_t x = off_curve.find("\"x\":\"") + 5;
  off_curve[x] = off_curve[x] == 'A' ? 'B' : 'A';
  const std::string encryption = "{" + good.substr(1, good.size() - 2) + ",\"use\":\"enc\"}";
  for (const std::string& text :
       {std::string("{"), std::string("[]"), std::string("{\"keys\":[3]}"),
        "{\"keys\":[" + good + "," + off_curve + "]}",
        std::string(R"({"keys":[{"kty":"OKP","crv":"Ed25519","x":"AA","kid":"a"}]})"),
        "{\"keys\":[" + encryption + "]}", std::string(300'000, ' ')}) {
    const tokens::KeySet set = tokens::parse_key_set(text);
    EXPECT_FALSE(set.error.empty()) << text.substr(0, 50);
    EXPECT_TRUE(set.keys.empty());
  }
}

}  // namespace
}  // namespace ashbeam
