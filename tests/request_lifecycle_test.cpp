// Tests of a request from its acceptance to its answer: it is forwarded, retried if that is allowed, and
// answered once.
#include "router_fixture.hpp"

namespace ashbeam {
namespace {

class RequestLifecycleTest : public RouterTest {};

TEST_F(RequestLifecycleTest, ForwardsRequestAndAnswerUnchanged) {
  start_router(all_endpoints());
  Stream client = connect_client();
  for (const int round : {1, 2}) {  // the second one on pooled connections
    const std::string request =
        get(900, "X-Account: shop\r\nX-Odd: \t v \r\nConnection: keep-alive, x-own\r\nX-Own: 1\r\n",
            std::string("r").append(std::to_string(round)));
    for (std::size_t at = 0; at < request.size(); at += 40) {
      client.send(request.substr(at, 40));
      usleep(300);
    }
    Stream attempt = take_attempt();
    const std::string request_text = attempt.read_message();
    EXPECT_TRUE(request_text.starts_with("GET /look/1?q HTTP/1.1\r\nHost: o\r\nX-Correlation-Id: r" +
                                         std::to_string(round) + "\r\n"))
        << request_text;
    EXPECT_NE(request_text.find("X-Odd: \t v \r\n"), std::string::npos);
    EXPECT_EQ(request_text.find("X-Own"), std::string::npos);
    const auto time_left_ms = std::stoul(request_text.substr(request_text.find("X-Time-Left-Ms: ") + 16));
    EXPECT_TRUE(time_left_ms > 700 && time_left_ms <= 900) << time_left_ms;
    attempt.send(kOkAnswer);
    const std::string answer = client.read_message();
    EXPECT_EQ(status_of(answer), 200U) << round;
    EXPECT_TRUE(answer.ends_with("\r\n\r\nbody"));
    EXPECT_NE(answer.find("X-Kept: 1\r\n"), std::string::npos);
    attempt.send("x");  // unsolicited, so the connection is not used again
    EXPECT_TRUE(attempt.is_closed_by_peer());
  }
}

TEST_F(RequestLifecycleTest, ForwardsChunkedBodyUnchanged) {
  start_router(all_endpoints());
  Stream client = connect_client();
  client.send(
      "POST /book HTTP/1.1\r\nX-Correlation-Id: a\r\nIdempotency-Key: k\r\nX-Time-Left-Ms: 900\r\n"
      "Connection: transfer-encoding, x-correlation-id\r\nTransfer-Encoding: "
      "chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n");
  Stream attempt = take_attempt();
  // These two fields are forwarded although the Connection field names them.
  const std::string head = attempt.read_message();
  EXPECT_NE(head.find("Transfer-Encoding: chunked\r\n"), std::string::npos);
  EXPECT_NE(head.find("X-Correlation-Id: a\r\n"), std::string::npos);
  attempt.received.size() < 12 && attempt.receive(500);
  EXPECT_EQ(attempt.received, "2\r\nab\r\n0\r\n\r\n");
  attempt.send("HTTP/1.1 200 OK\r\n\r\nuntil the end");
  attempt.close();
  const std::string answer = client.read_message();
  EXPECT_TRUE(answer.ends_with("until the end"));
}

// Checks each result of a first attempt, with a request class that may run again and with one that must not.
TEST_F(RequestLifecycleTest, RetriesDependingOnAttemptResultAndRequestClass) {
  start_router(all_endpoints());
  struct Case {
    const char* name;
    std::string answer;  // of the first endpoint; "reset" resets the connection instead
    bool may_have_run;
  } const cases[] = {
      {"status 500", status_line("500"), true},
      {"503 and not run", status_line("503", "X-Unprocessed: 1\r\n"), false},
      {"504 and not run", status_line("504", "X-Unprocessed: 1\r\n"), false},
      {"503, may have run", status_line("503"), true},
      {"unexpected status 302", status_line("302"), true},
      {"connection reset", "reset", true},
      {"body cut short", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", true},
      {"not HTTP", "garbage\r\n\r\n", true},
      // These two guard against an answer that is served cut, because its length is too short.
      {"body longer than its length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nbody", true},
      {"chunked body with more behind it",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n\r\nody", true},
      {"body too long", "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", true},
  };
  for (const Case& test_case : cases) {
    for (const bool may_run_again : {true, false}) {
      Stream client = connect_client();
      client.send(may_run_again ? get() : post("pay"));
      Stream first = take_attempt();
      ASSERT_FALSE(first.read_message().empty()) << test_case.name;
      if (test_case.answer != "reset") first.send(test_case.answer);
      if (test_case.answer == "reset") first.reset();
      else first.close();
      Stream second = take_attempt(may_run_again || !test_case.may_have_run ? 1000 : 60);
      const bool retried = !second.read_message().empty();
      EXPECT_EQ(retried, may_run_again || !test_case.may_have_run) << test_case.name;
      if (retried) second.send(kOkAnswer);
      EXPECT_EQ(status_of(client.read_message()), retried ? 200U : 502U) << test_case.name << may_run_again;
    }
  }
}

TEST_F(RequestLifecycleTest, AnswersWithAnErrorIfTheEndpointDoesNotAnswerInTime) {
  start_router(endpoint_list(endpoint_entry(0), 41, true));
  Stream client = connect_client();
  client.send(post("pay", 200));
  Stream attempt = take_attempt();
  EXPECT_FALSE(attempt.read_message().empty());
  const Instant sent_at = loop_.now();
  EXPECT_EQ(status_of(client.read_message()), 502U);
  // The client timeout of 200 ms, and a margin for a busy machine.
  EXPECT_LT(loop_.now() - sent_at, Duration::ms(450));
  EXPECT_TRUE(attempt.is_closed_by_peer());  // an attempt is cancelled by closing its connection
}

TEST_F(RequestLifecycleTest, CancelsAttemptWhenTheClientDisconnects) {
  start_router(endpoint_list(endpoint_entry(0), 41, true));
  Stream client = connect_client();
  client.send(get());
  Stream attempt = take_attempt();
  EXPECT_FALSE(attempt.read_message().empty());
  client.close();
  EXPECT_TRUE(attempt.is_closed_by_peer());
}

// Guards against attempts for clients that have gone: the request and the close are in the socket together.
TEST_F(RequestLifecycleTest, BeginsNoAttemptForAClientThatHasClosedItsConnection) {
  start_router(all_endpoints());
  run_on_loop([this] { connect_client().send(get()); });
  EXPECT_EQ(take_attempt(200).fd, -1);
}

// Guards against retries for clients that have gone: the attempt and the client end in one round of events.
TEST_F(RequestLifecycleTest, DoesNotRetryForAClientThatClosedTogetherWithTheAttempt) {
  settings_.may_cancel = false;  // no retry before that because the attempt takes long
  start_router(all_endpoints());
  for (int i = 0; i < 10; ++i) {
    Stream client = connect_client();
    client.send(get());
    Stream attempt = take_attempt();
    ASSERT_FALSE(attempt.read_message().empty()) << i;
    run_on_loop([&] {
      attempt.reset();
      client.close();
    });
    EXPECT_EQ(take_attempt(50).fd, -1) << i;
  }
}

TEST_F(RequestLifecycleTest, SendsTheTimeLeftAtTheOpeningOfTheConnection) {
  limits_.connect_timeout = Duration::s(4);
  settings_.drain_grace = Duration::s(20);
  // Its connections open once there is room in its accept queue and the kernel retransmits the SYN.
  FullListener late;
  start_router(endpoint_list(endpoint_entry(0, "up", 1, late.address()), 41, true));
  Stream client = connect_client();
  client.send(get(3000));
  usleep(300000);
  const Instant sent_at = loop_.now() - Duration::ms(300);
  ::listen(late.fd, 64);
  late.filling.clear();  // the connections that filled the queue are closed
  std::string request_text;
  Stream attempt(-1);
  while (request_text.empty() && late.has_pending(3000)) {
    attempt = late.accept();
    request_text = attempt.read_message(1500);
  }
  ASSERT_FALSE(request_text.empty());
  const auto time_left = std::stod(request_text.substr(request_text.find("X-Time-Left-Ms: ") + 16));
  EXPECT_LT(time_left, 3000 - (loop_.now() - sent_at).ms() + 150);
  attempt.send(kOkAnswer);
  EXPECT_EQ(status_of(client.read_message()), 200U);
}

// A body without a length ends with the connection. It is complete only if the connection is closed
// regularly, so an answer that is reset must not be forwarded.
TEST_F(RequestLifecycleTest, DoesNotForwardAnswerWithoutLengthThatIsReset) {
  start_router(all_endpoints());
  for (const bool may_run_again : {true, false}) {
    Stream client = connect_client();
    client.send(may_run_again ? get() : post("pay"));
    Stream attempt = take_attempt();
    ASSERT_FALSE(attempt.read_message().empty());
    attempt.send("HTTP/1.1 200 OK\r\n\r\nhalf of");
    usleep(20000);
    attempt.reset();
    Stream second = take_attempt(may_run_again ? 1000 : 60);
    EXPECT_EQ(second.fd >= 0, may_run_again);
    if (may_run_again) {
      EXPECT_FALSE(second.read_message().empty());
      second.send("HTTP/1.1 200 OK\r\n\r\nwhole");
      usleep(20000);
      second.close();
    }
    const std::string answer = client.read_message();
    EXPECT_EQ(status_of(answer), may_run_again ? 200U : 502U);
    EXPECT_EQ(answer.ends_with("\r\n\r\nwhole"), may_run_again);
  }
}

// A retry that reaches its endpoint after the endpoint has forgotten the idempotency key would run a second
// time. So no retry is sent if the key is stored for less time than an attempt may wait for its connection.
TEST_F(RequestLifecycleTest, DoesNotRetryBeyondTheKeyRetention) {
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

// Once the new release version has answered for a sticky key, requests with that key go to no older version.
// Other keys still do.
TEST_F(RequestLifecycleTest, KeepsStickyKeyOnTheNewVersionThatAnsweredIt) {
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

// An attempt to an older version that still waits for its connection would be sent after the newer version
// has answered, and would move the sticky key back.
TEST_F(RequestLifecycleTest, CancelsUnsentAttemptWhenANewerVersionAnswersItsStickyKey) {
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
  // The listener accepts the connections that filled its queue, and then any that are still pending.
  int written = 0;
  for (Stream stream = slow.accept(1500); stream.fd >= 0; stream = slow.accept(1500))
    written += !stream.read_message(100).empty();
  EXPECT_EQ(written, 0);
  EXPECT_EQ(status_of(second.read_message()), 503U);
}

// When the hedged request is answered, the attempt that still waits for its connection is cancelled by
// RequestLifecycle and then by the routing policy. The second cancellation must have no effect.
TEST_F(RequestLifecycleTest, EndsAnUnsentAttemptOnceIfItIsCancelledTwice) {
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
  client.send(get(1500, "X-Session-Key: k\r\n"));  // the next request goes to the new version
  usleep(20000);
  EXPECT_FALSE(
      (attempt.received.empty() && attempt.read_message(300).empty() && !endpoints_[1].has_pending(300)));
}

}  // namespace
}  // namespace ashbeam
