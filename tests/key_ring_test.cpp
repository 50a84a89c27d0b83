// Tests of the key ring: a comparison with a reference model on generated histories, and single scenarios.
#include "calling/key_ring.hpp"

#include <gtest/gtest.h>

#include <vector>

#include "base/pcg.hpp"
#include "calling_helpers.hpp"

namespace ashbeam {
namespace {

using namespace calling;

const Instant kBegin = Instant::at_us(1'700'000'000'000'000);

tokens::KeyEntry revoked_entry(const TokenSigner& signer) {
  tokens::KeyEntry entry = signer.entry();
  entry.revoked = true;
  return entry;
}

// Reference model for one key: computes the expected result from the complete history of updates.
struct ReferenceKey {
  struct Update {
    Instant at;
    bool listed;
    bool revoked;
  };
  std::vector<Update> history;
  Refusal check(Instant issued, Instant now, Duration overlap, Duration leeway) const {
    bool ever_listed = false;
    bool listed = false;
    bool revoked = false;
    Instant unlisted_at = Instant::never();
    for (const Update& update : history) {
      if (update.listed) {
        ever_listed = listed = true;
        unlisted_at = Instant::never();
        revoked = revoked || update.revoked;
      } else if (listed) {
        listed = false;
        unlisted_at = update.at;
      }
    }
    if (!ever_listed) return Refusal::kKeyRetired;
    if (revoked) return Refusal::kKeyRevoked;
    if (unlisted_at < Instant::never() && (issued > unlisted_at + leeway || now > unlisted_at + overlap))
      return Refusal::kKeyRetired;
    return Refusal::kNone;
  }
};

TEST(KeyRing, AgreesWithReferenceModelOnGeneratedHistories) {
  std::vector<TokenSigner> signers;
  for (int i = 0; i < 5; ++i)
    signers.emplace_back("k" + std::to_string(i % 3), tokens::Algorithm::kEdDsa);  // some keys share a kid
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    Pcg random(seed);
    const Duration overlap = Duration::s(1 + random.next_below(10));
    const Duration leeway = Duration::ms(random.next_below(1500));
    KeyRing ring({overlap, leeway});
    std::vector<ReferenceKey> reference_keys(signers.size());
    Instant now = kBegin;
    for (int step = 0; step < 60; ++step) {
      now = now + Duration::ms(random.next_below(3000));
      std::vector<tokens::KeyEntry> set;
      for (std::size_t i = 0; i < signers.size(); ++i) {
        const bool listed = random.next_below(3) > 0;
        const bool revoked = listed && random.next_below(60) == 0;
        if (listed) set.push_back(revoked ? revoked_entry(signers[i]) : signers[i].entry());
        reference_keys[i].history.push_back({now, listed, revoked});
      }
      ring.update(set, now);
      for (int query = 0; query < 10; ++query) {
        const std::size_t i = random.next_below(static_cast<std::uint32_t>(signers.size()));
        const Instant at = now + Duration::ms(random.next_below(12000));
        const Instant issued = at - Duration::ms(random.next_below(12000));
        Refusal refusal = Refusal::kKeyRetired;
        ring.try_candidates(signers[i].kid, tokens::Algorithm::kEdDsa, [&](KeyRef key) {
          if (ring.key(key).thumbprint() != signers[i].key.thumbprint()) return false;
          refusal = ring.check(key, issued, at);
          return true;
        });
        ASSERT_EQ(refusal, reference_keys[i].check(issued, at, overlap, leeway))
            << seed << " " << step << " " << i;
      }
    }
  }
}

TEST(KeyRing, KeepsKeysValidThroughTwoRotationsWithinOneOverlapAndBack) {
  KeyRing ring({Duration::s(60), Duration::s(1)});
  const TokenSigner a("a", tokens::Algorithm::kEdDsa), b("b", tokens::Algorithm::kEdDsa),
      c("c", tokens::Algorithm::kEdDsa);
  const auto update = [&](const TokenSigner& signer, double at_s) {
    ring.update(std::vector{signer.entry()}, kBegin + Duration::s(at_s));
  };
  update(a, 0);
  update(b, 10);
  update(c, 20);
  const auto check = [&](const TokenSigner& signer, double issued_s, double at_s) {
    Refusal refusal = Refusal::kUnknownKey;
    ring.try_candidates(signer.kid, tokens::Algorithm::kEdDsa, [&](KeyRef key) {
      refusal = ring.check(key, kBegin + Duration::s(issued_s), kBegin + Duration::s(at_s));
      return true;
    });
    return refusal;
  };
  for (const TokenSigner* signer : {&a, &b, &c})
    EXPECT_EQ(check(*signer, 5, 25), Refusal::kNone) << signer->kid;
  EXPECT_EQ(check(a, 15, 25), Refusal::kKeyRetired);  // issued after the key retired
  EXPECT_EQ(check(a, 5, 71), Refusal::kKeyRetired);   // the overlap has ended
  update(a, 30);                                      // rotated back
  EXPECT_EQ(check(a, 29, 300), Refusal::kNone);
  EXPECT_EQ(check(c, 25, 40), Refusal::kNone);
  EXPECT_EQ(check(c, 35, 40), Refusal::kKeyRetired);
}

TEST(KeyRing, KeepsPublicKeyRevokedUnderEachLaterKid) {
  KeyRing ring({Duration::s(60), Duration::s(1)});
  const TokenSigner a("a", tokens::Algorithm::kEdDsa);
  TokenSigner renamed = a;
  renamed.kid = "b";
  ring.update(std::vector{a.entry()}, kBegin);
  ring.update(std::vector{revoked_entry(a)}, kBegin + Duration::s(1));
  ring.update({}, kBegin + Duration::s(2));
  ring.update(std::vector{a.entry(), renamed.entry()}, kBegin + Duration::s(3));
  for (const char* kid : {"a", "b"}) {
    EXPECT_TRUE(ring.try_candidates(kid, tokens::Algorithm::kEdDsa, [&](KeyRef key) {
      return ring.check(key, kBegin, kBegin + Duration::s(4)) == Refusal::kKeyRevoked;
    })) << kid;
  }
}

TEST(KeyRing, ReplacesEarliestRetiredKeyWhenFull) {
  KeyRing ring({Duration::s(1e6), Duration::s(1)});
  for (unsigned i = 0; i < 400; ++i) {
    const TokenSigner signer("k" + std::to_string(i), tokens::Algorithm::kEdDsa);
    ring.update(std::vector{signer.entry()}, kBegin + Duration::s(i));
  }
  EXPECT_EQ(ring.size(), KeyRing::kMaxKeys);
  EXPECT_TRUE(ring.has_kid("k399") && ring.has_kid("k200") && !ring.has_kid("k100"));
}

}  // namespace
}  // namespace ashbeam
