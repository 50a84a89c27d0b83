// Graceful shutdown: what comes before, with and after the signal is answered. docs/races.md has the whole
// table of such crossings.
#include "router_fixture.hpp"

namespace ashbeam {
namespace {

class GracefulShutdownTest : public RouterTest {};

TEST_F(GracefulShutdownTest, ItAnswersWhatStillComesAndEnds) {
  limits_.shutdown_accept_period = Duration::ms(150);
  start_router(endpoint_list(endpoint_entry(0), 41, true));
  Stream idle = connect_client(), busy = connect_client();
  idle.send(kHealthCheck);
  EXPECT_EQ(status_of(idle.read_message()), 200U);
  busy.send(get());
  Stream attempt = take_attempt();
  EXPECT_FALSE(attempt.read_message().empty());
  Stream still = connect_client();
  still.send(kHealthCheck);
  EXPECT_EQ(status_of(still.read_message()), 200U);
  begin_shutdown();
  idle.send(kHealthCheck);  // a kept connection is still good for one answer
  const std::string last = idle.read_message();
  EXPECT_EQ(status_of(last), 503U);
  EXPECT_NE(last.find("Connection: close"), std::string::npos);
  EXPECT_EQ(status_of(answer_to(kHealthCheck)), 503U);
  EXPECT_TRUE(idle.closed_by_peer());
  // These come after the signal and are served all the same.
  Stream late = connect_client(), odd = connect_client();
  late.send(get());
  odd.send("GET /health/ready HTTP/1.1\r\n");
  usleep(250000);
  EXPECT_FALSE(shut_down_);
  attempt.send(kOkAnswer);
  const std::string answer = busy.read_message();
  EXPECT_EQ(status_of(answer), 200U);
  EXPECT_NE(answer.find("Connection: close"), std::string::npos);
  Stream second_attempt = take_attempt();
  second_attempt.send(kOkAnswer);
  EXPECT_EQ(status_of(late.read_message()), 200U);
  odd.send("\r\n");  // half read until now: it is waited for
  EXPECT_EQ(status_of(odd.read_message()), 503U);
  EXPECT_TRUE(still.closed_by_peer());  // one that stays idle is ended once the listener is closed
  for (Stream* client : {&idle, &busy, &late, &odd, &still}) client->close();
  thread_.join();
  EXPECT_TRUE(shut_down_);
}

TEST_F(GracefulShutdownTest, ARequestInPiecesAcrossTheSignalIsAnswered) {
  limits_.shutdown_accept_period = Duration::ms(60);
  start_router(all_endpoints());
  Stream first = connect_client(), kept = connect_client();
  kept.send(kHealthCheck);
  EXPECT_EQ(status_of(kept.read_message()), 200U);
  const std::string request = get();
  first.send(request.substr(0, 30));
  kept.send(request.substr(0, 30));
  usleep(20000);
  begin_shutdown();
  usleep(300000);  // the listener has closed meanwhile
  for (Stream* client : {&first, &kept}) {
    client->send(request.substr(30));
    if (client == &first) {
      Stream attempt = take_attempt();
      ASSERT_FALSE(attempt.read_message().empty());
      attempt.send(kOkAnswer);
      const std::string answer = client->read_message();
      EXPECT_EQ(status_of(answer), 200U);
      EXPECT_NE(answer.find("Connection: close"), std::string::npos);
    } else {
      EXPECT_EQ(status_of(client->read_message()), 409U);  // the same id, and an answer all the same
    }
    client->close();
  }
  thread_.join();
  EXPECT_TRUE(shut_down_);
}

TEST_F(GracefulShutdownTest, ConnectionsNotYetAcceptedAtTheSignalAreAnswered) {
  limits_.shutdown_accept_period = Duration::ms(60);
  limits_.max_client_connections = 2;
  start_router(endpoint_list(endpoint_entry(0), 41, true));
  Stream a = connect_client(), b = connect_client();
  a.send(get(2000));
  b.send(get(2000));
  Stream attempt = take_attempt(), second_attempt = take_attempt();
  ASSERT_FALSE(attempt.read_message().empty() || second_attempt.read_message().empty());
  std::vector<Stream> outside;  // the kernel has accepted them, the router can't yet
  for (int i = 0; i < 4; ++i) {
    outside.push_back(connect_client());
    outside.back().send(kHealthCheck);
  }
  usleep(50000);
  begin_shutdown();
  usleep(250000);
  EXPECT_FALSE(shut_down_);
  attempt.send(kOkAnswer);
  second_attempt.send(kOkAnswer);
  EXPECT_EQ(status_of(a.read_message()), 200U);
  EXPECT_EQ(status_of(b.read_message()), 200U);
  a.close();
  b.close();
  for (Stream& client : outside) {
    EXPECT_EQ(status_of(client.read_message()), 503U);
    client.close();
  }
  thread_.join();
}

TEST_F(GracefulShutdownTest, ItEndsOnceItsLastAnswerHasBeenReadAndNotBefore) {
  limits_.shutdown_accept_period = Duration::ms(60);
  start_router(endpoint_list(endpoint_entry(0), 41, true));
  Stream client = connect_client();
  client.send(get(2000));
  Stream attempt = take_attempt();
  ASSERT_FALSE(attempt.read_message().empty());
  begin_shutdown();
  usleep(200000);
  attempt.send(kOkAnswer);
  usleep(100000);
  // Were this unread at the end, the answer would be reset.
  client.send("what the client sends behind its request");
  usleep(200000);
  EXPECT_FALSE(shut_down_);
  EXPECT_EQ(status_of(client.read_message()), 200U);
  client.close();
  thread_.join();
  EXPECT_TRUE(shut_down_);
}

TEST_F(GracefulShutdownTest, RequestsStillOpenAtTheTimeoutAreAnsweredBeforeItEnds) {
  limits_.shutdown_accept_period = Duration::ms(60);
  limits_.shutdown_timeout = Duration::ms(300);
  start_router(endpoint_list(endpoint_entry(0), 41, true));
  Stream client = connect_client();
  client.send(get(60000));
  Stream attempt = take_attempt();
  ASSERT_FALSE(attempt.read_message().empty());
  begin_shutdown();
  EXPECT_EQ(status_of(client.read_message()), 504U);
  client.close();
  thread_.join();
}

TEST_F(GracefulShutdownTest, RequestsAfterTheSignalAreAnsweredBeforeTheProcessMayBeKilled) {
  limits_.shutdown_accept_period = Duration::ms(200);
  limits_.min_kill_delay = Duration::ms(700);
  start_router(endpoint_list(endpoint_entry(0), 41, true));
  begin_shutdown();
  const Instant signalled = loop_.now();
  Stream client = connect_client();
  client.send(get(60000));
  Stream attempt = take_attempt();  // it never answers
  ASSERT_FALSE(attempt.read_message().empty());
  EXPECT_NE(status_of(client.read_message(3000)), 0U);
  EXPECT_LT(loop_.now() - signalled, Duration::ms(700));
}

}  // namespace
}  // namespace ashbeam
