// Tests of the connection pools of endpoints: reuse of connections, the settle time before a reuse, and
// attempts that wait for a connection.
#include "router_fixture.hpp"

namespace ashbeam {
namespace {

class EndpointPoolsTest : public RouterTest {
 protected:
  // Sends `count` requests at the same time, each on a client connection of its own, and answers each with
  // kOkAnswer followed by `trailing_bytes`. Returns how many connections to the endpoint were opened for
  // them.
  int count_new_connections(int count, const std::string& trailing_bytes = "") {
    std::vector<Stream> clients;
    for (int i = 0; i < count; ++i) {
      clients.push_back(connect_client());
      clients.back().send(get());
    }
    int opened = 0;
    for (int answered = 0; answered < count;) {
      pollfd listener{endpoints_[0].fd, POLLIN, 0};
      if (::poll(&listener, 1, 5) == 1) {
        connections_.push_back(endpoints_[0].accept());
        ++opened;
      }
      for (Stream& connection : connections_) {
        if (connection.read_message(1).empty()) continue;
        connection.send(kOkAnswer + trailing_bytes);
        ++answered;
      }
    }
    for (Stream& client : clients) client.read_message();
    return opened;
  }
  std::vector<Stream> connections_;
};

TEST_F(EndpointPoolsTest, ReusesConnectionsUntilTheProcessIsReplaced) {
  start_router(endpoint_list(endpoint_entry(0), 41, true));
  Stream watch = discovery_.accept();
  EXPECT_TRUE(watch.read_message().starts_with("GET /registry/instances?follow=1&since=41 HTTP/1.1\r\n"));
  Stream client = connect_client();
  client.send(get());
  Stream attempt = take_attempt();
  for (int i = 0; i < 3; ++i) {
    ASSERT_FALSE(attempt.read_message().empty()) << i;
    attempt.send(kOkAnswer);
    ASSERT_EQ(status_of(client.read_message()), 200U);
    usleep(70000);  // longer than the settle time
    if (i < 2) client.send(get());
  }
  // The same uid with another version, so another process.
  const std::string change = endpoint_list(endpoint_entry(0, "up", 2), 42) + "\n";
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", change.size());
  watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + std::string(size) +
             change.substr(0, 9));
  usleep(20000);
  watch.send(change.substr(9) + "\r\n1\r\n\n\r\n");
  EXPECT_TRUE(attempt.is_closed_by_peer());
}

TEST_F(EndpointPoolsTest, RetriesUnsafeRequestIfTheConnectionWasNotEstablished) {
  const FullListener full;
  const std::string closed = [] { return FakeListener().address(); }();
  start_router(endpoint_list(endpoint_entry(0, "up", 1, closed) + "," +
                                 endpoint_entry(3, "up", 1, "localhost:1") + "," +
                                 endpoint_entry(1, "up", 1, full.address()) + "," + endpoint_entry(2),
                             41, true));
  for (int i = 0; i < 6; ++i) {
    Stream client = connect_client();
    client.send(post("pay"));
    Stream attempt = take_attempt(1500);
    ASSERT_FALSE(attempt.read_message().empty());
    attempt.send(kOkAnswer);
    EXPECT_EQ(status_of(client.read_message()), 200U);
  }
}

TEST_F(EndpointPoolsTest, DoesNotSendWaitingAttemptToADrainingEndpoint) {
  limits_.connect_timeout = Duration::s(5);
  settings_.drain_grace = Duration::s(20);
  const FullListener full;
  start_router(endpoint_list(endpoint_entry(0, "up", 1, full.address()), 41, true));
  Stream watch = discovery_.accept(), client = connect_client();
  watch.send("HTTP/1.1 200 OK\r\n\r\n");
  client.send(post("pay", 5000));
  usleep(50000);
  watch.send(endpoint_list(endpoint_entry(0, "draining", 1, full.address()) + "," + endpoint_entry(2), 42) +
             "\n");
  // The attempt was never sent, so even a request that must not run twice goes to another endpoint, long
  // before the connect timeout.
  Stream attempt = take_attempt(1000);
  EXPECT_FALSE(attempt.read_message().empty());
  attempt.send(kOkAnswer);
  EXPECT_EQ(status_of(client.read_message()), 200U);
}

// Guards against a second end of an attempt, which destroyed another attempt's connection: the endpoint
// drains and the client leaves in one round of events.
TEST(EndpointPools, CancelOfAnAttemptThatADrainHasEndedLeavesOtherAttemptsInFlight) {
  EventLoop loop;
  const Limits limits;
  const FullListener full;
  const FakeListener listener;
  const std::string full_address = full.address(), address = listener.address();
  EndpointPools pools(loop, limits, Duration::ms(250));
  pools.update(0, {full_address, false, true});
  pools.update(1, {address, false, true});
  const auto build_request = [](Instant) { return std::string("request"); };
  const Instant deadline = loop.now() + Duration::s(5);
  int drained_ends = 0, other_ends = 0;
  const auto drained = pools.send(0, build_request, deadline, [&](auto&&...) { ++drained_ends; });
  pools.send(1, build_request, deadline, [&](auto&&...) { ++other_ends; });
  pools.update(0, {full_address, false, false});
  pools.cancel(drained);
  Timer stop(loop, [&] { loop.stop(); });
  stop.schedule_after(Duration::ms(100));
  loop.run();
  EXPECT_EQ(drained_ends, 1);
  EXPECT_EQ(other_ends, 0);
  Stream attempt = listener.accept();
  EXPECT_TRUE(attempt.receive(500));
}

// Guards against an endpoint that is taken for unproven although it answers, because the connections that
// prove its answers rest while newer ones are used.
TEST_F(EndpointPoolsTest, UsesConnectionsOlderThanTheListFirstWhileThereIsNoWatch) {
  start_router("");
  Stream watch = discovery_.accept();
  watch.send(kWatchHead + endpoint_list(endpoint_entry(0), 41, true) + "\n");
  usleep(20000);
  EXPECT_EQ(count_new_connections(1), 1);
  watch.send("\n");
  usleep(20000);
  watch.reset();
  EXPECT_EQ(count_new_connections(3), 3);  // the older one rests after its answer
  for (int i = 0; i < 3; ++i) {
    usleep(70000);  // longer than the settle time
    Stream client = connect_client();
    client.send(get());
    EXPECT_FALSE(connections_[0].read_message(200).empty()) << i;
    connections_[0].send(kOkAnswer);
    client.read_message();
  }
}

TEST_F(EndpointPoolsTest, DoesNotReadSurplusBytesAsTheNextAnswer) {
  limits_.endpoint_settle_time = Duration::ms(100);
  start_router(endpoint_list(endpoint_entry(0), 41, true));
  Stream client = connect_client();
  client.send(get());
  Stream attempt = take_attempt();
  EXPECT_FALSE(attempt.read_message().empty());
  attempt.send(std::string("HTTP/1.1 103 X\r\n\r\nHTTP/1.1 102 X\r\n\r\n") + kOkAnswer);
  EXPECT_EQ(status_of(client.read_message()), 200U);
  client.send(get());
  // The second attempt uses a new connection, because more bytes may follow on the first one.
  Stream second_attempt = take_attempt();
  EXPECT_FALSE(second_attempt.read_message().empty());
  attempt.send(kOkAnswer);
  EXPECT_TRUE(attempt.is_closed_by_peer());
  second_attempt.send(kOkAnswer);
  EXPECT_EQ(status_of(client.read_message()), 200U);
}

TEST_F(EndpointPoolsTest, ShortensSettleTimeOfBusyEndpointUntilItSendsUnsolicitedBytes) {
  settings_.may_cancel = false;
  limits_.endpoint_settle_time = Duration::s(2);
  limits_.busy_endpoint_settle_time = Duration();
  limits_.max_settling_connections = 4;
  start_router(endpoint_list(endpoint_entry(0), 41, true));
  EXPECT_EQ(count_new_connections(2), 2);
  usleep(20000);
  // Two connections are idle, fewer than the limit of four: neither has settled.
  EXPECT_EQ(count_new_connections(3), 3);
  usleep(20000);
  // Five connections are idle, at least the limit: the short settle time applies, and some are used again.
  EXPECT_LT(count_new_connections(5), 5);
  EXPECT_GT(count_new_connections(1, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"), -1);
  usleep(20000);
  EXPECT_EQ(count_new_connections(2), 2);
}

}  // namespace
}  // namespace ashbeam
