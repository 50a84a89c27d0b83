// The router on loopback, against stand-ins on plain blocking sockets.
#include "router_world.hpp"
#include "terms/router_settings_reader.hpp"

namespace ashbeam {
namespace {

TEST_F(RouterTest, AHitGoesOnUnchangedAndItsAnswerComesBack) {
  begin(all_hosts());
  Stream c = client();
  for (const int round : {1, 2}) {  // the second on kept connections
    const std::string request =
        get(900, "X-Account: shop\r\nX-Odd: \t v \r\nConnection: keep-alive, x-own\r\nX-Own: 1\r\n",
            std::string("r").append(std::to_string(round)));
    for (std::size_t at = 0; at < request.size(); at += 40) c.say(request.substr(at, 40)), usleep(300);
    Stream h = forward();
    const std::string got = h.message();
    EXPECT_TRUE(got.starts_with("GET /look/1?q HTTP/1.1\r\nHost: o\r\nX-Correlation-Id: r" +
                                std::to_string(round) + "\r\n"))
        << got;
    EXPECT_NE(got.find("X-Odd: \t v \r\n"), std::string::npos);
    EXPECT_EQ(got.find("X-Own"), std::string::npos);
    const auto left = std::stoul(got.substr(got.find("X-Time-Left-Ms: ") + 16));
    EXPECT_TRUE(left > 700 && left <= 900) << left;
    h.say(kOk);
    const std::string answer = c.message();
    EXPECT_EQ(status_of(answer), 200U) << round;
    EXPECT_TRUE(answer.ends_with("\r\n\r\nbody"));
    EXPECT_NE(answer.find("X-Kept: 1\r\n"), std::string::npos);
    h.say("x");  // unasked: the connection is not used again
    EXPECT_TRUE(h.ended());
  }
}

TEST_F(RouterTest, ConnectionsAreKeptAndNotUsedPastTheirHost) {
  begin(list(entry(0), 41, true));
  Stream d = discovery_.take();
  EXPECT_TRUE(d.message().starts_with("GET /registry/instances?follow=1&since=41 HTTP/1.1\r\n"));
  Stream c = client();
  c.say(get());
  Stream h = forward();
  for (int i = 0; i < 3; ++i) {
    ASSERT_FALSE(h.message().empty()) << i;
    h.say(kOk);
    ASSERT_EQ(status_of(c.message()), 200U);
    usleep(70000);  // until it has settled
    if (i < 2) c.say(get());
  }
  const std::string change = list(entry(0, "up", 2), 42) + "\n";  // the same id, another build
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", change.size());
  d.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + std::string(size) + change.substr(0, 9));
  usleep(20000);
  d.say(change.substr(9) + "\r\n1\r\n\n\r\n");
  EXPECT_TRUE(h.ended());
}

// Each row of the outcome table, at a path group that may run again and at one that must not.
TEST_F(RouterTest, OutcomesDecideWhetherAHitMayRunAgain) {
  begin(all_hosts());
  struct Row {
    const char* what;
    std::string answer;  // of the first host; "reset" and "end" break the connection
    bool ran;
  } const rows[] = {
      {"an error", status_line("500"), true},
      {"turned away", status_line("503", "X-Unprocessed: 1\r\n"), false},
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
      Stream c = client();
      c.say(again ? get() : post("pay"));
      Stream first = forward();
      ASSERT_FALSE(first.message().empty()) << row.what;
      if (row.answer != "reset") first.say(row.answer);
      if (row.answer == "reset") first.reset();
      else first.shut();
      Stream second = forward(again || !row.ran ? 1000 : 60);
      const bool came = !second.message().empty();
      EXPECT_EQ(came, again || !row.ran) << row.what;
      if (came) second.say(kOk);
      EXPECT_EQ(status_of(c.message()), came ? 200U : 502U) << row.what << again;
    }
  }
}

TEST_F(RouterTest, AHostThatRefusesOrNeverAcceptsHasNotRunTheHit) {
  const FullDoor full;
  const std::string closed = [] { return Door().address(); }();
  begin(list(entry(0, "up", 1, closed) + "," + entry(3, "up", 1, "localhost:1") + "," +
                 entry(1, "up", 1, full.address()) + "," + entry(2),
             41, true));
  for (int i = 0; i < 6; ++i) {
    Stream c = client();
    c.say(post("pay"));
    Stream h = forward(1500);
    ASSERT_FALSE(h.message().empty());
    h.say(kOk);
    EXPECT_EQ(status_of(c.message()), 200U);
  }
}

