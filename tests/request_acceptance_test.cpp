// Tests of the checks that a request has to pass before it is accepted: its form, and its id.
#include "router_fixture.hpp"

namespace ashbeam {
namespace {

class RequestAcceptanceTest : public RouterTest {};

TEST_F(RequestAcceptanceTest, AnswersInvalidRequestsWithoutAnAttempt) {
  start_router(all_endpoints());
  const auto head = [] {
    return " HTTP/1.1\r\nX-Correlation-Id: " + new_request_id() + "\r\nX-Time-Left-Ms: 500\r\n";
  };
  const std::pair<std::string, unsigned> cases[] = {
      {"GET /nowhere" + head() + "\r\n", 404},
      {"GET /lookout" + head() + "\r\n", 404},
      {"POST /look" + head() + "Content-Length: 0\r\n\r\n", 405},
      {"GET /pay" + head() + "\r\n", 405},
      {"POST /book" + head() + "Content-Length: 0\r\n\r\n", 400},  // no idempotency key
      {"GET /look HTTP/1.1\r\nX-Time-Left-Ms: 500\r\n\r\n", 400},
      {"GET /look HTTP/1.1\r\nX-Correlation-Id: a\r\n\r\n", 400},
      {"GET /look HTTP/1.1\r\nX-Correlation-Id: a\r\nX-Time-Left-Ms: soon\r\n\r\n", 400},
      {"GET /look" + head() + "X-Correlation-Id: b\r\n\r\n", 400},
      {"GET /look" + head() + "X-Time-Left-Ms: 501\r\n\r\n", 400},
      {"GET /look" + head() + "Content-Length: 1\r\n\r\na", 400},
      {"GET /look" + head() + "X-Correlation-Id: " + std::string(200, 'x') + "\r\n\r\n", 400},
      // These twelve guard against requests that are not sound and were served.
      {"GET /look/1#part" + head() + "\r\n", 400},
      {"GET /look/%4" + head() + "\r\n", 400},
      {"GET /look" + head() + "Host: a b\r\n\r\n", 400},
      {"GET /look" + head() + "Idempotency-Key: k\r\n\r\n", 400},
      {"POST /pay" + head() + "Idempotency-Key: k\r\nContent-Length: 0\r\n\r\n", 400},
      {"GET /look" + head() + "Host: a\r\nHost: b\r\n\r\n", 400},
      {"GET /look HTTP/1.1\r\nX-Correlation-Id: a b\r\nX-Time-Left-Ms: 500\r\n\r\n", 400},
      {"GET /look" + head() + "\r\nbody without a length", 400},
      {"POST /pay" + head() + "Content-Length: 2\r\n\r\nlength too short", 400},
      {get() + get(), 400},  // clients send one request at a time
      {"POST /pay" + head() + "Transfer-Encoding: chunked\r\n\r\n0\r\nno field\r\n\r\n", 400},
      {"POST /pay" + head() + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Correlation-Id: b\r\n\r\n", 400},
      {"POST /pay" + head() + "Content-Length: 70000\r\n\r\n", 413},
      {"POST /pay" + head() + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
      {"GET /look" + head() + "X: " + std::string(20000, 'x') + "\r\n\r\n", 431},
      {"GET /look HTTP/1.0\r\n\r\n", 505},
      {"\x16\x03\x01\r\n\r\n", 400},
      {kHealthCheck, 200},
      {"POST /health/ready HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 405},
  };
  for (const auto& [request, status] : cases)
    EXPECT_EQ(status_of(answer_to(request)), status) << request.substr(0, 60);
  Stream partial = connect_client();
  partial.send("POST /pay" + head() + "Content-Length: 9\r\n\r\nhalf");
  partial.close();
  EXPECT_EQ(take_attempt(50).fd, -1);
}

TEST_F(RequestAcceptanceTest, RejectsIdOfARequestInFlightOrAnsweredRecently) {
  start_router(all_endpoints());
  Stream client = connect_client();
  client.send(post("pay", 1500, "b"));
  Stream attempt = take_attempt();
  EXPECT_FALSE(attempt.read_message().empty());
  EXPECT_EQ(status_of(answer_to(post("pay", 1500, "b"))), 409U);
  attempt.send(kOkAnswer);
  EXPECT_EQ(status_of(client.read_message()), 200U);
  EXPECT_EQ(status_of(answer_to(post("pay", 1500, "b"))), 409U);
  EXPECT_EQ(take_attempt(50).fd, -1);
}

// Guards against the id of another client's open request under another account, which was served.
TEST_F(RequestAcceptanceTest, RejectsIdOfARequestInFlightOfAnotherTenant) {
  start_router(all_endpoints());
  const auto request_of = [](const std::string& tenant) {
    return "POST /pay HTTP/1.1\r\nX-Correlation-Id: one\r\nX-Account: " + tenant +
           "\r\nX-Time-Left-Ms: 900\r\nContent-Length: 0\r\n\r\n";
  };
  Stream first_client = connect_client();
  first_client.send(request_of("shop"));
  Stream attempt = take_attempt();
  EXPECT_FALSE(attempt.read_message().empty());
  EXPECT_EQ(status_of(answer_to(request_of("other"))), 409U);
  EXPECT_EQ(status_of(answer_to(request_of("shop"))), 409U);
  EXPECT_EQ(take_attempt(50).fd, -1);
  attempt.send(kOkAnswer);
  EXPECT_EQ(status_of(first_client.read_message()), 200U);
  EXPECT_EQ(status_of(answer_to("GET /look HTTP/1.1\r\nX-Correlation-Id: two\r\nX-Account: shop\r\n"
                                "X-Account: other\r\nX-Time-Left-Ms: 900\r\n\r\n")),
            400U);
}

// Guards against an error for a request that comes again after its client left before any attempt.
TEST_F(RequestAcceptanceTest, AcceptsIdAgainIfTheRequestCannotHaveRun) {
  const FullListener full;
  start_router(endpoint_list(endpoint_entry(0, "up", 1, full.address()), 41, true));
  EXPECT_EQ(status_of(answer_to(post("pay", 200, "c"))), 502U);
  EXPECT_NE(status_of(answer_to(post("pay", 200, "c"))), 409U);
}

// Guards against a second run of a request whose client left and sends the same id again.
TEST_F(RequestAcceptanceTest, RejectsIdOfARequestWhoseClientHasLeft) {
  start_router(all_endpoints());
  for (const std::string& request : {post("pay", 1500, "d"), get(1500, "", "e")}) {
    Stream client = connect_client();
    client.send(request);
    Stream attempt = take_attempt();
    ASSERT_FALSE(attempt.read_message().empty());
    client.close();
    EXPECT_TRUE(attempt.is_closed_by_peer());
    EXPECT_EQ(status_of(answer_to(request)), 409U);
  }
  EXPECT_EQ(take_attempt(50).fd, -1);
}

// Guards against a client that keeps a connection and an endpoint for an hour by the time that it names.
TEST_F(RequestAcceptanceTest, AnswersWithinTheLimitIfTheClientNamesALongerTime) {
  limits_.max_time_left = Duration::ms(300);
  start_router(endpoint_list(endpoint_entry(0), 41, true));
  Stream client = connect_client();
  client.send(post("pay", 3'600'000));
  Stream attempt = take_attempt();
  const std::string request = attempt.read_message();
  EXPECT_LE(std::stoul(request.substr(request.find("X-Time-Left-Ms: ") + 16)), 300U);
  EXPECT_EQ(status_of(client.read_message(1000)), 502U);
}

// Guards against one client that uses up the room for ids, so that other clients' requests are refused.
TEST_F(RequestAcceptanceTest, RefusesOnlyTheClientThatUsesUpItsShareOfTheIds) {
  limits_.max_remembered_request_ids = 8;
  limits_.max_remembered_request_ids_per_client = 4;
  start_router(all_endpoints());
  const auto serve = [&](Stream& client) {
    client.send(post("pay"));
    Stream attempt = take_attempt(200);
    if (!attempt.read_message(200).empty()) attempt.send(status_line("200", "Connection: close\r\n"));
    return status_of(client.read_message());
  };
  Stream busy = connect_client(), other = connect_client();
  for (int i = 0; i < 4; ++i) EXPECT_EQ(serve(busy), 200U) << i;
  for (int i = 0; i < 4; ++i) EXPECT_EQ(serve(busy), 503U) << i;
  EXPECT_EQ(serve(other), 200U);
}

class RecentRequestIdsTest : public testing::Test {
 protected:
  using Result = RecentRequestIds::BeginResult;
  Result begin(const std::string& id, bool may_run_again, std::uint64_t client = 1) {
    return ids_.begin(ids_.digest_of(id), {client, may_run_again}, now_);
  }
  void end(const std::string& id, bool may_have_run = true) {
    ids_.end(ids_.digest_of(id), may_have_run, now_);
  }
  Instant now_ = Instant::at_us(1);
  RecentRequestIds ids_{3, 2, Duration::s(5), 7};
};

// Guards against ever new ids that push out those of requests that must not run twice.
TEST_F(RecentRequestIdsTest, KeepsIdsOfRequestsThatMustNotRunTwiceAndRemovesOthersAtTheLimit) {
  EXPECT_EQ(begin("unsafe", false), Result::kStored);
  end("unsafe");
  EXPECT_EQ(begin("in flight", true), Result::kStored);
  for (int i = 0; i < 1000; ++i) {
    EXPECT_EQ(begin("other" + std::to_string(i), true), Result::kStored);
    end("other" + std::to_string(i));
  }
  EXPECT_EQ(ids_.size(), 4U);
  EXPECT_EQ(begin("unsafe", false), Result::kPresent);
  EXPECT_EQ(begin("in flight", true), Result::kPresent);
  EXPECT_EQ(begin("other999", true), Result::kPresent);
  EXPECT_EQ(begin("unsafe 2", false), Result::kStored);
  EXPECT_EQ(begin("unsafe 3", false), Result::kFull);  // this client's share is used
  EXPECT_EQ(begin("unsafe 3", false, 2), Result::kStored);
  EXPECT_EQ(begin("unsafe 4", false, 2), Result::kFull);  // all room is used
  EXPECT_EQ(begin("safe", true), Result::kStored);        // needs no room while it is in flight
  end("safe");
  end("unsafe 2");
  end("unsafe 3");
  EXPECT_EQ(begin("unsafe 2", false), Result::kPresent);
  EXPECT_EQ(begin("unsafe 3", false), Result::kPresent);
  EXPECT_EQ(ids_.size(), 4U);
  now_ = now_ + Duration::s(5);
  EXPECT_EQ(begin("unsafe 4", false), Result::kStored);
  EXPECT_EQ(ids_.size(), 2U);
  EXPECT_EQ(begin("in flight", true), Result::kPresent);  // however long it takes
}

TEST_F(RecentRequestIdsTest, ForgetsIdsOfRequestsThatCannotHaveRun) {
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(begin("a", false), Result::kStored) << i;
    end("a", false);
  }
  EXPECT_EQ(ids_.size(), 0U);
}

}  // namespace
}  // namespace ashbeam
