// Tests of client connections: limits of what a client may send and how long it may take, limits of the
// number of connections, and requests that cross the close of a connection.
#include "router_fixture.hpp"

namespace ashbeam {
namespace {

class ClientConnectionsTest : public RouterTest {};

TEST_F(ClientConnectionsTest, ClosesConnectionsWithoutCompleteRequestSoonerThanIdleOnes) {
  limits_.first_request_timeout = limits_.request_read_timeout = Duration::ms(200);
  limits_.client_idle_timeout = Duration::ms(500);
  start_router(all_endpoints());
  Stream silent = connect_client(), partial_first = connect_client(), empty_lines = connect_client(),
         kept_alive = connect_client(), partial_second = connect_client(), extra_line = connect_client();
  partial_first.send("GET /look HTT");
  for (Stream* client : {&kept_alive, &partial_second}) {
    client->send(kHealthCheck);
    EXPECT_EQ(status_of(client->read_message()), 200U);
  }
  partial_second.send("GET /lo");
  extra_line.send("GET /health/ready HTTP/1.1\r\n\r\n\r\n");  // an empty line ahead of the next request
  EXPECT_EQ(status_of(extra_line.read_message()), 200U);
  for (int i = 0; i < 5; ++i) {
    empty_lines.send("\r\n");
    usleep(60000);
  }
  EXPECT_TRUE(silent.is_closed_by_peer(100) && empty_lines.is_closed_by_peer(100));
  EXPECT_EQ(status_of(partial_first.read_message(100)), 408U);
  EXPECT_EQ(status_of(partial_second.read_message(100)), 408U);
  EXPECT_FALSE(kept_alive.is_closed_by_peer(50));
  EXPECT_TRUE(kept_alive.is_closed_by_peer(600));
  EXPECT_TRUE(extra_line.is_closed_by_peer(600));
}

TEST_F(ClientConnectionsTest, DiscardsTooLargeBodyAndStillDeliversTheError) {
  start_router(all_endpoints());
  Stream client = connect_client();
  client.send(
      "POST /pay HTTP/1.1\r\nX-Correlation-Id: a\r\nX-Time-Left-Ms: 500\r\nContent-Length: 60000000\r\n\r\n");
  const std::string chunk(1 << 20, 'x');
  for (int i = 0; i < 57; ++i)
    ASSERT_EQ(::send(client.fd, chunk.data(), chunk.size(), MSG_NOSIGNAL), 1 << 20) << i;
  EXPECT_EQ(status_of(client.read_message()), 413U);
}

TEST_F(ClientConnectionsTest, DelaysTheNextRequestAfterAClientError) {
  start_router(all_endpoints());
  Stream client = connect_client();
  std::string requests;
  for (int i = 0; i < 50; ++i) requests += "GET /nowhere HTTP/1.1\r\n\r\n";
  client.send(requests);
  int answers = 0;
  for (const Instant until = loop_.now() + Duration::ms(450); loop_.now() < until;)
    answers += status_of(client.read_message(50)) == 404;
  EXPECT_TRUE(answers >= 3 && answers <= 5) << answers;
}

TEST_F(ClientConnectionsTest, EvictsIdleConnectionsAtTheLimitAndLimitsEndpointConnections) {
  limits_.max_client_connections = 4;
  limits_.max_endpoint_connections = 2;
  start_router(all_endpoints());
  std::vector<Stream> busy;
  for (int i = 0; i < 3; ++i) {
    busy.push_back(connect_client());
    busy.back().send(get(400));
  }
  Stream first_attempt = take_attempt(), second_attempt = take_attempt();
  // The third request gets no connection to an endpoint, and is answered soon.
  EXPECT_EQ(take_attempt(100).fd, -1);
  for (int i = 0; i < 10; ++i) EXPECT_EQ(status_of(answer_to(kHealthCheck)), 200U);
  unsigned answered = 0;
  for (Stream& client : busy) answered += status_of(client.read_message()) != 0;
  EXPECT_EQ(answered, 3U);
  busy.push_back(connect_client());  // a connection with a partial request is closed, too, after its timeout
  busy.back().send("GET /look HTTP/1.1\r\n");
  usleep(1300000);  // connections between requests are closed to make room for new ones
  for (int i = 0; i < 6; ++i) {
    busy.push_back(connect_client());
    busy.back().send(kHealthCheck);
    EXPECT_EQ(status_of(busy.back().read_message()), 200U) << i;
  }
}

TEST_F(ClientConnectionsTest, AnswersNewClientsDuringAFloodOfIncompleteRequests) {
  limits_.max_client_connections = 8;
  start_router(all_endpoints());
  std::vector<Stream> flood;
  for (int i = 0; i < 60; ++i) {
    flood.push_back(connect_client());
    if (i % 2 != 0) flood.back().send("GET /look HTT");
  }
  const Instant sent_at = loop_.now();
  EXPECT_EQ(status_of(answer_to(kHealthCheck)), 200U);  // accepted after all of them
  EXPECT_LT(loop_.now() - sent_at, Duration::s(1));
}

// Guards against clients that repeat a refused request at once, and so held their connections for ever.
TEST_F(ClientConnectionsTest, MakesRoomWhileClientsRepeatBadRequestsAtOnce) {
  limits_.max_client_connections = 8;
  limits_.bad_request_delay = Duration::s(30);
  start_router(all_endpoints());
  const std::string bad_request = "GET /nowhere HTTP/1.1\r\n\r\n";
  std::vector<Stream> flood;
  for (int i = 0; i < 12; ++i) {
    flood.push_back(connect_client());
    flood.back().send(bad_request + bad_request);
  }
  for (int i = 0; i < 3; ++i) EXPECT_EQ(status_of(answer_to(kHealthCheck)), 200U) << i;
  // The first ones were closed for the others, after the answer to their next request.
  for (int i = 0; i < 2; ++i) EXPECT_EQ(status_of(flood.front().read_message()), 404U);
  EXPECT_TRUE(flood.front().is_closed_by_peer());
}

// A connection that is closed between two requests may lose a request that crosses the close. So beyond the
// limit of idle connections each answer announces the close of its connection.
TEST_F(ClientConnectionsTest, AnnouncesCloseInAnswersBeyondTheIdleLimit) {
  limits_.max_idle_client_connections = 4;
  start_router(all_endpoints());
  std::vector<Stream> clients;
  for (int i = 0; i < 20; ++i) {
    clients.push_back(connect_client());
    clients.back().send(kHealthCheck);
    const std::string answer = clients.back().read_message();
    EXPECT_EQ(status_of(answer), 200U);
    const bool kept_alive = answer.find("Connection: close") == std::string::npos;
    EXPECT_EQ(kept_alive, i < 4) << i;
    EXPECT_EQ(!clients.back().is_closed_by_peer(kept_alive ? 20 : 500), kept_alive) << i;
  }
  for (std::size_t i = 0; i < 4; ++i) {
    clients[i].send(kHealthCheck);
    EXPECT_EQ(status_of(clients[i].read_message()), 200U) << i;
  }
}

TEST_F(ClientConnectionsTest, PausesAcceptingWithoutFileDescriptorsAndDoesNotSpin) {
#ifdef __SANITIZE_ADDRESS__
  GTEST_SKIP() << "AddressSanitizer needs file descriptors of its own, and reports an error without them";
#endif
  start_router(all_endpoints());
  Stream client(::socket(AF_INET, SOCK_STREAM, 0));
  rlimit original_limit{}, lowered_limit{};
  ::getrlimit(RLIMIT_NOFILE, &original_limit);
  // No new descriptor can be opened; open ones keep working.
  lowered_limit = {static_cast<rlim_t>(client.fd), original_limit.rlim_max};
  ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &lowered_limit), 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(service_->port());
  ::connect(client.fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
  client.send(kHealthCheck);
  const auto cpu_before = std::clock();
  usleep(300000);
  EXPECT_LT(std::clock() - cpu_before, CLOCKS_PER_SEC / 5);
  ::setrlimit(RLIMIT_NOFILE, &original_limit);
  EXPECT_EQ(status_of(client.read_message()), 200U);
}

TEST_F(ClientConnectionsTest, NoticesCloseOfClientBehindUnreadBytes) {
  start_router(endpoint_list(endpoint_entry(0), 41, true));
  Stream client = connect_client();
  client.send(get(3000));
  Stream attempt = take_attempt();
  ASSERT_FALSE(attempt.read_message().empty());
  client.send(std::string(200000, 'x'));
  usleep(20000);
  client.close();
  EXPECT_TRUE(attempt.is_closed_by_peer(300));  // cancelled long before its deadline
}

// Guards against requests whose clients do not wait for answers: what follows would hide the client's close.
TEST_F(ClientConnectionsTest, FailsARequestInFlightIfItsClientSendsMore) {
  start_router(endpoint_list(endpoint_entry(0), 41, true));
  Stream client = connect_client();
  client.send(get(3000));
  Stream attempt = take_attempt();
  ASSERT_FALSE(attempt.read_message().empty());
  client.send("\r\n");  // an empty line is no request
  EXPECT_FALSE(attempt.is_closed_by_peer(50));
  for (int i = 0; i < 700; ++i) client.send(kHealthCheck);
  const std::string answer = client.read_message();
  EXPECT_EQ(status_of(answer), 400U);
  EXPECT_NE(answer.find("Connection: close"), std::string::npos);
  EXPECT_TRUE(client.read_message(1500).empty());
  EXPECT_TRUE(attempt.is_closed_by_peer());
}

// Guards against connections that empty lines keep open for ever.
TEST_F(ClientConnectionsTest, ClosesConnectionThatSendsOnlyEmptyLines) {
  start_router(all_endpoints());
  Stream client = connect_client();
  for (int i = 0; i < 20; ++i) client.send("\r\n");
  EXPECT_EQ(status_of(client.read_message()), 400U);
  EXPECT_TRUE(client.is_closed_by_peer());
}

// Closing an idle connection while a request is on its way would reset the connection. So its input is read
// and discarded, and the client sees a regular close.
TEST_F(ClientConnectionsTest, DoesNotResetAConnectionOnWhichARequestCrossesAnIdleClose) {
  limits_.client_idle_timeout = Duration::ms(100);
  start_router(all_endpoints());
  Stream client = connect_client();
  client.send(kHealthCheck);
  EXPECT_EQ(status_of(client.read_message()), 200U);
  ASSERT_TRUE(client.is_closed_by_peer(1000));
  client.send(kHealthCheck);  // as if it had been sent before the close arrived
  usleep(20000);
  char byte;
  EXPECT_EQ(::recv(client.fd, &byte, 1, MSG_DONTWAIT), 0);
  client.close();
  run_on_loop([] {});
  begin_shutdown();
  thread_.join();
  EXPECT_TRUE(has_logged(
      "shutdown: client connections closed while idle: 1, of these with a request received after the "
      "close: 1"));
}

}  // namespace
}  // namespace ashbeam