TEST_F(RouterTest, AForwardThatWaitsForItsConnectionIsNotWrittenToADrainingHost) {
  limits_.connect_timeout = Span::s(5);
  terms_.drain_grace = Span::s(20);
  const FullDoor full;
  begin(list(entry(0, "up", 1, full.address()), 41, true));
  Stream d = discovery_.take(), c = client();
  d.say("HTTP/1.1 200 OK\r\n\r\n");
  c.say(post("pay", 5000));
  usleep(50000);
  d.say(list(entry(0, "draining", 1, full.address()) + "," + entry(2), 42) + "\n");
  Stream h =
      forward(1000);  // never connected, so even this hit may go elsewhere, long before the connect time
  EXPECT_FALSE(h.message().empty());
  h.say(kOk);
  EXPECT_EQ(status_of(c.message()), 200U);
}

TEST_F(RouterTest, SilenceIsAnErrorBeforeTheClientsTimeIsUp) {
  begin(list(entry(0), 41, true));
  Stream c = client();
  c.say(post("pay", 200));
  Stream h = forward();
  EXPECT_FALSE(h.message().empty());
  const Instant asked = loop_.now();
  EXPECT_EQ(status_of(c.message()), 502U);
  EXPECT_LT(loop_.now() - asked, Span::ms(450));  // 200, and what a busy machine may add
  EXPECT_TRUE(h.ended());                         // given up by closing it
}

TEST_F(RouterTest, AClientThatLeavesHasItsForwardCalledOff) {
  begin(list(entry(0), 41, true));
  Stream c = client();
  c.say(get());
  Stream h = forward();
  EXPECT_FALSE(h.message().empty());
  c.shut();
  EXPECT_TRUE(h.ended());
}

