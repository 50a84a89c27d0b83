// Tests of the whole router: a change of the addresses of discovery and of the release platform, and
// malformed messages.
#include "router_fixture.hpp"

namespace ashbeam {
namespace {

class ServiceTest : public RouterTest {};

TEST_F(ServiceTest, KeepsListAndRequestsWhenAddressesChange) {
  start_router(all_endpoints());
  Stream watch = discovery_.accept(), subscription = release_platform_.accept(), client = connect_client();
  watch.send("HTTP/1.1 200 OK\r\n\r\n" + endpoint_list(endpoint_entry(0), 42) + "\n");
  client.send(get());
  Stream attempt = take_attempt();
  ASSERT_FALSE(attempt.read_message().empty());
  const FakeListener discovery;
  const FakeListener release_platform;
  new_discovery_ = discovery.address();
  const std::string address = release_platform.address();
  new_release_platform_ = address.c_str();
  EXPECT_TRUE(watch.read_message().starts_with("GET") && watch.is_closed_by_peer());
  EXPECT_FALSE(subscription.read_line().empty());
  EXPECT_TRUE(subscription.is_closed_by_peer());
  Stream second_watch = discovery.accept(), second_subscription = release_platform.accept();
  EXPECT_TRUE(second_watch.read_message().starts_with(
      "GET /registry/instances?follow=1&since=42 HTTP/1.1\r\nHost: " + discovery.address()));
  EXPECT_EQ(second_subscription.read_line(), R"({"jsonrpc":"2.0","id":1,"method":"subscribe"})");
  attempt.send(kOkAnswer);
  EXPECT_EQ(status_of(client.read_message()), 200U);
  EXPECT_FALSE(discovery_.has_pending(600) ||
               release_platform_.has_pending(0));  // the former addresses get no more calls
}

TEST_F(ServiceTest, RequestsMalformedMessagesAgainAndThenIgnoresThem) {
  limits_.min_platform_retry_delay = Duration::ms(10);
  start_router(all_endpoints());
  for (const char* expected_since : {"since=41", "since=41", "since=42"}) {
    Stream watch = discovery_.accept();
    EXPECT_NE(watch.read_message().find(expected_since), std::string::npos);
    watch.send(
        "HTTP/1.1 200 OK\r\n\r\n" +
        endpoint_list(R"({"uid":"x","state":"melted"},{"state":"up"},7,{"uid":"h9","state":"up"})", 42) +
        "\n");
    if (expected_since[7] == '1') watch.close();
  }
  for (const char* malformed : {"{\"method\":\"ROLLOUT\",\"params\":{\"image\":1,\"progress\":\"lost\"}}\n",
                                "{\"method\":\"NEW\",\"params\":{}}\n", "{\"id\":77,\"result\":true}\n"}) {
    Stream subscription = release_platform_.accept();
    subscription.send(malformed);
    EXPECT_TRUE(!subscription.read_line().empty() && subscription.is_closed_by_peer()) << malformed;
  }
  Stream subscription = release_platform_.accept();
  EXPECT_EQ(subscription.read_line(), R"({"jsonrpc":"2.0","id":4,"method":"subscribe"})");
  subscription.send(
      "{\"jsonrpc\":\"2.0\",\"id\":4,\"result\":true}\n{\"method\":\"SAMPLE\",\"params\":{\"type\":\"none\"}}"
      "\n"
      "{\"method\":\"DISPUTE\","
      "\"params\":"
      "{\"host\":\"h1\",\"type\":\"look\",\"lag_ms\":5}}\n{\"method\":\"NEW\",\"params\":{}}\n{\"method\":"
      "\"ping\"}\n");
  Stream client = connect_client();
  client.send(get());
  Stream attempt = take_attempt();
  attempt.send(kOkAnswer);
  EXPECT_EQ(status_of(client.read_message()), 200U);
  subscription.send(
      "{\"method\":\"ROLLOUT\",\"params\":{\"image\":2,\"ring\":1,\"progress\":\"trial\",\"ceiling\":0.28,"
      "\"lag_ms\":9}}\n{\"method\":\"ROLLOUT\",\"params\":{\"image\":2,\"ring\":1,\"progress\":\"rolling_"
      "back\","
      "\"ceiling\":0}}\n");
  usleep(50000);
  stopping_ = true;
  thread_.join();
  EXPECT_TRUE(has_logged("release 2: stage 1, phase canary, exposure cap 0.280"));
  EXPECT_TRUE(has_logged("release 2: stage 1, phase rolling back, exposure cap 0.000"));
  EXPECT_TRUE(has_logged("release platform: ignored an invalid release state: "));
  EXPECT_TRUE(has_logged("release platform: ignored a notification that is unknown or invalid: NEW"));
  EXPECT_TRUE(has_logged("endpoint list: ignored an entry without a uid or with an unknown state: "));
}

}  // namespace
}  // namespace ashbeam
