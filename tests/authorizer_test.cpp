// Tests of the authorizer: authentication by token and certificate, rights, quotas, and the bounded size of
// its tables.
#include "calling/authorizer.hpp"

#include <gtest/gtest.h>

#include "calling_helpers.hpp"
#include "tokens/base64url.hpp"

namespace ashbeam {
namespace {

using namespace calling;

const Instant kBegin = Instant::at_us(1'700'000'000'000'000);

// An authorizer with one tenant and one key, and the state of one client connection.
struct AuthorizerFixture {
  CallingSettings settings = shop_settings();
  TokenSigner signer{"k1", tokens::Algorithm::kEs256};
  Instant now = kBegin;
  Authorizer authorizer{settings, 7, kBegin};
  ConnectionHistory history;
  Identity identity;
  AuthorizerFixture() { authorizer.update_keys(std::vector{signer.entry()}, now); }
  Refusal authenticate(const std::string& token, const ClientCertificate* certificate = nullptr) {
    const std::string field = "bEaReR " + token;
    Credentials credentials;
    credentials.authorization = field;
    credentials.certificate = certificate;
    Duration retry_after;
    identity = {};
    return authorizer.authenticate(credentials, history, now, identity, retry_after);
  }
  std::string make_token(const std::string& more_members = "", Duration lifetime = Duration::s(60)) const {
    return signer.make_token("shop", "r", now, lifetime, more_members);
  }
};

// Returns a token with this header and payload, signed by the signer unless a signature is given.
std::string with_header(const TokenSigner& signer, const std::string& header, const std::string& payload,
                        const std::string& signature = "") {
  const std::string input = tokens::encode_base64url(header) + "." + tokens::encode_base64url(payload);
  return input + "." + tokens::encode_base64url(signature.empty() ? signer.key.sign(input) : signature);
}

TEST(Authorizer, ReportsReasonForEachInvalidTokenAlsoWhenRepeated) {
  AuthorizerFixture fixture;
  const std::string claims =
      R"({"aud":"ashbeam","tenant":"shop","sub":"r","iat":1700000000,"exp":1700000060})";
  const auto at = [&](const std::string& header) { return with_header(fixture.signer, header, claims); };
  const std::string es = R"({"alg":"ES256","kid":"k1")";
  struct Row {
    std::string token;
    Refusal refusal;
  } const rows[] = {
      {at(es + "}"), Refusal::kNone},
      {at(es + R"(,"typ":"at+jwt"})"), Refusal::kNone},
      {at(es + R"(,"typ":"dpop+jwt"})"), Refusal::kMalformed},
      {at(es + R"(,"crit":["exp"]})"), Refusal::kMalformed},
      {at(es + R"(,"alg":"none"})"), Refusal::kMalformed},
      {at(R"({"alg":"none","kid":"k1"})"), Refusal::kAlgorithm},
      {at(R"({"alg":"HS256","kid":"k1"})"), Refusal::kAlgorithm},
      {at(R"({"alg":"EdDSA","kid":"k1"})"), Refusal::kAlgorithm},
      {at(R"({"alg":"es256","kid":"k1"})"), Refusal::kAlgorithm},
      {at(R"({"alg":"ES256","kid":"k9","jku":"https://x"})"), Refusal::kUnknownKey},
      {at(R"({"alg":"ES256"})"), Refusal::kUnknownKey},
      {with_header(fixture.signer, es + "}", claims, std::string(64, '\1')), Refusal::kSignature},
      {with_header(fixture.signer, es + "}", claims, std::string(64, '\0')), Refusal::kSignature},
      {with_header(fixture.signer, es + "}", "[]"), Refusal::kMalformed},
      {with_header(
           fixture.signer, es + "}",
           R"({"aud":"ashbeam","sub":"r","sub":"q","tenant":"shop","iat":1700000000,"exp":1700000060})"),
       Refusal::kMalformed},
      {with_header(fixture.signer, es + "}",
                   R"({"aud":"ashbeam","sub":"r","tenant":"shop","iat":1700000000})"),
       Refusal::kMalformed},
      {with_header(fixture.signer, es + "}",
                   R"({"aud":"ashbeam","sub":"r","tenant":"shop","iat":1700000000,"exp":"x"})"),
       Refusal::kMalformed},
      {with_header(fixture.signer, es + "}",
                   R"({"aud":["b","ashbeam"],"sub":"r","tenant":"shop","iat":1700000000,"exp":1700000060})"),
       Refusal::kNone},
      {with_header(fixture.signer, es + "}",
                   R"({"aud":"b","sub":"r","tenant":"shop","iat":1700000000,"exp":1700000060})"),
       Refusal::kAudience},
      {with_header(fixture.signer, es + "}",
                   R"({"aud":"ashbeam","sub":"r","tenant":"else","iat":1700000000,"exp":1700000060})"),
       Refusal::kUnknownTenant},
      {fixture.make_token(R"(,"nbf":1700000040)"), Refusal::kNotYetValid},
      {fixture.make_token("", Duration::s(86401)), Refusal::kLifetimeTooLong},
      {fixture.make_token(R"(,"cnf":{"jkt":"x"})"), Refusal::kMalformed},
      {fixture.make_token(R"(,"cnf":{"x5t#S256":")" + tokens::encode_base64url(std::string(32, 'p')) + "\"}"),
       Refusal::kCertificateBinding},
      {"", Refusal::kMalformed},
      {std::string(5000, 'a'), Refusal::kMalformed},
      {"..", Refusal::kMalformed},
      {fixture.make_token() + ".x", Refusal::kMalformed},
      {fixture.make_token() + "=", Refusal::kMalformed},
  };
  for (const Row& row : rows) {
    EXPECT_EQ(name_of(fixture.authenticate(row.token)), name_of(row.refusal)) << row.token;
    EXPECT_EQ(name_of(fixture.authenticate(row.token)), name_of(row.refusal)) << "again: " << row.token;
  }
}

TEST(Authorizer, VerifiesEachTokenOnceWhetherValidOrNot) {
  AuthorizerFixture fixture;
  for (const std::string& token :
       {fixture.make_token(), std::string("x.y.z"), with_header(fixture.signer, R"({"alg":"none"})", "{}"),
        with_header(fixture.signer, R"({"alg":"ES256","kid":"no"})", "{}")}) {
    const auto before = fixture.authorizer.verification_count();
    fixture.authenticate(token);
    fixture.authenticate(token);
    EXPECT_EQ(fixture.authorizer.verification_count(), before + 1) << token;
  }
}

TEST(Authorizer, AcceptsTokenOfClockTwoMinutesApartOnlyWithinLeeway) {
  for (const bool issuer_ahead : {false, true}) {
    for (const bool wide_leeway : {false, true}) {
      AuthorizerFixture fixture;
      fixture.settings.leeway = wide_leeway ? Duration::s(130) : Duration::s(30);
      fixture.authorizer.update_settings(fixture.settings, fixture.now);
      const std::string token = fixture.signer.make_token(
          "shop", "r", fixture.now + Duration::s(issuer_ahead ? 120 : -120), Duration::s(60));
      const Refusal refusal = fixture.authenticate(token);
      EXPECT_EQ(name_of(refusal), wide_leeway ? "none" : issuer_ahead ? "early" : "expired");
    }
  }
}

TEST(Authorizer, ChecksTokensAgainstAdjustedWallClock) {
  AuthorizerFixture fixture;
  const std::string token = fixture.make_token();
  EXPECT_EQ(fixture.authenticate(token), Refusal::kNone);
  // As after the machine was suspended for 300 s.
  fixture.authorizer.set_wall_clock_offset(Duration::s(300));
  EXPECT_EQ(fixture.authenticate(token), Refusal::kExpired);
  const std::string fresh =
      fixture.signer.make_token("shop", "r", fixture.now + Duration::s(300), Duration::s(60));
  EXPECT_EQ(fixture.authenticate(fresh), Refusal::kNone);
  fixture.authorizer.set_wall_clock_offset(Duration());
  EXPECT_EQ(fixture.authenticate(fresh), Refusal::kNotYetValid);
}

TEST(Authorizer, VerifiesWithEachOfTwoKeysOfTheSameKid) {
  AuthorizerFixture fixture;
  const TokenSigner twin("k1", tokens::Algorithm::kEs256);
  fixture.authorizer.update_keys(std::vector{fixture.signer.entry(), twin.entry()}, fixture.now);
  EXPECT_EQ(fixture.authenticate(fixture.make_token()), Refusal::kNone);
  EXPECT_EQ(fixture.authenticate(twin.make_token("shop", "r", fixture.now, Duration::s(60))), Refusal::kNone);
  EXPECT_EQ(
      fixture.authenticate(
          TokenSigner("k1", tokens::Algorithm::kEs256).make_token("shop", "r", fixture.now, Duration::s(60))),
      Refusal::kSignature);
}

TEST(Authorizer, RejectsTokenBoundToOtherCertificateAndCertificateOfOtherTenant) {
  AuthorizerFixture fixture;
  calling::TenantSettings other;
  other.name = "other";
  fixture.settings.tenants.push_back(other);
  fixture.authorizer.update_settings(fixture.settings, fixture.now);
  ClientCertificate own_certificate{"shop", "r", {}, kBegin - Duration::s(9), kBegin + Duration::s(99)};
  ClientCertificate other_certificate = own_certificate;
  ClientCertificate other_tenant_certificate = own_certificate;
  own_certificate.sha256.fill('p');
  other_certificate.sha256.fill('q');
  other_tenant_certificate.organisation = "other";
  const std::string bound =
      fixture.make_token(R"(,"cnf":{"x5t#S256":")" + tokens::encode_base64url(std::string(32, 'p')) + "\"}");
  EXPECT_EQ(fixture.authenticate(bound, &own_certificate), Refusal::kNone);
  EXPECT_EQ(fixture.authenticate(bound, &other_certificate), Refusal::kCertificateBinding);
  EXPECT_EQ(fixture.authenticate(bound), Refusal::kCertificateBinding);
  EXPECT_EQ(fixture.authenticate(fixture.make_token(), &other_tenant_certificate), Refusal::kTenantMismatch);
  EXPECT_EQ(fixture.authenticate(fixture.make_token(), &own_certificate), Refusal::kNone);
}

TEST(Authorizer, AuthenticatesByValidCertificateWithoutToken) {
  AuthorizerFixture fixture;
  ClientCertificate certificate{"shop", "van 3", {}, kBegin - Duration::s(9), kBegin + Duration::s(9)};
  Credentials credentials;
  credentials.certificate = &certificate;
  Duration retry_after;
  Identity identity;
  EXPECT_EQ(fixture.authorizer.authenticate(credentials, fixture.history, fixture.now, identity, retry_after),
            Refusal::kNone);
  EXPECT_EQ(identity.principal, "shop/van%203");
  EXPECT_EQ(fixture.authorizer.authenticate(credentials, fixture.history, fixture.now + Duration::s(10),
                                            identity, retry_after),
            Refusal::kCertificate);
  certificate.organisation = "nobody";
  EXPECT_EQ(fixture.authorizer.authenticate(credentials, fixture.history, fixture.now, identity, retry_after),
            Refusal::kUnknownTenant);
}

TEST(Authorizer, AppliesNewSettingsToTokensVerifiedBefore) {
  AuthorizerFixture fixture;
  fixture.settings.tenants[0].subject_limit = {10, 2, 0};
  fixture.authorizer.update_settings(fixture.settings, fixture.now);
  const std::string token = fixture.make_token();
  QuotaHold hold;
  Duration retry_after;
  const auto admit = [&](unsigned request_class) {
    EXPECT_EQ(fixture.authenticate(token), Refusal::kNone);
    return fixture.authorizer.admit(fixture.identity, request_class, fixture.now, hold, retry_after);
  };
  EXPECT_EQ(admit(0), Refusal::kNone);
  EXPECT_EQ(admit(0), Refusal::kNone);
  EXPECT_EQ(admit(0), Refusal::kRateLimit);
  fixture.settings.tenants[0].subject_limit = {10, 3, 0};  // the consumed quota is retained
  fixture.authorizer.update_settings(fixture.settings, fixture.now);
  EXPECT_EQ(admit(0), Refusal::kNone);
  EXPECT_EQ(admit(0), Refusal::kRateLimit);
  fixture.settings.tenants[0].allows_any_class = false;
  fixture.settings.tenants[0].allowed_classes = {"pay"};
  fixture.authorizer.update_settings(fixture.settings, fixture.now);
  EXPECT_EQ(admit(0), Refusal::kRequestClass);
  fixture.settings.tenants[0].allows_only_listed_subjects = true;
  fixture.authorizer.update_settings(fixture.settings, fixture.now);
  EXPECT_EQ(fixture.authenticate(token), Refusal::kUnknownSubject);
  fixture.settings.tenants[0].name = "renamed";
  fixture.authorizer.update_settings(fixture.settings, fixture.now);
  EXPECT_EQ(fixture.authenticate(token), Refusal::kUnknownTenant);
}

// A flood of invalid tokens uses up the verification budget of unauthenticated connections. New tokens must
// still be verified on authenticated connections, and on new connections if they name a known subject.
TEST(Authorizer, VerifiesTokensOfKnownPrincipalsDuringFloodOfInvalidTokens) {
  AuthorizerFixture fixture;
  ConnectionHistory unproven;
  unsigned busy = 0;
  unsigned verified_invalid = 0;
  EXPECT_EQ(fixture.authenticate(fixture.make_token()), Refusal::kNone);
  QuotaHold hold;
  Duration retry_after;
  EXPECT_EQ(fixture.authorizer.admit(fixture.identity, 0, fixture.now, hold, retry_after), Refusal::kNone);
  const TokenSigner forger("k1", tokens::Algorithm::kEs256);
  for (int i = 0; i < 4000; ++i) {
    fixture.now = fixture.now + Duration::us(50);  // ten times the permitted verification rate
    Credentials credentials;
    Identity identity;
    unproven = {};
    const std::string forged = with_header(forger, R"({"alg":"ES256","kid":"k1"})",
                                           "{\"n\":" + std::to_string(i) + "}", std::string(64, 'x'));
    const std::string field = "Bearer " + forged;
    credentials.authorization = field;
    const Refusal refusal =
        fixture.authorizer.authenticate(credentials, unproven, fixture.now, identity, retry_after);
    ++(refusal == Refusal::kVerificationsBusy ? busy : verified_invalid);
    EXPECT_TRUE(refusal != Refusal::kVerificationsBusy || retry_after > Duration());
    if (i % 400 == 399) {
      fixture.history.is_authenticated = true;
      EXPECT_EQ(fixture.authenticate(fixture.make_token(",\"m\":" + std::to_string(i))), Refusal::kNone)
          << "new token on an authenticated connection";
    }
    if (i % 1000 == 999) {
      fixture.history = {};
      EXPECT_EQ(fixture.authenticate(fixture.make_token(",\"o\":" + std::to_string(i))), Refusal::kNone)
          << "new token of a known subject on a new connection";
    }
  }
  EXPECT_GT(busy, 3000U);
  EXPECT_LE(verified_invalid, 620U);  // 0.2 s at 2000 verifications per second, and the burst
}

// With more subjects than the tables hold, entries are evicted all the time. A subject must not get a second
// request by being evicted.
TEST(Authorizer, KeepsTablesBoundedAndLimitsInForceWithTenThousandSubjects) {
  AuthorizerFixture fixture;
  fixture.settings.max_cached_tokens = 256;
  fixture.settings.max_subjects = 1024;
  fixture.settings.tenants[0].subject_limit = {1, 1, 0};
  fixture.settings.verifications_per_s = 100000;
  Authorizer authorizer(fixture.settings, 7, fixture.now);
  authorizer.update_keys(std::vector{fixture.signer.entry()}, fixture.now);
  unsigned admitted = 0;
  unsigned admitted_again = 0;
  ConnectionHistory history{true};
  for (int i = 0; i < 10000; ++i) {
    fixture.now = fixture.now + Duration::us(100);
    const std::string field =
        "Bearer " + fixture.signer.make_token("shop", "s" + std::to_string(i), fixture.now, Duration::s(60));
    Credentials credentials;
    credentials.authorization = field;
    Identity identity;
    QuotaHold hold;
    Duration retry_after;
    ASSERT_EQ(authorizer.authenticate(credentials, history, fixture.now, identity, retry_after),
              Refusal::kNone);
    const auto admit_and_release = [&] {
      if (authorizer.admit(identity, 0, fixture.now, hold, retry_after) != Refusal::kNone) return false;
      authorizer.release(hold);
      return true;
    };
    if (admit_and_release()) ++admitted;
    if (admit_and_release()) ++admitted_again;
  }
  EXPECT_LE(authorizer.cached_token_count(), 256U);
  EXPECT_EQ(admitted_again, 0U);  // the limit is one request for each subject
  EXPECT_GT(admitted, 900U);
}

}  // namespace
}  // namespace ashbeam