TEST_F(RouterTest, BadRequestsAreAnsweredAndReachNoHost) {
  begin(all_hosts());
  const std::string head = " HTTP/1.1\r\nX-Correlation-Id: a\r\nX-Time-Left-Ms: 500\r\n";
  const std::pair<std::string, unsigned> rows[] = {
      {"GET /nowhere" + head + "\r\n", 404},
      {"GET /lookout" + head + "\r\n", 404},
      {"POST /look" + head + "Content-Length: 0\r\n\r\n", 405},
      {"GET /pay" + head + "\r\n", 405},
      {"POST /book" + head + "Content-Length: 0\r\n\r\n", 400},  // no key
      {"GET /look HTTP/1.1\r\nX-Time-Left-Ms: 500\r\n\r\n", 400},
      {"GET /look HTTP/1.1\r\nX-Correlation-Id: a\r\n\r\n", 400},
      {"GET /look HTTP/1.1\r\nX-Correlation-Id: a\r\nX-Time-Left-Ms: soon\r\n\r\n", 400},
      {"GET /look" + head + "X-Correlation-Id: b\r\n\r\n", 400},
      {"GET /look" + head + "X-Time-Left-Ms: 501\r\n\r\n", 400},
      {"GET /look" + head + "Content-Length: 1\r\n\r\na", 400},
      {"GET /look" + head + "X-Correlation-Id: " + std::string(200, 'x') + "\r\n\r\n", 400},
      {"POST /pay" + head + "Content-Length: 70000\r\n\r\n", 413},
      {"POST /pay" + head + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
      {"GET /look" + head + "X: " + std::string(20000, 'x') + "\r\n\r\n", 431},
      {"GET /look HTTP/1.0\r\n\r\n", 505},
      {"\x16\x03\x01\r\n\r\n", 400},
      {"GET /health/ready HTTP/1.1\r\n\r\n", 200},
      {"POST /health/ready HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 405},
  };
  for (const auto& [request, status] : rows)
    EXPECT_EQ(status_of(ask(request)), status) << request.substr(0, 60);
  Stream half = client();
  half.say("POST /pay" + head + "Content-Length: 9\r\n\r\nhalf");
  half.shut();
  EXPECT_EQ(forward(50).fd, -1);
}

TEST_F(RouterTest, AnIdIsTakenOnceWhileItsHitIsOpenAndSoonAfter) {
  begin(all_hosts());
  Stream c = client();
  c.say(post("pay", 1500, "b"));
  Stream h = forward();
  EXPECT_FALSE(h.message().empty());
  EXPECT_EQ(status_of(ask(post("pay", 1500, "b"))), 409U);
  h.say(kOk);
  EXPECT_EQ(status_of(c.message()), 200U);
  EXPECT_EQ(status_of(ask(post("pay", 1500, "b"))), 409U);
  EXPECT_EQ(forward(50).fd, -1);
}

TEST_F(RouterTest, WhoSaysNothingOrHalfIsClosedSoonAndWhoStaysIdleLater) {
  limits_.first_request_timeout = limits_.request_read_timeout = Span::ms(200);
  limits_.client_idle_timeout = Span::ms(500);
  begin(all_hosts());
  Stream silent = client(), half = client(), blank = client(), kept = client(), later = client(),
         odd = client();
  half.say("GET /look HTT");
  for (Stream* c : {&kept, &later}) {
    c->say("GET /health/ready HTTP/1.1\r\n\r\n");
    EXPECT_EQ(status_of(c->message()), 200U);
  }
  later.say("GET /lo");
  odd.say("GET /health/ready HTTP/1.1\r\n\r\n\r\n");  // an early blank line
  EXPECT_EQ(status_of(odd.message()), 200U);
  for (int i = 0; i < 5; ++i) blank.say("\r\n"), usleep(60000);
  EXPECT_TRUE(silent.ended(100) && blank.ended(100));
  EXPECT_EQ(status_of(half.message(100)), 408U);
  EXPECT_EQ(status_of(later.message(100)), 408U);
  EXPECT_FALSE(kept.ended(50));
  EXPECT_TRUE(kept.ended(600));
  EXPECT_TRUE(odd.ended(600));
}

TEST_F(RouterTest, AHugeBodyIsReadAndDroppedAndTheErrorArrives) {
  begin(all_hosts());
  Stream c = client();
  c.say(
      "POST /pay HTTP/1.1\r\nX-Correlation-Id: a\r\nX-Time-Left-Ms: 500\r\nContent-Length: 60000000\r\n\r\n");
  const std::string some(1 << 20, 'x');
  for (int i = 0; i < 57; ++i) ASSERT_EQ(::send(c.fd, some.data(), some.size(), MSG_NOSIGNAL), 1 << 20) << i;
  EXPECT_EQ(status_of(c.message()), 413U);
}

TEST_F(RouterTest, WhoIsTurnedAwayWaitsBeforeItsNextIsRead) {
  begin(all_hosts());
  Stream c = client();
  std::string many;
  for (int i = 0; i < 50; ++i) many += "GET /nowhere HTTP/1.1\r\n\r\n";
  c.say(many);
  int answers = 0;
  for (const Instant until = loop_.now() + Span::ms(450); loop_.now() < until;)
    answers += status_of(c.message(50)) == 404;
  EXPECT_TRUE(answers >= 3 && answers <= 5) << answers;
}

TEST_F(RouterTest, MoreThanAnAnswerIsNeverTakenForTheNext) {
  limits_.endpoint_settle_time = Span::ms(100);
  begin(list(entry(0), 41, true));
  Stream c = client();
  c.say(get());
  Stream h = forward();
  EXPECT_FALSE(h.message().empty());
  h.say(std::string("HTTP/1.1 103 X\r\n\r\nHTTP/1.1 102 X\r\n\r\n") + kOk);
  EXPECT_EQ(status_of(c.message()), 200U);
  c.say(get());
  Stream h2 = forward();  // not where more may still come
  EXPECT_FALSE(h2.message().empty());
  h.say(kOk);
  EXPECT_TRUE(h.ended());
  h2.say(kOk);
  EXPECT_EQ(status_of(c.message()), 200U);
}

TEST_F(RouterTest, PlacesOfHostsThatAreGoneAreUsedAgainOnceNothingNamesThem) {
  limits_.removed_endpoint_retention = Span();
  begin(list(entry(0), 41, true));
  Stream d = discovery_.take(), c = client();
  d.say("HTTP/1.1 200 OK\r\n\r\n");
  c.say(get());
  Stream h = forward();
  EXPECT_FALSE(h.message().empty());
  const auto come_and_go = [&](int rev) {
    const std::string one = std::string("n").append(std::to_string(rev)) + R"(","state":")";
    d.say(list(R"({"uid":")" + one + R"(up","endpoint":"127.0.0.1:1","release":1})", rev) + "\n" +
          list(R"({"uid":")" + one + R"(removed","release":1})", rev) + "\n");
  };
  d.say(list(entry(0, "removed"), 42) + "\n");
  for (int rev = 43; rev < 60; ++rev) come_and_go(rev);
  usleep(100000);
  EXPECT_EQ(service_->host_places(), 2U);  // the first still has a forward out
  h.say(kOk);
  EXPECT_EQ(status_of(c.message()), 200U);
  d.say(list(entry(1), 60) + "\n");
  usleep(50000);
  c.say(get());
  Stream h1 = forward();
  EXPECT_FALSE(h1.message().empty());
  h1.say(kOk);
  EXPECT_EQ(status_of(c.message()), 200U);
}

TEST_F(RouterTest, ABodyOfChunksGoesOnAsItCame) {
  begin(all_hosts());
  Stream c = client();
  c.say(
      "POST /book HTTP/1.1\r\nX-Correlation-Id: a\r\nIdempotency-Key: k\r\nX-Time-Left-Ms: 900\r\n"
      "Connection: transfer-encoding, x-correlation-id\r\nTransfer-Encoding: "
      "chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n");
  Stream h = forward();
  const std::string head =
      h.message();  // without what the client calls its connection's own, but for these two
  EXPECT_NE(head.find("Transfer-Encoding: chunked\r\n"), std::string::npos);
  EXPECT_NE(head.find("X-Correlation-Id: a\r\n"), std::string::npos);
  h.held.size() < 12 && h.fill(500);
  EXPECT_EQ(h.held, "2\r\nab\r\n0\r\n\r\n");
  h.say("HTTP/1.1 200 OK\r\n\r\nuntil the end");
  h.shut();
  const std::string answer = c.message();
  EXPECT_TRUE(answer.ends_with("until the end"));
}

// What the new build has answered for a key goes to no earlier one; other keys do.
TEST_F(RouterTest, AKeyThatTheNewBuildAnsweredStaysWithIt) {
  terms_.sticky_keys = true;
  begin(list(entry(1, "up", 2), 41, true));
  Stream d = discovery_.take(), c = client();
  c.say(get(1500, "X-Session-Key: door-7\r\n"));
  Stream h = hosts_[1].take();
  ASSERT_FALSE(h.message().empty());
  h.say(kOk);
  ASSERT_EQ(status_of(c.message()), 200U);
  d.say("HTTP/1.1 200 OK\r\n\r\n" + list(entry(0, "up", 1) + "," + entry(1, "draining", 2), 42) + "\n");
  usleep(50000);
  c.say(get(300, "X-Session-Key: door-7\r\n"));
  EXPECT_FALSE(hosts_[0].asked(400));
  EXPECT_EQ(status_of(c.message()), 503U);
  c.say(get(1500, "X-Session-Key: door-8\r\n"));
  EXPECT_TRUE(hosts_[0].asked(1500));
}

// An attempt counts when its last byte has come: one that still waits for its connection would take the key
// back.
TEST_F(RouterTest, AForwardNotYetWrittenIsRecalledWhenANewerBuildAnswersForItsKey) {
  terms_.sticky_keys = true;
  terms_.drain_grace = Span::s(6);
  limits_.connect_timeout = Span::s(3);
  FullDoor slow;
  begin(list(entry(1, "up", 2), 41, true));
  Stream d = discovery_.take(), first = client(), second = client();
  first.say(get(3500, "X-Session-Key: k\r\n"));
  Stream h = hosts_[1].take();
  ASSERT_FALSE(h.message().empty());
  d.say("HTTP/1.1 200 OK\r\n\r\n" +
        list(entry(0, "up", 1, slow.address()) + "," + entry(1, "draining", 2), 42) + "\n");
  usleep(50000);
  second.say(get(3500, "X-Session-Key: k\r\n"));
  usleep(50000);
  h.say(kOk);
  ASSERT_EQ(status_of(first.message()), 200U);
  int written = 0;  // the door opens: those that filled it first, then whoever still tries
  for (Stream s = slow.take(1500); s.fd >= 0; s = slow.take(1500)) written += !s.message(100).empty();
  EXPECT_EQ(written, 0);
  EXPECT_EQ(status_of(second.message()), 503U);
}

// The copy answers: its fellow that still waits is recalled, and then called off by the module as well.
TEST_F(RouterTest, AForwardRecalledAndCalledOffAtOnceEndsOnce) {
  terms_.sticky_keys = terms_.may_hedge = true;
  terms_.drain_grace = Span::s(6);
  limits_.connect_timeout = Span::s(3);
  const FullDoor slow;
  begin(list(entry(0, "up", 1, slow.address()), 41, true));
  Stream d = discovery_.take(), c = client();
  c.say(get(1800, "X-Session-Key: k\r\n"));
  usleep(50000);
  d.say("HTTP/1.1 200 OK\r\n\r\n" + list(entry(1, "up", 2), 42) + "\n");
  Stream h = hosts_[1].take();
  ASSERT_FALSE(h.message().empty());
  h.say(kOk);
  ASSERT_EQ(status_of(c.message()), 200U);
  c.say(get(1500, "X-Session-Key: k\r\n"));  // all is well: the next one goes to the new build
  usleep(20000);
  EXPECT_FALSE((h.held.empty() && h.message(300).empty() && !hosts_[1].asked(300)));
}

// Where the settings say that the list comes by itself, on sockets it does not.
TEST_F(RouterTest, TheListIsWatchedWhereTheSettingsDoNotAskForIt) {
  terms_.must_watch_endpoints = false;
  begin(all_hosts());
  for (int lost = 0; lost < 2; ++lost) {
    Stream d = discovery_.take(3000);
    EXPECT_TRUE(d.message().starts_with("GET /registry/instances?follow=1&since=41 HTTP/1.1\r\n")) << lost;
  }
}

TEST_F(RouterTest, AWatchThatFailsIsAskedForAgain) {
  limits_.watch_silence_timeout = limits_.discovery_call_timeout = Span::ms(150);
  terms_.endpoint_poll_interval = Span::s(1);  // the longest wait is 2 s then
  begin(all_hosts());
  const std::string good = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::string& answer : {status_line("503"), std::string("nonsense\r\n\r\n"), good + "0\r\n\r\n",
                                    good + "3\r\n{]\n\r\n", good + "z", good}) {
    Stream d = discovery_.take(3000);
    ASSERT_FALSE(d.message().empty());
    d.say(answer);
    EXPECT_TRUE(d.ended()) << answer;
  }
}

TEST_F(RouterTest, ToldOfOtherAddressesItMovesAndLosesNothing) {
  begin(all_hosts());
  Stream d = discovery_.take(), s = desk_.take(), c = client();
  d.say("HTTP/1.1 200 OK\r\n\r\n" + list(entry(0), 42) + "\n");
  c.say(get());
  Stream h = forward();
  ASSERT_FALSE(h.message().empty());
  const Door discovery, desk;
  new_discovery_ = discovery.address();
  const std::string at = desk.address();
  new_desk_ = at.c_str();
  EXPECT_TRUE(d.message().starts_with("GET") && d.ended());
  EXPECT_FALSE(s.line().empty());
  EXPECT_TRUE(s.ended());
  Stream d2 = discovery.take(), s2 = desk.take();
  EXPECT_TRUE(d2.message().starts_with("GET /registry/instances?follow=1&since=42 HTTP/1.1\r\nHost: " +
                                       discovery.address()));
  EXPECT_EQ(s2.line(), R"({"jsonrpc":"2.0","id":1,"method":"subscribe"})");
  h.say(kOk);
  EXPECT_EQ(status_of(c.message()), 200U);
  EXPECT_FALSE(discovery_.asked(600) || desk_.asked(0));  // the old ones hear nothing more
}

TEST_F(RouterTest, WhatIsOddInListAndNewsIsAskedForAgainAndThenPassedOver) {
  limits_.platform_retry_min = Span::ms(10);
  begin(all_hosts());
  for (const char* since : {"since=41", "since=41", "since=42"}) {
    Stream d = discovery_.take();
    EXPECT_NE(d.message().find(since), std::string::npos);
    d.say("HTTP/1.1 200 OK\r\n\r\n" +
          list(R"({"uid":"x","state":"melted"},{"state":"up"},7,{"uid":"h9","state":"up"})", 42) + "\n");
    if (since[7] == '1') d.shut();
  }
  for (const char* odd : {"{\"method\":\"ROLLOUT\",\"params\":{\"image\":1,\"progress\":\"lost\"}}\n",
                          "{\"method\":\"NEW\",\"params\":{}}\n", "{\"id\":77,\"result\":true}\n"}) {
    Stream s = desk_.take();
    s.say(odd);
    EXPECT_TRUE(!s.line().empty() && s.ended()) << odd;
  }
  Stream s = desk_.take();
  EXPECT_EQ(s.line(), R"({"jsonrpc":"2.0","id":4,"method":"subscribe"})");
  s.say(
      "{\"jsonrpc\":\"2.0\",\"id\":4,\"result\":true}\n{\"method\":\"SAMPLE\",\"params\":{\"type\":\"none\"}}"
      "\n"
      "{\"method\":\"DISPUTE\","
      "\"params\":"
      "{\"host\":\"h1\",\"type\":\"look\",\"lag_ms\":5}}\n{\"method\":\"NEW\",\"params\":{}}\n{\"method\":"
      "\"ping\"}\n");
  Stream c = client();
  c.say(get());
  Stream h = forward();
  h.say(kOk);
  EXPECT_EQ(status_of(c.message()), 200U);
  s.say(
      "{\"method\":\"ROLLOUT\",\"params\":{\"image\":2,\"ring\":1,\"progress\":\"trial\",\"ceiling\":0.28,"
      "\"lag_ms\":9}}\n{\"method\":\"ROLLOUT\",\"params\":{\"image\":2,\"ring\":1,\"progress\":\"rolling_"
      "back\","
      "\"ceiling\":0}}\n");
  usleep(50000);
  stopping_ = true;
  thread_.join();
  const auto noted = [this](const std::string& line) {
    return std::any_of(notes_.begin(), notes_.end(),
                       [&](const auto& n) { return n.find(line) != std::string::npos; });
  };
  EXPECT_TRUE(noted("build 2 stage 1 phase 0 cap 0.280"));
  EXPECT_TRUE(noted("build 2 stage 1 phase 1 cap 0.000"));
  EXPECT_TRUE(noted("desk: a state that can't be read"));
  EXPECT_TRUE(noted("desk: news that can't be used is passed over: NEW"));
  EXPECT_TRUE(noted("list: an entry with no id or an unknown state"));
}

TEST_F(RouterTest, ToldToStopItAnswersWhatComesAndEnds) {
  limits_.shutdown_accept_time = Span::ms(150);
  begin(list(entry(0), 41, true));
  Stream idle = client(), busy = client();
  idle.say("GET /health/ready HTTP/1.1\r\n\r\n");
  EXPECT_EQ(status_of(idle.message()), 200U);
  busy.say(get());
  Stream h = forward();
  EXPECT_FALSE(h.message().empty());
  Stream still = client();
  still.say("GET /health/ready HTTP/1.1\r\n\r\n");
  EXPECT_EQ(status_of(still.message()), 200U);
  stopping_ = true;
  run_on_loop([] {});
  idle.say("GET /health/ready HTTP/1.1\r\n\r\n");  // a kept connection is still good for one answer
  const std::string last = idle.message();
  EXPECT_EQ(status_of(last), 503U);
  EXPECT_NE(last.find("Connection: close"), std::string::npos);
  EXPECT_EQ(status_of(ask("GET /health/ready HTTP/1.1\r\n\r\n")), 503U);
  EXPECT_TRUE(idle.ended());
  Stream late = client(), odd = client();  // come after the signal and are served all the same
  late.say(get());
  odd.say("GET /health/ready HTTP/1.1\r\n");
  usleep(250000);
  EXPECT_FALSE(wound_down_);
  h.say(kOk);
  const std::string answer = busy.message();
  EXPECT_EQ(status_of(answer), 200U);
  EXPECT_NE(answer.find("Connection: close"), std::string::npos);
  Stream h2 = forward();
  h2.say(kOk);
  EXPECT_EQ(status_of(late.message()), 200U);
  odd.say("\r\n");  // half read until now: it is waited for
  EXPECT_EQ(status_of(odd.message()), 503U);
  EXPECT_TRUE(still.ended());  // one that stays idle is ended once the door is closed
  for (Stream* c : {&idle, &busy, &late, &odd, &still}) c->shut();
  thread_.join();
  EXPECT_TRUE(wound_down_);
}

TEST_F(RouterTest, AtAFullTableIdleClientsMakeRoomAndHostsAreNotOverrun) {
  limits_.max_client_connections = 4;
  limits_.max_endpoint_connections = 2;
  begin(all_hosts());
  std::vector<Stream> busy;
  for (int i = 0; i < 3; ++i) {
    busy.push_back(client());
    busy.back().say(get(400));
  }
  Stream a = forward(), b = forward();
  EXPECT_EQ(forward(100).fd, -1);  // the third gets no connection, and its answer soon
  for (int i = 0; i < 10; ++i) EXPECT_EQ(status_of(ask("GET /health/ready HTTP/1.1\r\n\r\n")), 200U);
  unsigned answered = 0;
  for (Stream& c : busy) answered += status_of(c.message()) != 0;
  EXPECT_EQ(answered, 3U);
  busy.push_back(client());  // half a request gives way, too, in time
  busy.back().say("GET /look HTTP/1.1\r\n");
  usleep(1300000);  // kept connections that stand idle give way to new ones
  for (int i = 0; i < 6; ++i) {
    busy.push_back(client());
    busy.back().say("GET /health/ready HTTP/1.1\r\n\r\n");
    EXPECT_EQ(status_of(busy.back().message()), 200U) << i;
  }
}

TEST_F(RouterTest, AFloodOfSilentAndHalfRequestsKeepsNobodyOut) {
  limits_.max_client_connections = 8;
  begin(all_hosts());
  std::vector<Stream> flood;
  for (int i = 0; i < 60; ++i) {
    flood.push_back(client());
    if (i % 2 != 0) flood.back().say("GET /look HTT");
  }
  const Instant asked = loop_.now();
  EXPECT_EQ(status_of(ask("GET /health/ready HTTP/1.1\r\n\r\n")), 200U);  // behind all of them
  EXPECT_LT(loop_.now() - asked, Span::s(1));
}

// None is closed between its requests, which the next could cross: past the bound each answer is the last
// one.
TEST_F(RouterTest, OfClientsThatAskOnceAndStayOnlyAFewAreKept) {
  limits_.max_idle_client_connections = 4;
  begin(all_hosts());
  std::vector<Stream> stay;
  for (int i = 0; i < 20; ++i) {
    stay.push_back(client());
    stay.back().say("GET /health/ready HTTP/1.1\r\n\r\n");
    const std::string answer = stay.back().message();
    EXPECT_EQ(status_of(answer), 200U);
    const bool kept = answer.find("Connection: close") == std::string::npos;
    EXPECT_EQ(kept, i < 4) << i;
    EXPECT_EQ(!stay.back().ended(kept ? 20 : 500), kept) << i;
  }
  for (std::size_t i = 0; i < 4; ++i) {
    stay[i].say("GET /health/ready HTTP/1.1\r\n\r\n");
    EXPECT_EQ(status_of(stay[i].message()), 200U) << i;
  }
}

TEST_F(RouterTest, WithoutDescriptorsItWaitsAndDoesNotSpin) {
#ifdef __SANITIZE_ADDRESS__
  GTEST_SKIP() << "the sanitizers need descriptors of their own to look at an object, and report it without";
#endif
  begin(all_hosts());
  Stream c(::socket(AF_INET, SOCK_STREAM, 0));
  rlimit usual{}, few{};
  ::getrlimit(RLIMIT_NOFILE, &usual);
  few = {static_cast<rlim_t>(c.fd), usual.rlim_max};  // those that stand go on, no new one is had
  ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &few), 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  at.sin_port = htons(service_->port());
  ::connect(c.fd, reinterpret_cast<sockaddr*>(&at), sizeof at);
  c.say("GET /health/ready HTTP/1.1\r\n\r\n");
  const auto before = std::clock();
  usleep(300000);
  EXPECT_LT(std::clock() - before, CLOCKS_PER_SEC / 5);
  ::setrlimit(RLIMIT_NOFILE, &usual);
  EXPECT_EQ(status_of(c.message()), 200U);
}

