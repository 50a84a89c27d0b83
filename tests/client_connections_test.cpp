// Client connections: what a client may send and how long, how many connections there may be, and what
// crosses a close.
#include "router_fixture.hpp"

namespace ashbeam {
namespace {

class ClientConnectionsTest : public RouterTest {};

TEST_F(ClientConnectionsTest, SilentAndPartialRequestsAreClosedSoonAndIdleConnectionsLater) {
  limits_.first_request_timeout = limits_.request_read_timeout = Duration::ms(200);
  limits_.client_idle_timeout = Duration::ms(500);
  start_router(all_endpoints());
  Stream silent = connect_client(), half = connect_client(), blank = connect_client(),
         kept = connect_client(), later = connect_client(), odd = connect_client();
  half.send("GET /look HTT");
  for (Stream* client : {&kept, &later}) {
    client->send(kHealthCheck);
    EXPECT_EQ(status_of(client->read_message()), 200U);
  }
  later.send("GET /lo");
  odd.send("GET /health/ready HTTP/1.1\r\n\r\n\r\n");  // an early blank line
  EXPECT_EQ(status_of(odd.read_message()), 200U);
  for (int i = 0; i < 5; ++i) {
    blank.send("\r\n");
    usleep(60000);
  }
  EXPECT_TRUE(silent.closed_by_peer(100) && blank.closed_by_peer(100));
  EXPECT_EQ(status_of(half.read_message(100)), 408U);
  EXPECT_EQ(status_of(later.read_message(100)), 408U);
  EXPECT_FALSE(kept.closed_by_peer(50));
  EXPECT_TRUE(kept.closed_by_peer(600));
  EXPECT_TRUE(odd.closed_by_peer(600));
}

TEST_F(ClientConnectionsTest, AHugeBodyIsReadAndDroppedAndTheErrorArrives) {
  start_router(all_endpoints());
  Stream client = connect_client();
  client.send(
      "POST /pay HTTP/1.1\r\nX-Correlation-Id: a\r\nX-Time-Left-Ms: 500\r\nContent-Length: 60000000\r\n\r\n");
  const std::string some(1 << 20, 'x');
  for (int i = 0; i < 57; ++i)
    ASSERT_EQ(::send(client.fd, some.data(), some.size(), MSG_NOSIGNAL), 1 << 20) << i;
  EXPECT_EQ(status_of(client.read_message()), 413U);
}

TEST_F(ClientConnectionsTest, ABadRequestDelaysTheNextOneOfItsConnection) {
  start_router(all_endpoints());
  Stream client = connect_client();
  std::string many;
  for (int i = 0; i < 50; ++i) many += "GET /nowhere HTTP/1.1\r\n\r\n";
  client.send(many);
  int answers = 0;
  for (const Instant until = loop_.now() + Duration::ms(450); loop_.now() < until;)
    answers += status_of(client.read_message(50)) == 404;
  EXPECT_TRUE(answers >= 3 && answers <= 5) << answers;
}

TEST_F(ClientConnectionsTest, AtTheLimitIdleConnectionsMakeRoomAndEndpointsAreNotOverrun) {
  limits_.max_client_connections = 4;
  limits_.max_endpoint_connections = 2;
  start_router(all_endpoints());
  std::vector<Stream> busy;
  for (int i = 0; i < 3; ++i) {
    busy.push_back(connect_client());
    busy.back().send(get(400));
  }
  Stream a = take_attempt(), b = take_attempt();
  EXPECT_EQ(take_attempt(100).fd, -1);  // the third gets no connection, and its answer soon
  for (int i = 0; i < 10; ++i) EXPECT_EQ(status_of(answer_to(kHealthCheck)), 200U);
  unsigned answered = 0;
  for (Stream& client : busy) answered += status_of(client.read_message()) != 0;
  EXPECT_EQ(answered, 3U);
  busy.push_back(connect_client());  // half a request gives way, too, in time
  busy.back().send("GET /look HTTP/1.1\r\n");
  usleep(1300000);  // connections between requests give way to new ones
  for (int i = 0; i < 6; ++i) {
    busy.push_back(connect_client());
    busy.back().send(kHealthCheck);
    EXPECT_EQ(status_of(busy.back().read_message()), 200U) << i;
  }
}

TEST_F(ClientConnectionsTest, AFloodOfSilentAndPartialRequestsKeepsNobodyOut) {
  limits_.max_client_connections = 8;
  start_router(all_endpoints());
  std::vector<Stream> flood;
  for (int i = 0; i < 60; ++i) {
    flood.push_back(connect_client());
    if (i % 2 != 0) flood.back().send("GET /look HTT");
  }
  const Instant asked = loop_.now();
  EXPECT_EQ(status_of(answer_to(kHealthCheck)), 200U);  // behind all of them
  EXPECT_LT(loop_.now() - asked, Duration::s(1));
}

// None is closed between its requests, which the next could cross: past the limit each answer is the last
// one.
TEST_F(ClientConnectionsTest, OnlySoManyIdleConnectionsAreKept) {
  limits_.max_idle_client_connections = 4;
  start_router(all_endpoints());
  std::vector<Stream> stay;
  for (int i = 0; i < 20; ++i) {
    stay.push_back(connect_client());
    stay.back().send(kHealthCheck);
    const std::string answer = stay.back().read_message();
    EXPECT_EQ(status_of(answer), 200U);
    const bool kept = answer.find("Connection: close") == std::string::npos;
    EXPECT_EQ(kept, i < 4) << i;
    EXPECT_EQ(!stay.back().closed_by_peer(kept ? 20 : 500), kept) << i;
  }
  for (std::size_t i = 0; i < 4; ++i) {
    stay[i].send(kHealthCheck);
    EXPECT_EQ(status_of(stay[i].read_message()), 200U) << i;
  }
}

TEST_F(ClientConnectionsTest, WithoutDescriptorsItWaitsAndDoesNotSpin) {
#ifdef __SANITIZE_ADDRESS__
  GTEST_SKIP() << "the sanitizers need descriptors of their own to look at an object, and report it without";
#endif
  start_router(all_endpoints());
  Stream client(::socket(AF_INET, SOCK_STREAM, 0));
  rlimit usual{}, few{};
  ::getrlimit(RLIMIT_NOFILE, &usual);
  few = {static_cast<rlim_t>(client.fd), usual.rlim_max};  // open ones go on, no new one can be opened
  ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &few), 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  at.sin_port = htons(service_->port());
  ::connect(client.fd, reinterpret_cast<sockaddr*>(&at), sizeof at);
  client.send(kHealthCheck);
  const auto before = std::clock();
  usleep(300000);
  EXPECT_LT(std::clock() - before, CLOCKS_PER_SEC / 5);
  ::setrlimit(RLIMIT_NOFILE, &usual);
  EXPECT_EQ(status_of(client.read_message()), 200U);
}

TEST_F(ClientConnectionsTest, AClientThatClosesBehindManyUnreadBytesIsNoticed) {
  start_router(endpoint_list(endpoint_entry(0), 41, true));
  Stream client = connect_client();
  client.send(get(3000));
  Stream attempt = take_attempt();
  ASSERT_FALSE(attempt.read_message().empty());
  client.send(std::string(200000, 'x'));
  usleep(20000);
  client.close();
  EXPECT_TRUE(attempt.closed_by_peer(300));  // cancelled long before its deadline
}

TEST_F(ClientConnectionsTest, WithTooManyUnreadBytesTheAnswerIsTheLastOfItsConnection) {
  start_router(endpoint_list(endpoint_entry(0), 41, true));
  Stream client = connect_client();
  client.send(get(3000));
  Stream attempt = take_attempt();
  ASSERT_FALSE(attempt.read_message().empty());
  for (int i = 0; i < 700; ++i) client.send(kHealthCheck);
  for (int i = 0; i < 100 && client.receive(0); ++i) usleep(1000);
  usleep(50000);
  attempt.send(kOkAnswer);
  const std::string answer = client.read_message();
  EXPECT_EQ(status_of(answer), 200U);
  EXPECT_NE(answer.find("Connection: close"), std::string::npos);
  EXPECT_TRUE(client.read_message(1500).empty());
}

// An idle connection that is ended is ended in order: what crosses it is read and dropped, and nothing reset.
TEST_F(ClientConnectionsTest, ARequestThatCrossesAnIdleCloseMeetsAnEndAndNoReset) {
  limits_.client_idle_timeout = Duration::ms(100);
  start_router(all_endpoints());
  Stream client = connect_client();
  client.send(kHealthCheck);
  EXPECT_EQ(status_of(client.read_message()), 200U);
  ASSERT_TRUE(client.closed_by_peer(1000));
  client.send(kHealthCheck);  // as if it had been on its way
  usleep(20000);
  char one;
  EXPECT_EQ(::recv(client.fd, &one, 1, MSG_DONTWAIT), 0);
  client.close();
  run_on_loop([] {});
  begin_shutdown();
  thread_.join();
  EXPECT_TRUE(
      logged("shutdown: client connections closed while idle: 1, of these with a request received after the "
             "close: 1"));
}

}  // namespace
}  // namespace ashbeam
