// Tests of the graceful shutdown: requests that arrive before, during and after the signal are answered.
// docs/races.md lists all such races.
#include "router_fixture.hpp"

namespace ashbeam {
namespace {

class GracefulShutdownTest : public RouterTest {};

TEST_F(GracefulShutdownTest, AnswersRequestsThatStillArriveAndThenEnds) {
  limits_.shutdown_accept_period = Duration::ms(150);
  start_router(endpoint_list(endpoint_entry(0), 41, true));
  Stream idle = connect_client(), busy = connect_client();
  idle.send(kHealthCheck);
  EXPECT_EQ(status_of(idle.read_message()), 200U);
  busy.send(get());
  Stream attempt = take_attempt();
  EXPECT_FALSE(attempt.read_message().empty());
  Stream unused = connect_client();
  unused.send(kHealthCheck);
  EXPECT_EQ(status_of(unused.read_message()), 200U);
  begin_shutdown();
  idle.send(kHealthCheck);  // a connection that is kept alive still gets one answer
  const std::string last_answer = idle.read_message();
  EXPECT_EQ(status_of(last_answer), 503U);
  EXPECT_NE(last_answer.find("Connection: close"), std::string::npos);
  EXPECT_EQ(status_of(answer_to(kHealthCheck)), 503U);
  EXPECT_TRUE(idle.is_closed_by_peer());
  // These connections are opened after the signal, and are served all the same.
  Stream late = connect_client(), partial = connect_client();
  late.send(get());
  partial.send("GET /health/ready HTTP/1.1\r\n");
  usleep(250000);
  EXPECT_FALSE(shut_down_);
  attempt.send(kOkAnswer);
  const std::string answer = busy.read_message();
  EXPECT_EQ(status_of(answer), 200U);
  EXPECT_NE(answer.find("Connection: close"), std::string::npos);
  Stream second_attempt = take_attempt();
  second_attempt.send(kOkAnswer);
  EXPECT_EQ(status_of(late.read_message()), 200U);
  partial.send("\r\n");  // only part of the request was received before, and the router waits for the rest
  EXPECT_EQ(status_of(partial.read_message()), 503U);
  EXPECT_TRUE(unused.is_closed_by_peer());  // an idle connection is closed once the listener is closed
  for (Stream* client : {&idle, &busy, &late, &partial, &unused}) client->close();
  thread_.join();
  EXPECT_TRUE(shut_down_);
}

TEST_F(GracefulShutdownTest, AnswersRequestThatIsSentPartlyBeforeAndPartlyAfterTheSignal) {
  limits_.shutdown_accept_period = Duration::ms(60);
  start_router(all_endpoints());
  Stream first = connect_client(), kept_alive = connect_client();
  kept_alive.send(kHealthCheck);
  EXPECT_EQ(status_of(kept_alive.read_message()), 200U);
  const std::string request = get();
  first.send(request.substr(0, 30));
  kept_alive.send(request.substr(0, 30));
  usleep(20000);
  begin_shutdown();
  usleep(300000);  // the listener has been closed by now
  for (Stream* client : {&first, &kept_alive}) {
    client->send(request.substr(30));
    if (client == &first) {
      Stream attempt = take_attempt();
      ASSERT_FALSE(attempt.read_message().empty());
      attempt.send(kOkAnswer);
      const std::string answer = client->read_message();
      EXPECT_EQ(status_of(answer), 200U);
      EXPECT_NE(answer.find("Connection: close"), std::string::npos);
    } else {
      EXPECT_EQ(status_of(client->read_message()), 409U);  // rejected because of the same id, but answered
    }
    client->close();
  }
  thread_.join();
  EXPECT_TRUE(shut_down_);
}

TEST_F(GracefulShutdownTest, AnswersConnectionsThatAreNotAcceptedYetAtTheSignal) {
  limits_.shutdown_accept_period = Duration::ms(60);
  limits_.max_client_connections = 2;
  start_router(endpoint_list(endpoint_entry(0), 41, true));
  Stream first_client = connect_client(), second_client = connect_client();
  first_client.send(get(2000));
  second_client.send(get(2000));
  Stream attempt = take_attempt(), second_attempt = take_attempt();
  ASSERT_FALSE(attempt.read_message().empty() || second_attempt.read_message().empty());
  // These stay in the accept queue of the kernel, because the router's connection table is full.
  std::vector<Stream> not_accepted;
  for (int i = 0; i < 4; ++i) {
    not_accepted.push_back(connect_client());
    not_accepted.back().send(kHealthCheck);
  }
  usleep(50000);
  begin_shutdown();
  usleep(250000);
  EXPECT_FALSE(shut_down_);
  attempt.send(kOkAnswer);
  second_attempt.send(kOkAnswer);
  EXPECT_EQ(status_of(first_client.read_message()), 200U);
  EXPECT_EQ(status_of(second_client.read_message()), 200U);
  first_client.close();
  second_client.close();
  for (Stream& client : not_accepted) {
    EXPECT_EQ(status_of(client.read_message()), 503U);
    client.close();
  }
  thread_.join();
}

TEST_F(GracefulShutdownTest, EndsOnlyAfterTheLastAnswerHasBeenRead) {
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
  // If this were left unread when the process ends, the kernel would reset the connection and the answer
  // would be lost.
  client.send("what the client sends behind its request");
  usleep(200000);
  EXPECT_FALSE(shut_down_);
  EXPECT_EQ(status_of(client.read_message()), 200U);
  client.close();
  thread_.join();
  EXPECT_TRUE(shut_down_);
}

TEST_F(GracefulShutdownTest, AnswersOpenRequestsAtTheTimeoutBeforeItEnds) {
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

TEST_F(GracefulShutdownTest, AnswersRequestsAfterTheSignalBeforeTheProcessMayBeKilled) {
  limits_.shutdown_accept_period = Duration::ms(200);
  limits_.min_kill_delay = Duration::ms(700);
  start_router(endpoint_list(endpoint_entry(0), 41, true));
  begin_shutdown();
  const Instant signalled = loop_.now();
  Stream client = connect_client();
  client.send(get(60000));
  Stream attempt = take_attempt();  // this attempt is never answered
  ASSERT_FALSE(attempt.read_message().empty());
  EXPECT_NE(status_of(client.read_message(3000)), 0U);
  EXPECT_LT(loop_.now() - signalled, Duration::ms(700));
}

}  // namespace
}  // namespace ashbeam