// ---- The release desk by itself ----

struct DeskTest : testing::Test {
  Door door_;
  Limits limits_;
  EventLoop loop_;
  std::vector<VoteOutcome> answers_;
  std::vector<std::string> news_;
  void run(const std::function<void(ReleaseClient&)>& first, const std::function<bool()>& until) {
    ReleaseClient desk(
        loop_, limits_, door_.address(), 3,
        [this](const std::string& method, const Json& params) {
          news_.push_back(method + std::string(params.raw()));
          return true;
        },
        [this](VoteOutcome a, const Json* state) {
          answers_.push_back(a);
          return !state || state->is_object();
        },
        [](const std::string&) {});
    desk.start();
    int rounds = 0;
    Timer look(loop_, [&] {
      if (++rounds == 2) first(desk);
      if (until() || rounds > 400) loop_.stop();
      look.in(Span::ms(5));
    });
    look.in(Span());
    loop_.run();
  }
};

TEST_F(DeskTest, EachAnswerToAVoteIsTold) {
  limits_.platform_answer_timeout = Span::ms(150);
  std::thread desk([this] {
    Stream s = door_.take();
    std::string calls;
    for (int i = 0; i < 7; ++i) calls += s.line() + "\n";
    EXPECT_NE(
        calls.find(R"("id":2,"method":"release.vote","params":{"image":42,"ring":1,"opinion":"promote"}})"),
        std::string::npos);
    const auto error = [](int id, const char* words) {
      return "{\"id\":" + std::to_string(id) + ",\"error\":{\"code\":-32602,\"message\":\"" + words +
             "\"}}\n";
    };
    const std::string text = "{\"id\":1,\"result\":true}\n{\"id\":2,\"result\":{\"image\":42}}\n" +
                             error(3, "Throttling") + "{\"method\":\"ROLLOUT\",\"params\":{\"image\":42}}\n" +
                             error(4, "ConditionFailed") + error(5, "InternalFailure") +
                             error(6, "ValidationError");
    for (std::size_t at = 0; at < text.size(); at += 37) s.say(text.substr(at, 37)), usleep(500);
    usleep(200000);  // the seventh call gets no answer in time, and then one that is not waited for any more
    s.say("{\"id\":7,\"result\":{}}\n{\"method\":\"ping\"}\n");
    usleep(50000);
  });
  run(
      [](ReleaseClient& d) {
        for (int i = 0; i < 6; ++i) d.vote(42, 1, Vote::kPromote);
      },
      [this] { return answers_.size() >= 6; });
  desk.join();
  EXPECT_EQ(answers_, (std::vector<VoteOutcome>{VoteOutcome::kAccepted, VoteOutcome::kThrottled,
                                                VoteOutcome::kConditionFailed, VoteOutcome::kFailed,
                                                VoteOutcome::kFailed, VoteOutcome::kUnknown}));
  EXPECT_EQ(news_, std::vector<std::string>{"ROLLOUT{\"image\":42}"});
}

