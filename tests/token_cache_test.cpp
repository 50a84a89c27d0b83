// Tests of the cache of verified tokens.
#include "calling/token_cache.hpp"

#include <gtest/gtest.h>

namespace ashbeam {
namespace {

using namespace calling;

const Instant kBegin = Instant::at_us(1'700'000'000'000'000);

VerifiedToken token_numbered(unsigned char number, Duration lifetime) {
  VerifiedToken token;
  token.digest.fill(number);
  token.expires_at = kBegin + lifetime;
  return token;
}

TEST(TokenCache, EvictsExpiredTokenFirstThenLeastRecentlyUsed) {
  TokenCache cache(3);
  const auto has = [&](unsigned char number) {
    tokens::Digest digest;
    digest.fill(number);
    return cache.find(digest) != nullptr;
  };
  cache.insert(token_numbered(1, Duration::s(9)), kBegin);
  cache.insert(token_numbered(2, Duration::s(1)), kBegin);
  cache.insert(token_numbered(3, Duration::s(9)), kBegin);
  cache.insert(token_numbered(4, Duration::s(9)), kBegin + Duration::s(2));
  EXPECT_TRUE(has(1) && !has(2) && has(3) && has(4));
  EXPECT_TRUE(has(1));
  cache.insert(token_numbered(5, Duration::s(9)), kBegin + Duration::s(2));
  EXPECT_TRUE(has(1) && !has(3) && has(4) && has(5));
  EXPECT_EQ(cache.size(), 3U);
}

}  // namespace
}  // namespace ashbeam
