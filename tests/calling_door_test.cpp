// Who is calling, at the router's own door: tokens on plain connections, and what hosts are told.
#include "calling_helpers.hpp"
#include "router_fixture.hpp"

namespace ashbeam {
namespace {

using namespace calling;

class CallingDoorTest : public RouterTest {
 protected:
  CallingSettings calling_ = shop_terms();
  Signer signer_{"k1", tokens::Algorithm::kEdDsa};
  bool token_goes_on_ = false;

  void open(std::vector<tokens::Listed> keys) {
    before_start_ = [this, keys] {
      auto gate = std::make_unique<Authorizer>(calling_, 7, loop_.now());
      gate->keys(keys, loop_.now());
      service_->set_authorizer(std::move(gate), token_goes_on_);
    };
    start_router(all_endpoints());
  }
  Instant now() const { return loop_.now(); }
  std::string bearer(const std::string& subject, const std::string& more = "") const {
    return "Authorization: Bearer " + signer_.token("shop", subject, now(), Span::s(60), more) + "\r\n";
  }
  // Sends it, serves it if it comes to a host, and returns the answer; `seen` is what the host saw.
  std::string serve(const std::string& request, std::string* seen = nullptr) {
    Stream c = connect_client();
    c.send(request);
    Stream h = take_attempt(150);
    const std::string got = h.fd >= 0 ? h.read_message() : "";
    if (seen) *seen = got;
    if (!got.empty()) h.send(kOkAnswer);
    return c.read_message();
  }
};

TEST_F(CallingDoorTest, AProvenCallerIsServedAndHostsAreToldWhoItIs) {
  open({signer_.listed()});
  std::string seen;
  const std::string spelt = "X-Caller: root\r\nx-CALLER: root\r\nX_Caller: root\r\nx_caller: root\r\n";
  EXPECT_EQ(status_of(serve(get(1500, bearer("rider 1\\r\\nX: y") + spelt + "X-Account: shop\r\n"), &seen)),
            200U);
  EXPECT_NE(seen.find("X-Caller: shop/rider%201%0D%0AX:%20y\r\n"), std::string::npos) << seen;
  EXPECT_EQ(seen.find("root"), std::string::npos) << seen;
  EXPECT_EQ(seen.find("Authorization"), std::string::npos) << seen;
}

TEST_F(CallingDoorTest, WhoProvesNothingIsToldWhyAndNoHostHearsOfIt) {
  open({signer_.listed()});
  const Signer other("k1", tokens::Algorithm::kEdDsa);
  const std::string forged = "Authorization: Bearer " + other.token("shop", "r", now(), Span::s(60)) + "\r\n";
  const std::string old =
      "Authorization: Bearer " + signer_.token("shop", "r", now() - Span::s(600), Span::s(60)) + "\r\n";
  struct Row {
    std::string fields, word;
    unsigned status;
  } const rows[] = {
      {"", "WWW-Authenticate: Bearer\r\n", 401},
      {"Authorization: Basic abc\r\n", "unreadable", 401},
      {"Authorization: Bearer a.b.c\r\n", "unreadable", 401},
      {bearer("r") + bearer("r"), "unreadable", 401},
      {forged, "signature", 401},
      {old, "expired", 401},
      {bearer("r") + "X-Account: elsewhere\r\n", "contradiction", 403},
  };
  for (const Row& row : rows) {
    std::string seen;
    const std::string answer = serve(get(1500, row.fields), &seen);
    EXPECT_EQ(status_of(answer), row.status) << row.word;
    EXPECT_NE(answer.find(row.word), std::string::npos) << answer;
    EXPECT_TRUE(seen.empty()) << row.word;
  }
}

TEST_F(CallingDoorTest, OverItsLimitAHitIsBouncedAndOnceItWaitedItIsTaken) {
  calling_.tenants[0].each = {10, 1, 0};
  open({signer_.listed()});
  EXPECT_EQ(status_of(serve(get(1500, bearer("r")))), 200U);
  const std::string bounced = serve(get(1500, bearer("r")));
  EXPECT_EQ(status_of(bounced), 429U);
  const auto wait = std::stod(bounced.substr(bounced.find("Retry-After: ") + 13));
  EXPECT_TRUE(wait > 0 && wait <= 0.11) << wait;
  usleep(static_cast<unsigned>(wait * 1e6));
  EXPECT_EQ(status_of(serve(get(1500, bearer("r")))), 200U);
}

TEST_F(CallingDoorTest, HitsInHandAreGivenBackHoweverTheyEnd) {
  calling_.tenants[0].each = {0, 1, 1};
  open({signer_.listed()});
  for (int i = 0; i < 3; ++i) {
    Stream first = connect_client();
    first.send(get(1500, bearer("r")));
    Stream h = take_attempt();
    ASSERT_FALSE(h.read_message().empty()) << i;
    EXPECT_EQ(status_of(answer_to(get(1500, bearer("r")))), 429U) << i;
    if (i == 1) first.close();  // the client leaves
    else h.send(kOkAnswer);
    if (i != 1) {
      EXPECT_EQ(status_of(first.read_message()), 200U);
    }
    h.close();
    usleep(30000);
  }
}

TEST_F(CallingDoorTest, AKeyRotatedOrRevokedWhileABodyStillComes) {
  calling_.tenants[0].may = {"look", "pay"};
  calling_.overlap = Span::s(5);
  open({signer_.listed()});
  const Signer next("k2", tokens::Algorithm::kEs256);
  for (const bool revoked : {false, true}) {
    Stream c = connect_client();
    const std::string whole = post("pay");
    const std::size_t at = whole.find("\r\n") + 2;
    const std::string request = whole.substr(0, at) + bearer("r") + whole.substr(at);
    c.send(request.substr(0, request.size() - 2));  // the body's end is still to come
    usleep(20000);
    auto old = signer_.listed();
    old.revoked = revoked;
    run_on_loop([&] { service_->authorizer()->keys(std::vector{next.listed(), old}, loop_.now()); });
    if (!revoked) run_on_loop([&] { service_->authorizer()->keys(std::vector{next.listed()}, loop_.now()); });
    c.send(request.substr(request.size() - 2));
    Stream h = take_attempt(revoked ? 100 : 1000);
    EXPECT_EQ(h.read_message(100).empty(), revoked);
    if (!revoked) h.send(kOkAnswer);
    const std::string answer = c.read_message();
    EXPECT_EQ(status_of(answer), revoked ? 401U : 200U);
    EXPECT_EQ(answer.find("revoked") != std::string::npos, revoked);
  }
}

TEST_F(CallingDoorTest, ATokenThatExpiresWhileItsHitIsForwardedDoesNotEndTheHit) {
  calling_.leeway = Span();
  open({signer_.listed()});
  const std::string whole = post("pay", 1900);
  const std::size_t at = whole.find("\r\n") + 2;
  const std::string token = signer_.token("shop", "r", now(), Span::s(1));
  Stream c = connect_client();
  c.send(whole.substr(0, at) + "Authorization: Bearer " + token + "\r\n" + whole.substr(at));
  Stream h = take_attempt();
  ASSERT_FALSE(h.read_message().empty());
  usleep(1100000);
  h.send(kOkAnswer);
  EXPECT_EQ(status_of(c.read_message()), 200U);
  EXPECT_EQ(status_of(answer_to(get(900, "Authorization: Bearer " + token + "\r\n"))), 401U);
}

TEST_F(CallingDoorTest, WhereProofIsOptionalAClaimStandsAsBefore) {
  calling_.required = false;
  open({signer_.listed()});
  std::string seen;
  EXPECT_EQ(
      status_of(serve(get(1500, "X-Account: shop\r\nX-Caller: root\r\nAuthorization: Basic x\r\n"), &seen)),
      200U);
  EXPECT_EQ(seen.find("root"), std::string::npos);
  EXPECT_NE(seen.find("Authorization: Basic x"), std::string::npos);
}

}  // namespace
}  // namespace ashbeam
