// Tests of the watch on the endpoint list: failures, silence, incomplete lines, lists with an older revision,
// and readiness.
#include "router_fixture.hpp"

namespace ashbeam {
namespace {

class EndpointWatchTest : public RouterTest {};

// The settings may say that the list is delivered without a watch. Over sockets it is not, so a watch is
// opened all the same.
TEST_F(EndpointWatchTest, OpensWatchEvenIfTheSettingsDoNotRequireIt) {
  settings_.must_watch_endpoints = false;
  start_router(all_endpoints());
  for (int round = 0; round < 2; ++round) {
    Stream watch = discovery_.accept(3000);
    EXPECT_TRUE(watch.read_message().starts_with("GET /registry/instances?follow=1&since=41 HTTP/1.1\r\n"))
        << round;
  }
}

TEST_F(EndpointWatchTest, ReopensFailedWatch) {
  limits_.watch_silence_timeout = limits_.discovery_call_timeout = Duration::ms(150);
  settings_.endpoint_poll_interval = Duration::s(1);  // so that the longest wait for the next watch is 2 s
  start_router(all_endpoints());
  const std::string valid_head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::string& answer :
       {status_line("503"), std::string("nonsense\r\n\r\n"), valid_head + "0\r\n\r\n",
        valid_head + "3\r\n{]\n\r\n", valid_head + "z", valid_head}) {
    Stream watch = discovery_.accept(3000);
    ASSERT_FALSE(watch.read_message().empty());
    watch.send(answer);
    EXPECT_TRUE(watch.is_closed_by_peer()) << answer;
  }
}

TEST_F(EndpointWatchTest, ReplacesSilentWatchAtOnceTwiceInARow) {
  limits_.watch_silence_timeout = Duration::ms(200);
  limits_.replacement_watch_timeout = Duration::ms(150);
  start_router(all_endpoints());
  Stream watch = discovery_.accept();
  watch.send(kWatchHead + "\n");
  const Instant started_at = loop_.now();
  EXPECT_FALSE(watch.read_message().empty());
  Stream second = discovery_.accept(), third = discovery_.accept();
  EXPECT_LT(loop_.now() - started_at, Duration::ms(600));  // only the two silence timeouts have passed
  EXPECT_FALSE(second.read_message().empty());
  EXPECT_TRUE(watch.is_closed_by_peer(0) && second.is_closed_by_peer(0));
  EXPECT_FALSE(third.read_message().empty());
  third.send(kWatchHead + endpoint_list(endpoint_entry(0, "draining"), 42) + "\n");
  for (int i = 0; i < 4; ++i) {  // complete lines keep the watch open, including empty ones
    usleep(100000);
    third.send("\n");
  }
  EXPECT_FALSE(third.is_closed_by_peer(0));
  EXPECT_EQ(reached_endpoints(12), (std::vector<bool>{false, true, true}));
  begin_shutdown();
  thread_.join();
  EXPECT_TRUE(has_logged("discovery: watch ended: no complete line within the timeout") &&
              has_logged("discovery: watch established again, watches ended before: 2"));
}

TEST_F(EndpointWatchTest, ReplacesWatchWhoseLineNeverEnds) {
  limits_.watch_silence_timeout = Duration::ms(200);
  start_router(all_endpoints());
  Stream watch = discovery_.accept();
  watch.send(kWatchHead + "\n");
  const std::string line = endpoint_list(endpoint_entry(0, "draining"), 42);
  int sent = 0;
  for (; sent < 30 && !discovery_.has_pending(20); ++sent)
    watch.send(line.substr(static_cast<std::size_t>(sent), 1));
  EXPECT_LT(sent, 25);
  Stream second = discovery_.accept();
  // The incomplete line was not applied.
  EXPECT_NE(second.read_message().find("since=41"), std::string::npos);
  EXPECT_EQ(reached_endpoints(12), (std::vector<bool>{true, true, true}));
}

TEST_F(EndpointWatchTest, IgnoresOlderListAfterANewerOneOnTheSameWatch) {
  start_router(all_endpoints());
  Stream watch = discovery_.accept();
  watch.send(kWatchHead + endpoint_list(endpoint_entry(0, "draining"), 43) + "\n" +
             endpoint_list(endpoint_entry(0), 42) + "\n" + all_endpoints() + "\n");
  EXPECT_EQ(reached_endpoints(12), (std::vector<bool>{false, true, true}));
  EXPECT_FALSE(discovery_.has_pending(500));  // the watch stays open
}

TEST_F(EndpointWatchTest, AcceptsOlderListIfASecondWatchConfirmsIt) {
  settings_.endpoint_poll_interval = Duration::ms(200);
  start_router(all_endpoints());
  const std::string complete = endpoint_list(endpoint_entry(1), 7, true) + "\n";
  Stream first = discovery_.accept();
  EXPECT_NE(first.read_message().find("since=41"), std::string::npos);
  // Changes only, with an older revision: discovery no longer has the list that the router knows.
  first.send(kWatchHead + endpoint_list(endpoint_entry(0, "draining"), 6) + "\n");
  Stream second = discovery_.accept();
  EXPECT_EQ(second.read_message().find("since="), std::string::npos);
  second.send(kWatchHead + complete);
  EXPECT_EQ(reached_endpoints(12), (std::vector<bool>{false, true, false}));
  second.close();
  Stream third = discovery_.accept();
  EXPECT_NE(third.read_message().find("since=7"), std::string::npos);
  third.send(kWatchHead + endpoint_list(endpoint_entry(2), 3, true) + "\n");
  Stream fourth = discovery_.accept();
  EXPECT_FALSE(fourth.read_message().empty());
  fourth.send(kWatchHead + endpoint_list(endpoint_entry(2), 3, true) + "\n");
  usleep(20000);
  EXPECT_EQ(reached_endpoints(12), (std::vector<bool>{false, false, true}));
}

TEST_F(EndpointWatchTest, DiscardsPartialListOfABrokenWatch) {
  start_router(all_endpoints());
  Stream watch = discovery_.accept();
  const std::string complete = endpoint_list(endpoint_entry(2), 50, true);
  watch.send(kWatchHead + complete.substr(0, complete.size() - 4));
  watch.close();
  Stream second = discovery_.accept();
  EXPECT_NE(second.read_message().find("since=41"), std::string::npos);
  EXPECT_EQ(reached_endpoints(12), (std::vector<bool>{true, true, true}));
}

TEST_F(EndpointWatchTest, IsReadyOnceDiscoveryHasConfirmedTheList) {
  limits_.ready_without_list_timeout = Duration::s(30);
  start_router(all_endpoints());
  EXPECT_EQ(status_of(answer_to(kHealthCheck)), 503U);
  Stream watch = discovery_.accept();
  watch.send(kWatchHead + endpoint_list(endpoint_entry(0, "draining"), 42) + "\n");
  usleep(50000);
  EXPECT_EQ(status_of(answer_to(kHealthCheck)), 200U);
  EXPECT_FALSE(reached_endpoints(12)[0]);
}

// If many routers start at the same time, their first calls would overload discovery. So each waits for a
// random time before its first call. A single router does not wait.
TEST_F(EndpointWatchTest, DelaysFirstCallByARandomTimeIfThereAreManyRouters) {
  for (const unsigned routers : {1U, 51U, 300U}) {
    settings_.router_count = routers;
    const Limits limits = make_limits({}, wire_settings_, settings_);
    EXPECT_EQ(limits.max_initial_poll_delay, routers == 1 ? Duration() : Duration::s(4));
    EXPECT_LT(limits.max_initial_poll_delay, limits.ready_without_list_timeout);
  }
  limits_.max_initial_poll_delay = Duration::s(1);
  limits_.ready_without_list_timeout = Duration::s(30);
  const Duration wait = limits_.max_initial_poll_delay * Pcg(7).next_double();
  start_router(all_endpoints());
  const Instant started_at = loop_.now();
  Stream watch = discovery_.accept(2000);
  EXPECT_FALSE(watch.read_message().empty());
  EXPECT_GE(loop_.now() - started_at, wait - Duration::ms(20));
  EXPECT_LT(loop_.now() - started_at, wait + Duration::ms(500));
}

TEST_F(EndpointWatchTest, IsReadyWithoutAListAfterTheTimeout) {
  limits_.ready_without_list_timeout = Duration::ms(300);
  start_router(all_endpoints());
  Stream watch = discovery_.accept();
  EXPECT_EQ(status_of(answer_to(kHealthCheck)), 503U);
  usleep(400000);
  EXPECT_EQ(status_of(answer_to(kHealthCheck)), 200U);
  EXPECT_TRUE(reached_endpoints(12)[0]);
}

}  // namespace
}  // namespace ashbeam