TEST_F(DeskTest, ABrokenSilentOrUnreadableDeskIsOpenedAnew) {
  limits_.platform_silence_timeout = Span::ms(100);
  limits_.platform_retry_min = Span::ms(10);
  std::thread desk([this] {
    for (int i = 0; i < 4; ++i) {
      Stream s = door_.take();
      EXPECT_NE(s.line().find("subscribe"), std::string::npos);
      if (i == 1) s.say("{]\n");
      if (i == 2) s.say(std::string(9000, 'x'));
      if (i == 0) EXPECT_NE(s.line().find("abort"), std::string::npos), s.reset();
      else if (i < 3) EXPECT_TRUE(s.ended()) << i;
      else s.say("{\"method\":\"NEWS\",\"params\":{}}\n"), usleep(20000);
    }
  });
  run([](ReleaseClient& d) { d.vote(42, 1, Vote::kAbort); }, [this] { return !news_.empty(); });
  desk.join();
  EXPECT_EQ(answers_, std::vector<VoteOutcome>{VoteOutcome::kUnknown});  // written, then broken: it may count
  EXPECT_EQ(news_.size(), 1U);
}

TEST_F(DeskTest, ADeskLeftBehindStillAnswersTheVotesCastThere) {
  bool over = false;
  std::thread desk([this] {
    Stream s = door_.take();
    EXPECT_NE((s.line() + s.line()).find("abort"), std::string::npos);
    s.say("{\"method\":\"NEWS\",\"params\":{}}\n");
    usleep(50000);
    s.say("{\"id\":2,\"result\":{}}\n");
    EXPECT_TRUE(s.ended());
    EXPECT_FALSE(door_.asked(200));
  });
  run([&](ReleaseClient& d) { d.vote(42, 1, Vote::kAbort), d.retire([&] { over = true; }); },
      [&] { return over; });
  desk.join();
  EXPECT_EQ(answers_, std::vector<VoteOutcome>{VoteOutcome::kAccepted});
  EXPECT_TRUE(news_.empty());
}

