// Who is calling, decided: tokens, the key ring against a plain model, rights, and the bounds of what is
// kept.
#include <gtest/gtest.h>

#include <set>

#include "base/pcg.hpp"
#include "calling/handshakes.hpp"
#include "calling_helpers.hpp"
#include "tokens/base64url.hpp"

namespace ashbeam {
namespace {

using namespace calling;

const Instant kBegin = Instant::at_us(1'700'000'000'000'000);

// ---- Codecs ----

TEST(Base64url, OneTextForEachBytes) {
  Pcg chance(3);
  for (int i = 0; i < 300; ++i) {
    std::string bytes;
    for (unsigned n = chance.below(40); n > 0; --n) bytes += static_cast<char>(chance.below(256));
    EXPECT_EQ(tokens::from_base64url(tokens::to_base64url(bytes)), bytes);
  }
  for (const char* bad : {"a", "ab=", "a+b/", "ab c", "QQ==", "QR", "AAB"})
    EXPECT_FALSE(tokens::from_base64url(bad)) << bad;
}

TEST(Keys, SignaturesOfBothKindsAndNoOthers) {
  for (const auto algorithm : {tokens::Algorithm::kEdDsa, tokens::Algorithm::kEs256}) {
    const tokens::Key key = tokens::Key::fresh(algorithm), other = tokens::Key::fresh(algorithm);
    const std::string signature = key.sign("hello");
    EXPECT_TRUE(key.verifies("hello", signature));
    EXPECT_FALSE(key.verifies("hullo", signature) || other.verifies("hello", signature));
    std::string bent = signature;
    bent[10] = static_cast<char>(bent[10] ^ 1);
    EXPECT_FALSE(key.verifies("hello", bent) || key.verifies("hello", signature + "x") ||
                 key.verifies("hello", ""));
    EXPECT_FALSE(key.verifies("hello", std::string(64, '\0')));
    tokens::Listed l;
    l.key = key, l.kid = "k", l.from = 5, l.retired = 9, l.revoked = true;
    const tokens::KeySet read = tokens::read_key_set(tokens::key_set_text({l}));
    ASSERT_EQ(read.keys.size(), 1U) << read.problem;
    EXPECT_TRUE(read.keys[0].key.verifies("hello", signature));
    EXPECT_EQ(read.keys[0].key.thumbprint(), key.thumbprint());
    EXPECT_TRUE(read.keys[0].revoked && read.keys[0].from == 5 && read.keys[0].retired == 9 &&
                !read.holds_private);
  }
}

TEST(Keys, SetsThatAreSpoiltCountNotAtAll) {
  const std::string good =
      "{" + Signer("k", tokens::Algorithm::kEs256).key.members(false) + ",\"kid\":\"a\"}";
  EXPECT_EQ(tokens::read_key_set("{\"keys\":[" + good +
                                 R"(,{"kty":"oct","k":"AAAA","kid":"s"},{"kty":"RSA","kid":"r"}]})")
                .passed_over,
            2U);
  std::string off = good;  // a point that is not on the curve
  const std::size_t x = off.find("\"x\":\"") + 5;
  off[x] = off[x] == 'A' ? 'B' : 'A';
  const std::string encryption = "{" + good.substr(1, good.size() - 2) + ",\"use\":\"enc\"}";
  for (const std::string& text :
       {std::string("{"), std::string("[]"), std::string("{\"keys\":[3]}"),
        "{\"keys\":[" + good + "," + off + "]}",
        std::string(R"({"keys":[{"kty":"OKP","crv":"Ed25519","x":"AA","kid":"a"}]})"),
        "{\"keys\":[" + encryption + "]}", std::string(300'000, ' ')}) {
    const tokens::KeySet set = tokens::read_key_set(text);
    EXPECT_FALSE(set.problem.empty()) << text.substr(0, 50);
    EXPECT_TRUE(set.keys.empty());
  }
}

// ---- The key ring ----

tokens::Listed listed_as(const Signer& s, double from = 0, double retired = 0, bool revoked = false) {
  tokens::Listed l = s.listed();
  l.from = from, l.retired = retired, l.revoked = revoked;
  return l;
}

// The rule in plain words, over the whole history, for one key.
struct PlainKey {
  struct Told {
    Instant at;
    bool listed, revoked;
  };
  std::vector<Told> history;
  Refusal accepts(Instant issued, Instant now, Span overlap, Span leeway) const {
    bool ever = false, listed = false, revoked = false;
    Instant gone = Instant::never();
    for (const Told& t : history) {
      if (t.listed) ever = listed = true, gone = Instant::never(), revoked = revoked || t.revoked;
      else if (listed) listed = false, gone = t.at;
    }
    if (!ever) return Refusal::kRetired;
    if (revoked) return Refusal::kRevoked;
    if (gone < Instant::never() && (issued > gone + leeway || now > gone + overlap)) return Refusal::kRetired;
    return Refusal::kNone;
  }
};

TEST(KeyRing, AgreesWithThePlainRuleOnGeneratedHistories) {
  std::vector<Signer> signers;
  for (int i = 0; i < 5; ++i)
    signers.emplace_back("k" + std::to_string(i % 3), tokens::Algorithm::kEdDsa);  // names shared
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    Pcg chance(seed);
    const Span overlap = Span::s(1 + chance.below(10)), leeway = Span::ms(chance.below(1500));
    KeyRing ring({overlap, leeway});
    std::vector<PlainKey> plain(signers.size());
    Instant now = kBegin;
    for (int step = 0; step < 60; ++step) {
      now = now + Span::ms(chance.below(3000));
      std::vector<tokens::Listed> set;
      for (std::size_t i = 0; i < signers.size(); ++i) {
        const bool listed = chance.below(3) > 0, revoked = listed && chance.below(60) == 0;
        if (listed) set.push_back(listed_as(signers[i], 0, 0, revoked));
        plain[i].history.push_back({now, listed, revoked});
      }
      ring.told(set, now);
      for (int ask = 0; ask < 10; ++ask) {
        const std::size_t i = chance.below(static_cast<std::uint32_t>(signers.size()));
        const Instant at = now + Span::ms(chance.below(12000)), issued = at - Span::ms(chance.below(12000));
        Refusal got = Refusal::kRetired;
        ring.each(signers[i].kid, tokens::Algorithm::kEdDsa, [&](KeyRef key) {
          if (ring.key(key).thumbprint() != signers[i].key.thumbprint()) return false;
          got = ring.accepts(key, issued, at);
          return true;
        });
        ASSERT_EQ(got, plain[i].accepts(issued, at, overlap, leeway)) << seed << " " << step << " " << i;
      }
    }
  }
}

TEST(KeyRing, ThreeSetsWithinOneOverlapAndBack) {
  KeyRing ring({Span::s(60), Span::s(1)});
  const Signer a("a", tokens::Algorithm::kEdDsa), b("b", tokens::Algorithm::kEdDsa),
      c("c", tokens::Algorithm::kEdDsa);
  const auto told = [&](const Signer& s, double at) {
    ring.told(std::vector{s.listed()}, kBegin + Span::s(at));
  };
  told(a, 0), told(b, 10), told(c, 20);
  const auto accepts = [&](const Signer& s, double issued, double at) {
    Refusal why = Refusal::kUnknownKey;
    ring.each(s.kid, tokens::Algorithm::kEdDsa, [&](KeyRef key) {
      why = ring.accepts(key, kBegin + Span::s(issued), kBegin + Span::s(at));
      return true;
    });
    return why;
  };
  for (const Signer* s : {&a, &b, &c}) EXPECT_EQ(accepts(*s, 5, 25), Refusal::kNone) << s->kid;
  EXPECT_EQ(accepts(a, 15, 25), Refusal::kRetired);  // signed once it no longer should
  EXPECT_EQ(accepts(a, 5, 71), Refusal::kRetired);   // too late
  told(a, 30);                                       // rotated back
  EXPECT_EQ(accepts(a, 29, 300), Refusal::kNone);
  EXPECT_EQ(accepts(c, 25, 40), Refusal::kNone);
  EXPECT_EQ(accepts(c, 35, 40), Refusal::kRetired);
}

TEST(KeyRing, ARevokedKeyStaysRevokedWhateverItIsCalledLater) {
  KeyRing ring({Span::s(60), Span::s(1)});
  const Signer a("a", tokens::Algorithm::kEdDsa);
  Signer renamed = a;
  renamed.kid = "b";
  ring.told(std::vector{a.listed()}, kBegin);
  ring.told(std::vector{listed_as(a, 0, 0, true)}, kBegin + Span::s(1));
  ring.told({}, kBegin + Span::s(2));
  ring.told(std::vector{a.listed(), renamed.listed()}, kBegin + Span::s(3));
  for (const char* kid : {"a", "b"}) {
    EXPECT_TRUE(ring.each(kid, tokens::Algorithm::kEdDsa, [&](KeyRef key) {
      return ring.accepts(key, kBegin, kBegin + Span::s(4)) == Refusal::kRevoked;
    })) << kid;
  }
}

TEST(KeyRing, IsBoundedAndLetsGoOfTheLongestRetired) {
  KeyRing ring({Span::s(1e6), Span::s(1)});
  const tokens::Key key = tokens::Key::fresh(tokens::Algorithm::kEdDsa);
  std::vector<Signer> all;
  for (unsigned i = 0; i < 400; ++i) {
    all.emplace_back("k" + std::to_string(i), tokens::Algorithm::kEdDsa);
    ring.told(std::vector{all.back().listed()}, kBegin + Span::s(i));
  }
  EXPECT_EQ(ring.size(), KeyRing::kMost);
  EXPECT_TRUE(ring.names("k399") && ring.names("k200") && !ring.names("k100"));
}

// ---- Tokens at the gate ----

struct Asking {
  CallingSettings terms = shop_terms();
  Signer signer{"k1", tokens::Algorithm::kEs256};
  Instant now = kBegin;
  Authorizer gate{terms, 7, kBegin};
  Presence presence;
  Identity who;
  Asking() { gate.keys(std::vector{signer.listed()}, now); }
  Refusal ask(const std::string& token, const Certificate* certificate = nullptr) {
    const std::string field = "bEaReR " + token;
    Asked asked;
    asked.authorization = field, asked.certificate = certificate;
    Span wait;
    who = {};
    return gate.identify(asked, presence, now, who, wait);
  }
  std::string token(const std::string& more = "", Span life = Span::s(60)) const {
    return signer.token("shop", "r", now, life, more);
  }
};

std::string with_header(const Signer& s, const std::string& header, const std::string& payload,
                        const std::string& signature = "") {
  const std::string input = tokens::to_base64url(header) + "." + tokens::to_base64url(payload);
  return input + "." + tokens::to_base64url(signature.empty() ? s.key.sign(input) : signature);
}

TEST(Authorizer, EachFaultOfATokenHasItsWord) {
  Asking a;
  const std::string claims =
      R"({"aud":"ashbeam","tenant":"shop","sub":"r","iat":1700000000,"exp":1700000060})";
  const auto at = [&](const std::string& header) { return with_header(a.signer, header, claims); };
  const std::string es = R"({"alg":"ES256","kid":"k1")";
  struct Row {
    std::string token;
    Refusal why;
  } const rows[] = {
      {at(es + "}"), Refusal::kNone},
      {at(es + R"(,"typ":"at+jwt"})"), Refusal::kNone},
      {at(es + R"(,"typ":"dpop+jwt"})"), Refusal::kUnreadable},
      {at(es + R"(,"crit":["exp"]})"), Refusal::kUnreadable},
      {at(es + R"(,"alg":"none"})"), Refusal::kUnreadable},
      {at(R"({"alg":"none","kid":"k1"})"), Refusal::kAlgorithm},
      {at(R"({"alg":"HS256","kid":"k1"})"), Refusal::kAlgorithm},
      {at(R"({"alg":"EdDSA","kid":"k1"})"), Refusal::kAlgorithm},
      {at(R"({"alg":"es256","kid":"k1"})"), Refusal::kAlgorithm},
      {at(R"({"alg":"ES256","kid":"k9","jku":"https://x"})"), Refusal::kUnknownKey},
      {at(R"({"alg":"ES256"})"), Refusal::kUnknownKey},
      {with_header(a.signer, es + "}", claims, std::string(64, '\1')), Refusal::kSignature},
      {with_header(a.signer, es + "}", claims, std::string(64, '\0')), Refusal::kSignature},
      {with_header(a.signer, es + "}", "[]"), Refusal::kUnreadable},
      {with_header(
           a.signer, es + "}",
           R"({"aud":"ashbeam","sub":"r","sub":"q","tenant":"shop","iat":1700000000,"exp":1700000060})"),
       Refusal::kUnreadable},
      {with_header(a.signer, es + "}", R"({"aud":"ashbeam","sub":"r","tenant":"shop","iat":1700000000})"),
       Refusal::kUnreadable},
      {with_header(a.signer, es + "}",
                   R"({"aud":"ashbeam","sub":"r","tenant":"shop","iat":1700000000,"exp":"x"})"),
       Refusal::kUnreadable},
      {with_header(a.signer, es + "}",
                   R"({"aud":["b","ashbeam"],"sub":"r","tenant":"shop","iat":1700000000,"exp":1700000060})"),
       Refusal::kNone},
      {with_header(a.signer, es + "}",
                   R"({"aud":"b","sub":"r","tenant":"shop","iat":1700000000,"exp":1700000060})"),
       Refusal::kAudience},
      {with_header(a.signer, es + "}",
                   R"({"aud":"ashbeam","sub":"r","tenant":"else","iat":1700000000,"exp":1700000060})"),
       Refusal::kTenant},
      {a.token(R"(,"nbf":1700000040)"), Refusal::kEarly},
      {a.token("", Span::s(86401)), Refusal::kTooLong},
      {a.token(R"(,"cnf":{"jkt":"x"})"), Refusal::kUnreadable},
      {a.token(R"(,"cnf":{"x5t#S256":")" + tokens::to_base64url(std::string(32, 'p')) + "\"}"),
       Refusal::kBinding},
      {"", Refusal::kUnreadable},
      {std::string(5000, 'a'), Refusal::kUnreadable},
      {"..", Refusal::kUnreadable},
      {a.token() + ".x", Refusal::kUnreadable},
      {a.token() + "=", Refusal::kUnreadable},
  };
  for (const Row& row : rows) {
    EXPECT_EQ(word_of(a.ask(row.token)), word_of(row.why)) << row.token;
    EXPECT_EQ(word_of(a.ask(row.token)), word_of(row.why)) << "again: " << row.token;
  }
}

TEST(Authorizer, WhateverIsWrongOneVerificationIsComputedAndNoneForTheSameAgain) {
  Asking a;
  for (const std::string& token :
       {a.token(), std::string("x.y.z"), with_header(a.signer, R"({"alg":"none"})", "{}"),
        with_header(a.signer, R"({"alg":"ES256","kid":"no"})", "{}")}) {
    const auto before = a.gate.verifications();
    a.ask(token), a.ask(token);
    EXPECT_EQ(a.gate.verifications(), before + 1) << token;
  }
}

TEST(Authorizer, ClocksTwoMinutesApart) {
  for (const bool ahead : {false, true}) {
    for (const bool wide : {false, true}) {
      Asking a;
      a.terms.leeway = wide ? Span::s(130) : Span::s(30);
      a.gate.terms(a.terms, a.now);
      const std::string token = a.signer.token("shop", "r", a.now + Span::s(ahead ? 120 : -120), Span::s(60));
      const Refusal why = a.ask(token);
      EXPECT_EQ(word_of(why), wide ? "none" : ahead ? "early" : "expired");
    }
  }
}

TEST(Authorizer, AClockThatIsSetWhileItRuns) {
  Asking a;
  const std::string token = a.token();
  EXPECT_EQ(a.ask(token), Refusal::kNone);
  a.gate.wall_ahead(Span::s(300));  // the machine stood still for so long
  EXPECT_EQ(a.ask(token), Refusal::kExpired);
  const std::string fresh = a.signer.token("shop", "r", a.now + Span::s(300), Span::s(60));
  EXPECT_EQ(a.ask(fresh), Refusal::kNone);
  a.gate.wall_ahead(Span());
  EXPECT_EQ(a.ask(fresh), Refusal::kEarly);
}

TEST(Authorizer, TwoKeysWithOneNameBothVerify) {
  Asking a;
  const Signer twin("k1", tokens::Algorithm::kEs256);
  a.gate.keys(std::vector{a.signer.listed(), twin.listed()}, a.now);
  EXPECT_EQ(a.ask(a.token()), Refusal::kNone);
  EXPECT_EQ(a.ask(twin.token("shop", "r", a.now, Span::s(60))), Refusal::kNone);
  EXPECT_EQ(a.ask(Signer("k1", tokens::Algorithm::kEs256).token("shop", "r", a.now, Span::s(60))),
            Refusal::kSignature);
}

TEST(Authorizer, ATokenIsBoundToItsCertificateAndTenantsDoNotMix) {
  Asking a;
  calling::TenantSettings other;
  other.name = "other";
  a.terms.tenants.push_back(other);
  a.gate.terms(a.terms, a.now);
  Certificate mine{"shop", "r", {}, kBegin - Span::s(9), kBegin + Span::s(99)}, theirs = mine,
                                                                                elsewhere = mine;
  mine.print.fill('p'), theirs.print.fill('q'), elsewhere.organisation = "other";
  const std::string bound =
      a.token(R"(,"cnf":{"x5t#S256":")" + tokens::to_base64url(std::string(32, 'p')) + "\"}");
  EXPECT_EQ(a.ask(bound, &mine), Refusal::kNone);
  EXPECT_EQ(a.ask(bound, &theirs), Refusal::kBinding);
  EXPECT_EQ(a.ask(bound), Refusal::kBinding);
  EXPECT_EQ(a.ask(a.token(), &elsewhere), Refusal::kContradiction);
  EXPECT_EQ(a.ask(a.token(), &mine), Refusal::kNone);
}

TEST(Authorizer, ACertificateAloneSaysWhoItIs) {
  Asking a;
  Certificate c{"shop", "van 3", {}, kBegin - Span::s(9), kBegin + Span::s(9)};
  Asked asked;
  asked.certificate = &c;
  Span wait;
  Identity who;
  EXPECT_EQ(a.gate.identify(asked, a.presence, a.now, who, wait), Refusal::kNone);
  EXPECT_EQ(who.caller, "shop/van%203");
  EXPECT_EQ(a.gate.identify(asked, a.presence, a.now + Span::s(10), who, wait), Refusal::kCertificate);
  c.organisation = "nobody";
  EXPECT_EQ(a.gate.identify(asked, a.presence, a.now, who, wait), Refusal::kTenant);
}

TEST(Authorizer, RightsToldAnewCountForTokensKnownBefore) {
  Asking a;
  a.terms.tenants[0].each = {10, 2, 0};
  a.gate.terms(a.terms, a.now);
  const std::string token = a.token();
  AdmissionToken t;
  Span wait;
  const auto let_in = [&](unsigned group) {
    EXPECT_EQ(a.ask(token), Refusal::kNone);
    return a.gate.let_in(a.who, group, a.now, t, wait);
  };
  EXPECT_EQ(let_in(0), Refusal::kNone);
  EXPECT_EQ(let_in(0), Refusal::kNone);
  EXPECT_EQ(let_in(0), Refusal::kRate);
  a.terms.tenants[0].each = {10, 3, 0};  // while it is at its limit: what it used up stands
  a.gate.terms(a.terms, a.now);
  EXPECT_EQ(let_in(0), Refusal::kNone);
  EXPECT_EQ(let_in(0), Refusal::kRate);
  a.terms.tenants[0].any_path = false, a.terms.tenants[0].may = {"pay"};
  a.gate.terms(a.terms, a.now);
  EXPECT_EQ(let_in(0), Refusal::kPathGroup);
  a.terms.tenants[0].only_listed = true;
  a.gate.terms(a.terms, a.now);
  EXPECT_EQ(a.ask(token), Refusal::kSubject);
  a.terms.tenants[0].name = "renamed";
  a.gate.terms(a.terms, a.now);
  EXPECT_EQ(a.ask(token), Refusal::kTenant);
}

TEST(Authorizer, AFloodOfBadTokensLeavesThoseWhoWereProvenAlone) {
  Asking a;
  Presence unknown;
  unsigned busy = 0, bad = 0;
  EXPECT_EQ(a.ask(a.token()), Refusal::kNone);
  AdmissionToken t;
  Span wait;
  EXPECT_EQ(a.gate.let_in(a.who, 0, a.now, t, wait), Refusal::kNone);
  const Signer liar("k1", tokens::Algorithm::kEs256);
  for (int i = 0; i < 4000; ++i) {
    a.now = a.now + Span::us(50);  // ten times what may be verified
    Asked asked;
    Identity who;
    unknown = {};
    const std::string forged = with_header(liar, R"({"alg":"ES256","kid":"k1"})",
                                           "{\"n\":" + std::to_string(i) + "}", std::string(64, 'x'));
    const std::string other = "Bearer " + forged;
    asked.authorization = other;
    const Refusal why = a.gate.identify(asked, unknown, a.now, who, wait);
    ++(why == Refusal::kBusy ? busy : bad);
    EXPECT_TRUE(why != Refusal::kBusy || wait > Span());
    if (i % 400 == 399) {
      a.presence.proven = true;
      EXPECT_EQ(a.ask(a.token(",\"m\":" + std::to_string(i))), Refusal::kNone)
          << "a new token on a proven connection";
    }
    if (i % 1000 == 999) {
      a.presence = {};
      EXPECT_EQ(a.ask(a.token(",\"o\":" + std::to_string(i))), Refusal::kNone)
          << "and on a new one, by a known name";
    }
  }
  EXPECT_GT(busy, 3000U);
  EXPECT_LE(bad, 620U);  // 0.2 s at 2000 a second, and the burst
}

TEST(Authorizer, TenThousandSubjectsWithinASecondAndWhatIsKeptStaysBounded) {
  Asking a;
  a.terms.cached_tokens = 256;
  a.terms.subjects = 1024;
  a.terms.tenants[0].each = {1, 1, 0};
  a.terms.verifications_per_s = 100000;
  Authorizer gate(a.terms, 7, a.now);
  gate.keys(std::vector{a.signer.listed()}, a.now);
  unsigned in = 0, again = 0;
  Presence presence{true};
  for (int i = 0; i < 10000; ++i) {
    a.now = a.now + Span::us(100);
    const std::string field = "Bearer " + a.signer.token("shop", "s" + std::to_string(i), a.now, Span::s(60));
    Asked asked;
    asked.authorization = field;
    Identity who;
    AdmissionToken t;
    Span wait;
    ASSERT_EQ(gate.identify(asked, presence, a.now, who, wait), Refusal::kNone);
    if (gate.let_in(who, 0, a.now, t, wait) == Refusal::kNone) gate.ended(t), ++in;
    if (gate.let_in(who, 0, a.now, t, wait) == Refusal::kNone) gate.ended(t), ++again;
  }
  EXPECT_LE(gate.cached(), 256U);
  EXPECT_EQ(again, 0U);  // each has its one hit at most: being forgotten gains none
  EXPECT_GT(in, 900U);
}

TEST(TokenCache, KeepsWhatIsUsedAndLetsTheExpiredGoFirst) {
  TokenCache cache(3);
  const auto grant = [](unsigned char n, Instant expires) {
    Grant g;
    g.digest.fill(n);
    g.expires = expires;
    return g;
  };
  const auto has = [&](unsigned char n) {
    tokens::Digest d;
    d.fill(n);
    return cache.find(d) != nullptr;
  };
  cache.put(grant(1, kBegin + Span::s(9)), kBegin);
  cache.put(grant(2, kBegin + Span::s(1)), kBegin);
  cache.put(grant(3, kBegin + Span::s(9)), kBegin);
  cache.put(grant(4, kBegin + Span::s(9)), kBegin + Span::s(2));
  EXPECT_TRUE(has(1) && !has(2) && has(3) && has(4));
  EXPECT_TRUE(has(1));
  cache.put(grant(5, kBegin + Span::s(9)), kBegin + Span::s(2));
  EXPECT_TRUE(has(1) && !has(3) && has(4) && has(5));
  EXPECT_EQ(cache.size(), 3U);
}

// ---- Handshakes ----

TEST(Handshakes, TheOneThatIsSilentGivesWayAndTheNewestIsServedFirst) {
  Handshakes h(2, 0.1, Span::ms(100));
  const auto a = h.begin(kBegin), b = h.begin(kBegin);
  EXPECT_EQ(h.begin(kBegin + Span::ms(50)).id, Handshakes::kNone);  // both are young
  EXPECT_TRUE(h.may_go_on(b.id, kBegin + Span::ms(60)));
  const auto c = h.begin(kBegin + Span::ms(120));
  EXPECT_EQ(c.gives_way, a.id);
  h.spent(Span::ms(60), kBegin + Span::ms(120));
  EXPECT_FALSE(h.may_go_on(b.id, kBegin + Span::ms(121)));
  EXPECT_FALSE(h.may_go_on(c.id, kBegin + Span::ms(122)));
  EXPECT_EQ(h.next(kBegin + Span::ms(123)), Handshakes::kNone);
  const Instant later = kBegin + Span::ms(124) + h.wait(kBegin + Span::ms(124));
  EXPECT_EQ(h.begin(later).id, Handshakes::kNone);  // those who wait for us do not give way
  EXPECT_EQ(h.next(later), c.id);
  EXPECT_EQ(h.next(later), b.id);
  h.over(b.id), h.over(c.id);
  EXPECT_EQ(h.under_way(), 0U);
}

}  // namespace
}  // namespace ashbeam
