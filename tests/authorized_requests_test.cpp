// The authorizer as seen by clients and endpoints of a router: tokens on plain connections, what clients are
// answered, and what endpoints receive.
#include "calling_helpers.hpp"
#include "router_fixture.hpp"

namespace ashbeam {
namespace {

using namespace calling;

class AuthorizedRequestsTest : public RouterTest {
 protected:
  CallingSettings settings_ = shop_settings();
  TokenSigner signer_{"k1", tokens::Algorithm::kEdDsa};

  void begin_with(std::vector<tokens::KeyEntry> keys) {
    before_start_ = [this, keys] {
      auto authorizer = std::make_unique<Authorizer>(settings_, 7, loop_.now());
      authorizer->update_keys(keys, loop_.now());
      service_->set_authorizer(std::move(authorizer), /*token_goes_on=*/false);
    };
    start_router(all_endpoints());
  }
  Instant now() const { return loop_.now(); }
  std::string bearer(const std::string& subject, const std::string& more_members = "") const {
    return "Authorization: Bearer " +
           signer_.make_token("shop", subject, now(), Duration::s(60), more_members) + "\r\n";
  }
  // Sends it, serves it if it reaches an endpoint, and returns the answer; `seen` is what the endpoint got.
  std::string serve(const std::string& request, std::string* seen = nullptr) {
    Stream client_stream = connect_client();
    client_stream.send(request);
    Stream attempt = take_attempt(150);
    const std::string request_seen = attempt.fd >= 0 ? attempt.read_message() : "";
    if (seen) *seen = request_seen;
    if (!request_seen.empty()) attempt.send(kOkAnswer);
    return client_stream.read_message();
  }
};

TEST_F(AuthorizedRequestsTest, AProvenPrincipalIsServedAndNamedToEndpoints) {
  begin_with({signer_.entry()});
  std::string seen;
  const std::string spelt = "X-Caller: root\r\nx-CALLER: root\r\nX_Caller: root\r\nx_caller: root\r\n";
  EXPECT_EQ(status_of(serve(get(1500, bearer("rider 1\\r\\nX: y") + spelt + "X-Account: shop\r\n"), &seen)),
            200U);
  EXPECT_NE(seen.find("X-Caller: shop/rider%201%0D%0AX:%20y\r\n"), std::string::npos) << seen;
  EXPECT_EQ(seen.find("root"), std::string::npos) << seen;
  EXPECT_EQ(seen.find("Authorization"), std::string::npos) << seen;
}

TEST_F(AuthorizedRequestsTest, WithoutProofTheAnswerSaysWhyAndNoEndpointIsAsked) {
  begin_with({signer_.entry()});
  const TokenSigner other("k1", tokens::Algorithm::kEdDsa);
  const std::string forged =
      "Authorization: Bearer " + other.make_token("shop", "r", now(), Duration::s(60)) + "\r\n";
  const std::string old = "Authorization: Bearer " +
                          signer_.make_token("shop", "r", now() - Duration::s(600), Duration::s(60)) + "\r\n";
  struct Row {
    std::string fields;
    std::string word;
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

TEST_F(AuthorizedRequestsTest, ARequestOverItsLimitIsRejectedAndTakenAfterRetryAfter) {
  settings_.tenants[0].subject_limit = {10, 1, 0};
  begin_with({signer_.entry()});
  EXPECT_EQ(status_of(serve(get(1500, bearer("r")))), 200U);
  const std::string rejected = serve(get(1500, bearer("r")));
  EXPECT_EQ(status_of(rejected), 429U);
  const auto retry_after_s = std::stod(rejected.substr(rejected.find("Retry-After: ") + 13));
  EXPECT_TRUE(retry_after_s > 0 && retry_after_s <= 0.11) << retry_after_s;
  usleep(static_cast<unsigned>(retry_after_s * 1e6));
  EXPECT_EQ(status_of(serve(get(1500, bearer("r")))), 200U);
}

TEST_F(AuthorizedRequestsTest, RequestsInFlightAreReleasedHoweverTheyEnd) {
  settings_.tenants[0].subject_limit = {0, 1, 1};
  begin_with({signer_.entry()});
  for (int i = 0; i < 3; ++i) {
    Stream first = connect_client();
    first.send(get(1500, bearer("r")));
    Stream attempt = take_attempt();
    ASSERT_FALSE(attempt.read_message().empty()) << i;
    EXPECT_EQ(status_of(answer_to(get(1500, bearer("r")))), 429U) << i;
    const bool client_leaves = i == 1;
    if (client_leaves) {
      first.close();
    } else {
      attempt.send(kOkAnswer);
      EXPECT_EQ(status_of(first.read_message()), 200U);
    }
    attempt.close();
    usleep(30000);
  }
}

TEST_F(AuthorizedRequestsTest, AKeyRotatedOrRevokedWhileABodyStillComes) {
  settings_.tenants[0].allowed_classes = {"look", "pay"};
  settings_.retiring_key_overlap = Duration::s(5);
  begin_with({signer_.entry()});
  const TokenSigner next("k2", tokens::Algorithm::kEs256);
  for (const bool revoked : {false, true}) {
    Stream client_stream = connect_client();
    const std::string whole = post("pay");
    const std::size_t at = whole.find("\r\n") + 2;
    const std::string request = whole.substr(0, at) + bearer("r") + whole.substr(at);
    client_stream.send(request.substr(0, request.size() - 2));  // the body's end is still to come
    usleep(20000);
    auto old = signer_.entry();
    old.revoked = revoked;
    run_on_loop([&] { service_->authorizer()->update_keys(std::vector{next.entry(), old}, loop_.now()); });
    if (!revoked)
      run_on_loop([&] { service_->authorizer()->update_keys(std::vector{next.entry()}, loop_.now()); });
    client_stream.send(request.substr(request.size() - 2));
    Stream attempt = take_attempt(revoked ? 100 : 1000);
    EXPECT_EQ(attempt.read_message(100).empty(), revoked);
    if (!revoked) attempt.send(kOkAnswer);
    const std::string answer = client_stream.read_message();
    EXPECT_EQ(status_of(answer), revoked ? 401U : 200U);
    EXPECT_EQ(answer.find("revoked") != std::string::npos, revoked);
  }
}

TEST_F(AuthorizedRequestsTest, ATokenThatExpiresWhileItsRequestIsInFlightDoesNotEndIt) {
  settings_.leeway = Duration();
  begin_with({signer_.entry()});
  const std::string whole = post("pay", 1900);
  const std::size_t at = whole.find("\r\n") + 2;
  const std::string token = signer_.make_token("shop", "r", now(), Duration::s(1));
  Stream client_stream = connect_client();
  client_stream.send(whole.substr(0, at) + "Authorization: Bearer " + token + "\r\n" + whole.substr(at));
  Stream attempt = take_attempt();
  ASSERT_FALSE(attempt.read_message().empty());
  usleep(1100000);
  attempt.send(kOkAnswer);
  EXPECT_EQ(status_of(client_stream.read_message()), 200U);
  EXPECT_EQ(status_of(answer_to(get(900, "Authorization: Bearer " + token + "\r\n"))), 401U);
}

TEST_F(AuthorizedRequestsTest, WhereProofIsOptionalAnUnprovenAccountIsServed) {
  settings_.requires_authentication = false;
  begin_with({signer_.entry()});
  std::string seen;
  EXPECT_EQ(
      status_of(serve(get(1500, "X-Account: shop\r\nX-Caller: root\r\nAuthorization: Basic x\r\n"), &seen)),
      200U);
  EXPECT_EQ(seen.find("root"), std::string::npos);
  EXPECT_NE(seen.find("Authorization: Basic x"), std::string::npos);
}

}  // namespace
}  // namespace ashbeam