TEST_F(DeskTest, AVoteThatIsNeverWrittenHasFailed) {
  ::close(std::exchange(door_.fd, ::socket(AF_INET, SOCK_STREAM, 0)));  // nobody listens
  run([](ReleaseClient& d) { d.vote(42, 1, Vote::kPromote); }, [this] { return !answers_.empty(); });
  EXPECT_EQ(answers_, std::vector<VoteOutcome>{VoteOutcome::kFailed});
}

// ---- The start ----

TEST(Start, WhatIsMissingIsNamed) {
  const auto complaint = [](const std::string& text) {
    try {
      read_router_settings(parse_startup_configuration(text, {}).settings);
    } catch (const std::runtime_error& e) {
      return std::string(e.what());
    }
    return std::string();
  };
  EXPECT_NE(complaint("{").find("not a JSON object"), std::string::npos);
  EXPECT_NE(complaint("{}").find("'settings'"), std::string::npos);
  EXPECT_NE(complaint(R"({"settings":{}})").find("'release_api.address'"), std::string::npos);
  const std::string start = R"({"seed":"8c1f","release_api":{"address":"127.0.0.1:1"},"settings":)";
  EXPECT_NE(complaint(start + "{}}").find("'grades.count'"), std::string::npos);
  EXPECT_NE(complaint(start + R"({"grades":[{"effect":"odd"}]}})").find("effect"), std::string::npos);
  const std::string rest = R"("seed":"8c1f","settings":{},"release_api":{"address":)";
  EXPECT_NE(complaint("{" + rest + R"("desk:1"}})").find("'release_api.address' is no numeric"),
            std::string::npos);
  EXPECT_NE(
      complaint(R"({"discovery":"10.1",)" + rest + R"("1.2.3.4:5"}})").find("'discovery' is no numeric"),
      std::string::npos);
  EXPECT_EQ(parse_startup_configuration(R"({"discovery":"1.2.3.4:6",)" + rest + R"("1.2.3.4:5"}})", {}).site.discovery,
            "1.2.3.4:6");
  try {
    read_startup_configuration([](const char*) -> const char* { return nullptr; });
    FAIL();
  } catch (const ConfigurationError& e) {
    EXPECT_STREQ(e.what(), "PROXY_NAME is not set");
  }
}

TEST(Start, NestedSettingsBecomePaths) {
  const SettingsMap pairs = flatten_settings(*Json::parse(
      R"({"tickMs":5.0,"allowed":{"cancel":true},"zones":["a b","c"],"grades":[{"name":"x","worth":2}],"no":[]})"));
  EXPECT_EQ(pairs.number("tickMs"), 5.0);
  EXPECT_TRUE(pairs.flag("allowed.cancel"));
  EXPECT_EQ(pairs.texts("zones"), (std::vector<std::string>{"a_b", "c"}));
  EXPECT_EQ(pairs.count("grades.count"), 1U);
  EXPECT_EQ(pairs.text("grades.0.name"), "x");
  EXPECT_TRUE(pairs.numbers("no").empty());
}

}  // namespace
}  // namespace ashbeam
