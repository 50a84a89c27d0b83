// The watch on the endpoint list: failures, silence, lines that never end, lists that are older than another,
// and readiness.
#include "router_fixture.hpp"

namespace ashbeam {
namespace {

class EndpointWatchTest : public RouterTest {};

// Where the settings say that the list comes by itself, on sockets it does not.
TEST_F(EndpointWatchTest, TheListIsWatchedWhereTheSettingsDoNotAskForIt) {
  settings_.must_watch_endpoints = false;
  start_router(all_endpoints());
  for (int lost = 0; lost < 2; ++lost) {
    Stream watch = discovery_.accept(3000);
    EXPECT_TRUE(watch.read_message().starts_with("GET /registry/instances?follow=1&since=41 HTTP/1.1\r\n"))
        << lost;
  }
}

TEST_F(EndpointWatchTest, AFailedWatchIsOpenedAgain) {
  limits_.watch_silence_timeout = limits_.discovery_call_timeout = Duration::ms(150);
  settings_.endpoint_poll_interval = Duration::s(1);  // the longest wait is 2 s then
  start_router(all_endpoints());
  const std::string good = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::string& answer : {status_line("503"), std::string("nonsense\r\n\r\n"), good + "0\r\n\r\n",
                                    good + "3\r\n{]\n\r\n", good + "z", good}) {
    Stream watch = discovery_.accept(3000);
    ASSERT_FALSE(watch.read_message().empty());
    watch.send(answer);
    EXPECT_TRUE(watch.closed_by_peer()) << answer;
  }
}

TEST_F(EndpointWatchTest, ASilentWatchIsReplacedAtOnceAndOnceMoreIfThatOneIsSilent) {
  limits_.watch_silence_timeout = Duration::ms(200);
  limits_.replacement_watch_timeout = Duration::ms(150);
  start_router(all_endpoints());
  Stream watch = discovery_.accept();
  watch.send(kWatchHead + "\n");
  const Instant from = loop_.now();
  EXPECT_FALSE(watch.read_message().empty());
  Stream second = discovery_.accept(), third = discovery_.accept();
  EXPECT_LT(loop_.now() - from, Duration::ms(600));  // nothing but the two silences
  EXPECT_FALSE(second.read_message().empty());
  EXPECT_TRUE(watch.closed_by_peer(0) && second.closed_by_peer(0));
  EXPECT_FALSE(third.read_message().empty());
  third.send(kWatchHead + endpoint_list(endpoint_entry(0, "draining"), 42) + "\n");
  for (int i = 0; i < 4; ++i) {  // complete lines, empty ones too, keep it open
    usleep(100000);
    third.send("\n");
  }
  EXPECT_FALSE(third.closed_by_peer(0));
  EXPECT_EQ(reached_endpoints(12), (std::vector<bool>{false, true, true}));
  begin_shutdown();
  thread_.join();
  EXPECT_TRUE(logged("discovery: watch silent") && logged("discovery: watch stands again, tries 2"));
}

TEST_F(EndpointWatchTest, ALineThatTricklesInAndNeverEndsIsNoSignOfLife) {
  limits_.watch_silence_timeout = Duration::ms(200);
  start_router(all_endpoints());
  Stream watch = discovery_.accept();
  watch.send(kWatchHead + "\n");
  const std::string line = endpoint_list(endpoint_entry(0, "draining"), 42);
  int sent = 0;
  for (; sent < 30 && !discovery_.has_pending(20); ++sent)
    watch.send(line.substr(static_cast<std::size_t>(sent), 1));
  EXPECT_LT(sent, 25);
  Stream again = discovery_.accept();
  EXPECT_NE(again.read_message().find("since=41"), std::string::npos);  // nothing of the partial line counts
  EXPECT_EQ(reached_endpoints(12), (std::vector<bool>{true, true, true}));
}

TEST_F(EndpointWatchTest, AnOlderListAfterANewerOneIsIgnored) {
  start_router(all_endpoints());
  Stream watch = discovery_.accept();
  watch.send(kWatchHead + endpoint_list(endpoint_entry(0, "draining"), 43) + "\n" +
             endpoint_list(endpoint_entry(0), 42) + "\n" + all_endpoints() + "\n");
  EXPECT_EQ(reached_endpoints(12), (std::vector<bool>{false, true, true}));
  EXPECT_FALSE(discovery_.has_pending(500));  // the watch goes on
}

TEST_F(EndpointWatchTest, AWatchThatBeginsWithAnOlderListIsOpenedOnceMoreAndThenBelieved) {
  settings_.endpoint_poll_interval = Duration::ms(200);
  start_router(all_endpoints());
  const std::string complete = endpoint_list(endpoint_entry(1), 7, true) + "\n";
  Stream first = discovery_.accept();
  EXPECT_NE(first.read_message().find("since=41"), std::string::npos);
  // Changes to a list that discovery does not know any more.
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

TEST_F(EndpointWatchTest, APartialListCountsForNothingWhenItsWatchBreaks) {
  start_router(all_endpoints());
  Stream watch = discovery_.accept();
  const std::string complete = endpoint_list(endpoint_entry(2), 50, true);
  watch.send(kWatchHead + complete.substr(0, complete.size() - 4));
  watch.close();
  Stream again = discovery_.accept();
  EXPECT_NE(again.read_message().find("since=41"), std::string::npos);
  EXPECT_EQ(reached_endpoints(12), (std::vector<bool>{true, true, true}));
}

TEST_F(EndpointWatchTest, ItIsReadyOnceDiscoveryHasConfirmedTheList) {
  limits_.ready_without_list_timeout = Duration::s(30);
  start_router(all_endpoints());
  EXPECT_EQ(status_of(answer_to(kHealthCheck)), 503U);
  Stream watch = discovery_.accept();
  watch.send(kWatchHead + endpoint_list(endpoint_entry(0, "draining"), 42) + "\n");
  usleep(50000);
  EXPECT_EQ(status_of(answer_to(kHealthCheck)), 200U);
  EXPECT_FALSE(reached_endpoints(12)[0]);
}

// Many may have been started at once: each waits a jittered time before its first call, and few need not.
TEST_F(EndpointWatchTest, AProcessAmongManyWaitsAJitteredTimeBeforeItsFirstCall) {
  for (const unsigned routers : {1U, 51U, 300U}) {
    settings_.router_count = routers;
    const Limits limits = make_limits(1024, wire_settings_, settings_);
    EXPECT_EQ(limits.max_initial_poll_delay, routers == 1 ? Duration() : Duration::s(4));
    EXPECT_LT(limits.max_initial_poll_delay, limits.ready_without_list_timeout);
  }
  limits_.max_initial_poll_delay = Duration::s(1);
  limits_.ready_without_list_timeout = Duration::s(30);
  const Duration wait = limits_.max_initial_poll_delay * Pcg(7).next_double();
  start_router(all_endpoints());
  const Instant from = loop_.now();
  Stream watch = discovery_.accept(2000);
  EXPECT_FALSE(watch.read_message().empty());
  EXPECT_GE(loop_.now() - from, wait - Duration::ms(20));
  EXPECT_LT(loop_.now() - from, wait + Duration::ms(500));
}

TEST_F(EndpointWatchTest, ItIsReadyAfterAWhileWithoutAList) {
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
