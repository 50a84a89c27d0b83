// Tests of authorization through a whole router: requests with tokens on connections without TLS, the answers
// that clients receive, and the header fields that endpoints receive.
#include "calling_helpers.hpp"
#include "router_fixture.hpp"

namespace ashbeam {
namespace {

using namespace calling;

class AuthorizedRequestsTest : public RouterTest {
 protected:
  CallingSettings settings_ = shop_settings();
  TokenSigner signer_{"k1", tokens::Algorithm::kEdDsa};

  void start_router_with_keys(std::vector<tokens::KeyEntry> keys) {
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
  // Sends the request, answers it if it reaches an endpoint, and returns the answer that the client receives.
  // `seen` is set to the request that the endpoint received; empty if it received none.
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

TEST_F(AuthorizedRequestsTest, SendsPrincipalToEndpointAndDropsCallerFieldsOfClient) {
  start_router_with_keys({signer_.entry()});
  std::string seen;
  const std::string forged_caller_fields =
      "X-Caller: root\r\nx-CALLER: root\r\nX_Caller: root\r\nx_caller: root\r\n";
  EXPECT_EQ(
      status_of(serve(get(1500, bearer("rider 1\\r\\nX: y") + forged_caller_fields + "X-Account: shop\r\n"),
                      &seen)),
      200U);
  EXPECT_NE(seen.find("X-Caller: shop/rider%201%0D%0AX:%20y\r\n"), std::string::npos) << seen;
  EXPECT_EQ(seen.find("root"), std::string::npos) << seen;
  EXPECT_EQ(seen.find("Authorization"), std::string::npos) << seen;
}

TEST_F(AuthorizedRequestsTest, AnswersUnauthenticatedRequestWithReasonAndWithoutAttempt) {
  start_router_with_keys({signer_.entry()});
  const TokenSigner other("k1", tokens::Algorithm::kEdDsa);
  const std::string forged =
      "Authorization: Bearer " + other.make_token("shop", "r", now(), Duration::s(60)) + "\r\n";
  const std::string expired = "Authorization: Bearer " +
                              signer_.make_token("shop", "r", now() - Duration::s(600), Duration::s(60)) +
                              "\r\n";
  struct Row {
    std::string fields;
    std::string expected_text;
    unsigned status;
  } const rows[] = {
      {"", "WWW-Authenticate: Bearer\r\n", 401},
      {"Authorization: Basic abc\r\n", "unreadable", 401},
      {"Authorization: Bearer a.b.c\r\n", "unreadable", 401},
      {bearer("r") + bearer("r"), "unreadable", 401},
      {forged, "signature", 401},
      {expired, "expired", 401},
      {bearer("r") + "X-Account: elsewhere\r\n", "contradiction", 403},
  };
  for (const Row& row : rows) {
    std::string seen;
    const std::string answer = serve(get(1500, row.fields), &seen);
    EXPECT_EQ(status_of(answer), row.status) << row.expected_text;
    EXPECT_NE(answer.find(row.expected_text), std::string::npos) << answer;
    EXPECT_TRUE(seen.empty()) << row.expected_text;
  }
}

TEST_F(AuthorizedRequestsTest, RejectsRequestOverRateLimitAndAdmitsItAfterRetryAfter) {
  settings_.tenants[0].subject_limit = {10, 1, 0};
  start_router_with_keys({signer_.entry()});
  EXPECT_EQ(status_of(serve(get(1500, bearer("r")))), 200U);
  const std::string rejected = serve(get(1500, bearer("r")));
  EXPECT_EQ(status_of(rejected), 429U);
  const auto retry_after_s = std::stod(rejected.substr(rejected.find("Retry-After: ") + 13));
  EXPECT_TRUE(retry_after_s > 0 && retry_after_s <= 0.11) << retry_after_s;
  usleep(static_cast<unsigned>(retry_after_s * 1e6));
  EXPECT_EQ(status_of(serve(get(1500, bearer("r")))), 200U);
}

TEST_F(AuthorizedRequestsTest, ReleasesInFlightLimitOnAnswerAndOnClientDisconnect) {
  settings_.tenants[0].subject_limit = {0, 1, 1};
  start_router_with_keys({signer_.entry()});
  for (int i = 0; i < 3; ++i) {
    Stream first = connect_client();
    first.send(get(1500, bearer("r")));
    Stream attempt = take_attempt();
    ASSERT_FALSE(attempt.read_message().empty()) << i;
    EXPECT_EQ(status_of(answer_to(get(1500, bearer("r")))), 429U) << i;
    const bool client_disconnects = i == 1;
    if (client_disconnects) {
      first.close();
    } else {
      attempt.send(kOkAnswer);
      EXPECT_EQ(status_of(first.read_message()), 200U);
    }
    attempt.close();
    usleep(30000);
  }
}

// The key set changes while the body of a request is still being received. If the key has been rotated, the
// request is served within the overlap; if it has been revoked, the request is rejected.
TEST_F(AuthorizedRequestsTest, RejectsRequestWhoseKeyIsRevokedWhileItsBodyArrives) {
  settings_.tenants[0].allowed_classes = {"look", "pay"};
  settings_.retiring_key_overlap = Duration::s(5);
  start_router_with_keys({signer_.entry()});
  const TokenSigner next("k2", tokens::Algorithm::kEs256);
  for (const bool revoked : {false, true}) {
    Stream client_stream = connect_client();
    const std::string message = post("pay");
    const std::size_t at = message.find("\r\n") + 2;
    const std::string request = message.substr(0, at) + bearer("r") + message.substr(at);
    client_stream.send(request.substr(0, request.size() - 2));  // without the end of the body
    usleep(20000);
    auto old_key = signer_.entry();
    old_key.revoked = revoked;
    run_on_loop([&] {
      service_->authorizer()->update_keys(std::vector{next.entry(), old_key}, loop_.now());
    });
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

TEST_F(AuthorizedRequestsTest, AnswersRequestWhoseTokenExpiresWhileItIsInFlight) {
  settings_.leeway = Duration();
  start_router_with_keys({signer_.entry()});
  const std::string message = post("pay", 1900);
  const std::size_t at = message.find("\r\n") + 2;
  const std::string token = signer_.make_token("shop", "r", now(), Duration::s(1));
  Stream client_stream = connect_client();
  client_stream.send(message.substr(0, at) + "Authorization: Bearer " + token + "\r\n" + message.substr(at));
  Stream attempt = take_attempt();
  ASSERT_FALSE(attempt.read_message().empty());
  usleep(1100000);
  attempt.send(kOkAnswer);
  EXPECT_EQ(status_of(client_stream.read_message()), 200U);
  EXPECT_EQ(status_of(answer_to(get(900, "Authorization: Bearer " + token + "\r\n"))), 401U);
}

TEST_F(AuthorizedRequestsTest, ServesUnauthenticatedRequestWhereAuthenticationIsOptional) {
  settings_.requires_authentication = false;
  start_router_with_keys({signer_.entry()});
  std::string seen;
  EXPECT_EQ(
      status_of(serve(get(1500, "X-Account: shop\r\nX-Caller: root\r\nAuthorization: Basic x\r\n"), &seen)),
      200U);
  EXPECT_EQ(seen.find("root"), std::string::npos);
  EXPECT_NE(seen.find("Authorization: Basic x"), std::string::npos);
}

}  // namespace
}  // namespace ashbeam
