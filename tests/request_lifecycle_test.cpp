// The life of a request: forwarded, attempted again where that is allowed, answered once.
#include "router_fixture.hpp"

namespace ashbeam {
namespace {

class RequestLifecycleTest : public RouterTest {};

TEST_F(RequestLifecycleTest, ARequestIsForwardedUnchangedAndItsAnswerComesBack) {
  start_router(all_endpoints());
  Stream client = connect_client();
  for (const int round : {1, 2}) {  // the second on pooled connections
    const std::string request =
        get(900, "X-Account: shop\r\nX-Odd: \t v \r\nConnection: keep-alive, x-own\r\nX-Own: 1\r\n",
            std::string("r").append(std::to_string(round)));
    for (std::size_t at = 0; at < request.size(); at += 40) {
      client.send(request.substr(at, 40));
      usleep(300);
    }
    Stream attempt = take_attempt();
    const std::string got = attempt.read_message();
    EXPECT_TRUE(got.starts_with("GET /look/1?q HTTP/1.1\r\nHost: o\r\nX-Correlation-Id: r" +
                                std::to_string(round) + "\r\n"))
        << got;
    EXPECT_NE(got.find("X-Odd: \t v \r\n"), std::string::npos);
    EXPECT_EQ(got.find("X-Own"), std::string::npos);
    const auto left = std::stoul(got.substr(got.find("X-Time-Left-Ms: ") + 16));
    EXPECT_TRUE(left > 700 && left <= 900) << left;
    attempt.send(kOkAnswer);
    const std::string answer = client.read_message();
    EXPECT_EQ(status_of(answer), 200U) << round;
    EXPECT_TRUE(answer.ends_with("\r\n\r\nbody"));
    EXPECT_NE(answer.find("X-Kept: 1\r\n"), std::string::npos);
    attempt.send("x");  // unsolicited: the connection is not used again
    EXPECT_TRUE(attempt.closed_by_peer());
  }
}

TEST_F(RequestLifecycleTest, AChunkedBodyIsForwardedAsItCame) {
  start_router(all_endpoints());
  Stream client = connect_client();
  client.send(
      "POST /book HTTP/1.1\r\nX-Correlation-Id: a\r\nIdempotency-Key: k\r\nX-Time-Left-Ms: 900\r\n"
      "Connection: transfer-encoding, x-correlation-id\r\nTransfer-Encoding: "
      "chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n");
  Stream attempt = take_attempt();
  const std::string head =
      attempt.read_message();  // without what the client calls its connection's own, but for these two
  EXPECT_NE(head.find("Transfer-Encoding: chunked\r\n"), std::string::npos);
  EXPECT_NE(head.find("X-Correlation-Id: a\r\n"), std::string::npos);
  attempt.received.size() < 12 && attempt.receive(500);
  EXPECT_EQ(attempt.received, "2\r\nab\r\n0\r\n\r\n");
  attempt.send("HTTP/1.1 200 OK\r\n\r\nuntil the end");
  attempt.close();
  const std::string answer = client.read_message();
  EXPECT_TRUE(answer.ends_with("until the end"));
}

// Each row of the outcome table, at a request class that may run again and at one that must not.
TEST_F(RequestLifecycleTest, AttemptResultsDecideWhetherARequestMayRunAgain) {
  start_router(all_endpoints());
  struct Row {
    const char* what;
    std::string answer;  // of the first endpoint; "reset" and "end" break the connection
    bool ran;
  } const rows[] = {
      {"an error", status_line("500"), true},
      {"rejected", status_line("503", "X-Unprocessed: 1\r\n"), false},
      {"over already", status_line("504", "X-Unprocessed: 1\r\n"), false},
      {"busy, perhaps run", status_line("503"), true},
      {"no such status", status_line("302"), true},
      {"broken", "reset", true},
      {"ended half way", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", true},
      {"not HTTP", "garbage\r\n\r\n", true},
      {"too long", "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", true},
  };
  for (const Row& row : rows) {
    for (const bool again : {true, false}) {
      Stream client = connect_client();
      client.send(again ? get() : post("pay"));
      Stream first = take_attempt();
      ASSERT_FALSE(first.read_message().empty()) << row.what;
      if (row.answer != "reset") first.send(row.answer);
      if (row.answer == "reset") first.reset();
      else first.close();
      Stream second = take_attempt(again || !row.ran ? 1000 : 60);
      const bool came = !second.read_message().empty();
      EXPECT_EQ(came, again || !row.ran) << row.what;
      if (came) second.send(kOkAnswer);
      EXPECT_EQ(status_of(client.read_message()), came ? 200U : 502U) << row.what << again;
    }
  }
}

TEST_F(RequestLifecycleTest, SilenceIsAnErrorBeforeTheClientsTimeIsUp) {
  start_router(endpoint_list(endpoint_entry(0), 41, true));
  Stream client = connect_client();
  client.send(post("pay", 200));
  Stream attempt = take_attempt();
  EXPECT_FALSE(attempt.read_message().empty());
  const Instant asked = loop_.now();
  EXPECT_EQ(status_of(client.read_message()), 502U);
  EXPECT_LT(loop_.now() - asked, Duration::ms(450));  // 200, and what a busy machine may add
  EXPECT_TRUE(attempt.closed_by_peer());              // cancelled by closing it
}

TEST_F(RequestLifecycleTest, ADisconnectedClientHasItsAttemptCancelled) {
  start_router(endpoint_list(endpoint_entry(0), 41, true));
  Stream client = connect_client();
  client.send(get());
  Stream attempt = take_attempt();
  EXPECT_FALSE(attempt.read_message().empty());
  client.close();
  EXPECT_TRUE(attempt.closed_by_peer());
}

TEST_F(RequestLifecycleTest, AnAttemptCarriesTheTimeLeftWhenItsConnectionOpens) {
  limits_.connect_timeout = Duration::s(4);
  settings_.drain_grace = Duration::s(20);
  FullListener late;  // its connections come up once there is room, when the machine asks a second time
  start_router(endpoint_list(endpoint_entry(0, "up", 1, late.address()), 41, true));
  Stream client = connect_client();
  client.send(get(3000));
  usleep(300000);
  const Instant asked = loop_.now() - Duration::ms(300);
  ::listen(late.fd, 64);
  late.filling.clear();  // those accepted before it end at once
  std::string got;
  Stream attempt(-1);
  while (got.empty() && late.has_pending(3000)) {
    attempt = late.accept();
    got = attempt.read_message(1500);
  }
  ASSERT_FALSE(got.empty());
  const auto time_left = std::stod(got.substr(got.find("X-Time-Left-Ms: ") + 16));
  EXPECT_LT(time_left, 3000 - (loop_.now() - asked).ms() + 150);
  attempt.send(kOkAnswer);
  EXPECT_EQ(status_of(client.read_message()), 200U);
}

// A body of no length goes on until the connection ends, and is complete only where it ends in order.
TEST_F(RequestLifecycleTest, AnAnswerWithoutLengthThatIsResetIsNotServed) {
  start_router(all_endpoints());
  for (const bool again : {true, false}) {
    Stream client = connect_client();
    client.send(again ? get() : post("pay"));
    Stream attempt = take_attempt();
    ASSERT_FALSE(attempt.read_message().empty());
    attempt.send("HTTP/1.1 200 OK\r\n\r\nhalf of");
    usleep(20000);
    attempt.reset();
    Stream second = take_attempt(again ? 1000 : 60);
    EXPECT_EQ(second.fd >= 0, again);
    if (again) {
      EXPECT_FALSE(second.read_message().empty());
      second.send("HTTP/1.1 200 OK\r\n\r\nwhole");
      usleep(20000);
      second.close();
    }
    const std::string answer = client.read_message();
    EXPECT_EQ(status_of(answer), again ? 200U : 502U);
    EXPECT_EQ(answer.ends_with("\r\n\r\nwhole"), again);
  }
}

// A key that endpoints remember for less long than an attempt may wait for its connection is never sent
// again.
TEST_F(RequestLifecycleTest, ARetryReachesItsEndpointWithinTheKeyRetentionOrIsNotSent) {
  for (RequestClass& request_class : settings_.request_classes) {
    request_class.scope = IdempotencyScope::kAll;
    request_class.key_retention = Duration::ms(240);
  }
  start_router(all_endpoints());
  Stream client = connect_client();
  client.send(post("book", 1500));
  Stream attempt = take_attempt();
  ASSERT_FALSE(attempt.read_message().empty());
  attempt.reset();
  EXPECT_EQ(take_attempt(100).fd, -1);
  EXPECT_NE(status_of(client.read_message()), 0U);
}

// What the new version has answered for a key goes to no older one; other keys do.
TEST_F(RequestLifecycleTest, AStickyKeyThatTheNewVersionAnsweredStaysWithIt) {
  settings_.sticky_keys = true;
  start_router(endpoint_list(endpoint_entry(1, "up", 2), 41, true));
  Stream watch = discovery_.accept(), client = connect_client();
  client.send(get(1500, "X-Session-Key: device-7\r\n"));
  Stream attempt = endpoints_[1].accept();
  ASSERT_FALSE(attempt.read_message().empty());
  attempt.send(kOkAnswer);
  ASSERT_EQ(status_of(client.read_message()), 200U);
  watch.send("HTTP/1.1 200 OK\r\n\r\n" +
             endpoint_list(endpoint_entry(0, "up", 1) + "," + endpoint_entry(1, "draining", 2), 42) + "\n");
  usleep(50000);
  client.send(get(300, "X-Session-Key: device-7\r\n"));
  EXPECT_FALSE(endpoints_[0].has_pending(400));
  EXPECT_EQ(status_of(client.read_message()), 503U);
  client.send(get(1500, "X-Session-Key: device-8\r\n"));
  EXPECT_TRUE(endpoints_[0].has_pending(1500));
}

// An attempt counts when its last byte has come: one that still waits for its connection would take the key
// back.
TEST_F(RequestLifecycleTest, AnUnsentAttemptIsCancelledWhenANewerVersionAnswersForItsKey) {
  settings_.sticky_keys = true;
  settings_.drain_grace = Duration::s(6);
  limits_.connect_timeout = Duration::s(3);
  FullListener slow;
  start_router(endpoint_list(endpoint_entry(1, "up", 2), 41, true));
  Stream watch = discovery_.accept(), first = connect_client(), second = connect_client();
  first.send(get(3500, "X-Session-Key: k\r\n"));
  Stream attempt = endpoints_[1].accept();
  ASSERT_FALSE(attempt.read_message().empty());
  watch.send(
      "HTTP/1.1 200 OK\r\n\r\n" +
      endpoint_list(endpoint_entry(0, "up", 1, slow.address()) + "," + endpoint_entry(1, "draining", 2), 42) +
      "\n");
  usleep(50000);
  second.send(get(3500, "X-Session-Key: k\r\n"));
  usleep(50000);
  attempt.send(kOkAnswer);
  ASSERT_EQ(status_of(first.read_message()), 200U);
  int written = 0;  // the listener accepts again: those that filled it first, then whoever still tries
  for (Stream stream = slow.accept(1500); stream.fd >= 0; stream = slow.accept(1500))
    written += !stream.read_message(100).empty();
  EXPECT_EQ(written, 0);
  EXPECT_EQ(status_of(second.read_message()), 503U);
}

// The hedged request answers: the attempt that still waits is cancelled here, and then by the policy as well.
TEST_F(RequestLifecycleTest, AnUnsentAttemptCancelledTwiceEndsOnce) {
  settings_.sticky_keys = settings_.may_hedge = true;
  settings_.drain_grace = Duration::s(6);
  limits_.connect_timeout = Duration::s(3);
  const FullListener slow;
  start_router(endpoint_list(endpoint_entry(0, "up", 1, slow.address()), 41, true));
  Stream watch = discovery_.accept(), client = connect_client();
  client.send(get(1800, "X-Session-Key: k\r\n"));
  usleep(50000);
  watch.send("HTTP/1.1 200 OK\r\n\r\n" + endpoint_list(endpoint_entry(1, "up", 2), 42) + "\n");
  Stream attempt = endpoints_[1].accept();
  ASSERT_FALSE(attempt.read_message().empty());
  attempt.send(kOkAnswer);
  ASSERT_EQ(status_of(client.read_message()), 200U);
  client.send(get(1500, "X-Session-Key: k\r\n"));  // the next one goes to the new version
  usleep(20000);
  EXPECT_FALSE(
      (attempt.received.empty() && attempt.read_message(300).empty() && !endpoints_[1].has_pending(300)));
}

}  // namespace
}  // namespace ashbeam
