// What crosses what: an answer, a close, a signal or a line of the list that comes between two steps of the
// router. The test forces each order; docs/races.md has the whole table.
#include "router_world.hpp"

namespace ashbeam {
namespace {

const std::string kReady = "GET /health/ready HTTP/1.1\r\n\r\n";
const std::string kWatch = "HTTP/1.1 200 OK\r\n\r\n";  // its body goes on until the end

class CrossingTest : public RouterTest {
 protected:
  void stop() {  // returns once the router has been told
    stopping_ = true;
    run_on_loop([] {});
  }
  bool noted(const std::string& line) {  // after the thread has ended
    return std::any_of(notes_.begin(), notes_.end(),
                       [&](const auto& n) { return n.find(line) != std::string::npos; });
  }
  // The hosts that new hits reach: one connection each, since none is answered.
  std::vector<bool> reached(int hits) {
    std::vector<bool> at(kHosts);
    std::vector<Stream> held;
    for (int i = 0; i < hits; ++i) {
      held.push_back(client());
      held.back().say(get(300));
    }
    for (int i = 0; i < kHosts; ++i) {
      while (hosts_[i].asked(60)) {
        Stream h = hosts_[i].take();
        at[static_cast<std::size_t>(i)] = !h.message(200).empty() || at[static_cast<std::size_t>(i)];
      }
    }
    return at;
  }
};

// ---- The list ----

TEST_F(CrossingTest, AWatchThatFallsSilentIsBegunAnewAtOnceAndOnceMoreIfThatOneIsSilent) {
  limits_.watch_silence_timeout = Span::ms(200);
  limits_.replacement_watch_timeout = Span::ms(150);
  begin(all_hosts());
  Stream d = discovery_.take();
  d.say(kWatch + "\n");
  const Instant from = loop_.now();
  EXPECT_FALSE(d.message().empty());
  Stream second = discovery_.take(), third = discovery_.take();
  EXPECT_LT(loop_.now() - from, Span::ms(600));  // nothing but the two silences
  EXPECT_FALSE(second.message().empty());
  EXPECT_TRUE(d.ended(0) && second.ended(0));
  EXPECT_FALSE(third.message().empty());
  third.say(kWatch + list(entry(0, "draining"), 42) + "\n");
  for (int i = 0; i < 4; ++i) usleep(100000), third.say("\n");  // whole lines, empty ones too, keep it
  EXPECT_FALSE(third.ended(0));
  EXPECT_EQ(reached(12), (std::vector<bool>{false, true, true}));
  stop();
  thread_.join();
  EXPECT_TRUE(noted("discovery: watch silent") && noted("discovery: watch stands again, tries 2"));
}

TEST_F(CrossingTest, AListThatDripsAndNeverEndsALineIsNoSignOfLife) {
  limits_.watch_silence_timeout = Span::ms(200);
  begin(all_hosts());
  Stream d = discovery_.take();
  d.say(kWatch + "\n");
  const std::string drips = list(entry(0, "draining"), 42);
  int said = 0;
  for (; said < 30 && !discovery_.asked(20); ++said) d.say(drips.substr(static_cast<std::size_t>(said), 1));
  EXPECT_LT(said, 25);
  Stream again = discovery_.take();
  EXPECT_NE(again.message().find("since=41"), std::string::npos);  // nothing of the half line counts
  EXPECT_EQ(reached(12), (std::vector<bool>{true, true, true}));
}

TEST_F(CrossingTest, AnOlderListAfterANewerOneIsNoNews) {
  begin(all_hosts());
  Stream d = discovery_.take();
  d.say(kWatch + list(entry(0, "draining"), 43) + "\n" + list(entry(0), 42) + "\n" + all_hosts() + "\n");
  EXPECT_EQ(reached(12), (std::vector<bool>{false, true, true}));
  EXPECT_FALSE(discovery_.asked(500));  // the watch goes on
}

TEST_F(CrossingTest, AWatchThatBeginsOlderIsAskedOnceMoreAndThenBelieved) {
  terms_.endpoint_poll_interval = Span::ms(200);
  begin(all_hosts());
  const std::string whole = list(entry(1), 7, true) + "\n";
  Stream first = discovery_.take();
  EXPECT_NE(first.message().find("since=41"), std::string::npos);
  first.say(kWatch + list(entry(0, "draining"), 6) + "\n");  // changes since what it does not know
  Stream second = discovery_.take();
  EXPECT_EQ(second.message().find("since="), std::string::npos);
  second.say(kWatch + whole);
  EXPECT_EQ(reached(12), (std::vector<bool>{false, true, false}));
  second.shut();
  Stream third = discovery_.take();
  EXPECT_NE(third.message().find("since=7"), std::string::npos);
  third.say(kWatch + list(entry(2), 3, true) + "\n");
  Stream fourth = discovery_.take();
  EXPECT_FALSE(fourth.message().empty());
  fourth.say(kWatch + list(entry(2), 3, true) + "\n");
  usleep(20000);
  EXPECT_EQ(reached(12), (std::vector<bool>{false, false, true}));
}

TEST_F(CrossingTest, AWholeListHalfHadWhenItsWatchBreaksCountsForNothing) {
  begin(all_hosts());
  Stream d = discovery_.take();
  const std::string whole = list(entry(2), 50, true);
  d.say(kWatch + whole.substr(0, whole.size() - 4));
  d.shut();
  Stream again = discovery_.take();
  EXPECT_NE(again.message().find("since=41"), std::string::npos);
  EXPECT_EQ(reached(12), (std::vector<bool>{true, true, true}));
}

TEST_F(CrossingTest, ItIsReadyOnceItHasTheListAsItStands) {
  limits_.ready_without_list_after = Span::s(30);
  begin(all_hosts());
  EXPECT_EQ(status_of(ask(kReady)), 503U);
  Stream d = discovery_.take();
  d.say(kWatch + list(entry(0, "draining"), 42) + "\n");
  usleep(50000);
  EXPECT_EQ(status_of(ask(kReady)), 200U);
  EXPECT_FALSE(reached(12)[0]);
}

// Many may have been started at once: each waits by lot before its first call, and few need not.
TEST_F(CrossingTest, AProcessAmongManyWaitsByLotBeforeItsFirstCallForTheList) {
  for (const unsigned routers : {1U, 51U, 300U}) {
    terms_.router_count = routers;
    const Limits limits = limits_for(1024, door_, terms_);
    EXPECT_EQ(limits.max_initial_poll_delay, routers == 1 ? Span() : Span::s(4));
    EXPECT_LT(limits.max_initial_poll_delay, limits.ready_without_list_after);
  }
  limits_.max_initial_poll_delay = Span::s(1);
  limits_.ready_without_list_after = Span::s(30);
  const Span wait = limits_.max_initial_poll_delay * Pcg(7).unit();
  begin(all_hosts());
  const Instant from = loop_.now();
  Stream d = discovery_.take(2000);
  EXPECT_FALSE(d.message().empty());
  EXPECT_GE(loop_.now() - from, wait - Span::ms(20));
  EXPECT_LT(loop_.now() - from, wait + Span::ms(500));
}

TEST_F(CrossingTest, ItIsReadyAfterAWhileWithNoList) {
  limits_.ready_without_list_after = Span::ms(300);
  begin(all_hosts());
  Stream d = discovery_.take();
  EXPECT_EQ(status_of(ask(kReady)), 503U);
  usleep(400000);
  EXPECT_EQ(status_of(ask(kReady)), 200U);
  EXPECT_TRUE(reached(12)[0]);
}

TEST_F(CrossingTest, ADeskThatDripsAndNeverEndsALineIsOpenedAnew) {
  limits_.platform_silence_timeout = Span::ms(200);
  limits_.platform_retry_min = Span::ms(10);
  begin(all_hosts());
  Stream s = desk_.take();
  EXPECT_FALSE(s.line().empty());
  int said = 0;
  for (; said < 40 && !desk_.asked(20); ++said) s.say(" ");
  EXPECT_LT(said, 30);
  EXPECT_TRUE(s.ended());
}

// ---- Forwards ----

TEST_F(CrossingTest, AForwardTellsTheTimeThatIsLeftWhenItsConnectionIsThere) {
  limits_.connect_timeout = Span::s(4);
  terms_.drain_grace = Span::s(20);
  FullDoor late;  // its connections come up once there is room, when the machine asks a second time
  begin(list(entry(0, "up", 1, late.address()), 41, true));
  Stream c = client();
  c.say(get(3000));
  usleep(300000);
  const Instant asked = loop_.now() - Span::ms(300);
  ::listen(late.fd, 64);
  late.filling.clear();  // those accepted before it end at once
  std::string got;
  Stream h(-1);
  while (got.empty() && late.asked(3000)) h = late.take(), got = h.message(1500);
  ASSERT_FALSE(got.empty());
  const auto told = std::stod(got.substr(got.find("X-Time-Left-Ms: ") + 16));
  EXPECT_LT(told, 3000 - (loop_.now() - asked).ms() + 150);
  h.say(kOk);
  EXPECT_EQ(status_of(c.message()), 200U);
}

// A body of no length goes on until the connection ends, and is whole only where it ends in order.
TEST_F(CrossingTest, AnAnswerOfNoLengthThatIsResetIsNotServed) {
  begin(all_hosts());
  for (const bool again : {true, false}) {
    Stream c = client();
    c.say(again ? get() : post("pay"));
    Stream h = forward();
    ASSERT_FALSE(h.message().empty());
    h.say("HTTP/1.1 200 OK\r\n\r\nhalf of");
    usleep(20000);
    h.reset();
    Stream second = forward(again ? 1000 : 60);
    EXPECT_EQ(second.fd >= 0, again);
    if (again) {
      EXPECT_FALSE(second.message().empty());
      second.say("HTTP/1.1 200 OK\r\n\r\nwhole");
      usleep(20000);
      second.shut();
    }
    const std::string answer = c.message();
    EXPECT_EQ(status_of(answer), again ? 200U : 502U);
    EXPECT_EQ(answer.ends_with("\r\n\r\nwhole"), again);
  }
}

// ---- Clients ----

TEST_F(CrossingTest, AClientThatLeavesBehindALotUnreadIsSeenToLeave) {
  begin(list(entry(0), 41, true));
  Stream c = client();
  c.say(get(3000));
  Stream h = forward();
  ASSERT_FALSE(h.message().empty());
  c.say(std::string(200000, 'x'));
  usleep(20000);
  c.shut();
  EXPECT_TRUE(h.ended(300));  // called off long before its time
}

TEST_F(CrossingTest, WhoSendsMoreThanIsHeldUnreadIsToldThatItsAnswerIsTheLast) {
  begin(list(entry(0), 41, true));
  Stream c = client();
  c.say(get(3000));
  Stream h = forward();
  ASSERT_FALSE(h.message().empty());
  for (int i = 0; i < 700; ++i) c.say(kReady);
  for (int i = 0; i < 100 && c.fill(0); ++i) usleep(1000);
  usleep(50000);
  h.say(kOk);
  const std::string answer = c.message();
  EXPECT_EQ(status_of(answer), 200U);
  EXPECT_NE(answer.find("Connection: close"), std::string::npos);
  EXPECT_TRUE(c.message(1500).empty());
}

TEST_F(CrossingTest, TheSameIdOfTwoCustomersIsTwoHits) {
  begin(all_hosts());
  const auto of = [](const std::string& account) {
    return "POST /pay HTTP/1.1\r\nX-Correlation-Id: one\r\nX-Account: " + account +
           "\r\nX-Time-Left-Ms: 900\r\nContent-Length: 0\r\n\r\n";
  };
  Stream a = client(), b = client();
  a.say(of("shop"));
  Stream h = forward();
  EXPECT_FALSE(h.message().empty());
  b.say(of("other"));
  Stream h2 = forward();
  EXPECT_FALSE(h2.message().empty());
  EXPECT_EQ(status_of(ask(of("shop"))), 409U);
  h.say(kOk), h2.say(kOk);
  EXPECT_EQ(status_of(a.message()), 200U);
  EXPECT_EQ(status_of(b.message()), 200U);
  EXPECT_EQ(status_of(ask("GET /look HTTP/1.1\r\nX-Correlation-Id: two\r\nX-Account: shop\r\n"
                          "X-Account: other\r\nX-Time-Left-Ms: 900\r\n\r\n")),
            400U);
}

// An idle connection that is ended is ended in order: what crosses it is read and dropped, and nothing reset.
TEST_F(CrossingTest, ARequestThatCrossesTheEndOfAnIdleConnectionMeetsAnEndAndNoReset) {
  limits_.client_idle_timeout = Span::ms(100);
  begin(all_hosts());
  Stream c = client();
  c.say(kReady);
  EXPECT_EQ(status_of(c.message()), 200U);
  ASSERT_TRUE(c.ended(1000));
  c.say(kReady);  // as if it had been on its way
  usleep(20000);
  char one;
  EXPECT_EQ(::recv(c.fd, &one, 1, MSG_DONTWAIT), 0);
  c.shut();
  run_on_loop([] {});
  stop();
  thread_.join();
  EXPECT_TRUE(noted("idle client connections closed 1, crossed by a request 1"));
}

// ---- Settings ----

std::string placed(const std::string& list, const std::string& zone, const std::string& kind) {
  std::string entry = list;
  entry.replace(entry.find(R"("az":"a")"), 8, R"("az":")" + zone + '"');
  return entry.replace(entry.find(R"("model":"m")"), 11, R"("model":")" + kind + '"');
}

// A repeat must stay in the first forward's zone: a zone that the settings do not name is none of theirs.
TEST_F(CrossingTest, AZoneThatTheSettingsDoNotNameIsNeverTakenForAnother) {
  terms_.request_classes[1].scope = IdempotencyScope::kZone;
  terms_.request_classes[1].key_retention = Span::s(5);
  begin(list(placed(entry(0), "a", "m") + "," + placed(entry(1), "x", "n") + "," + placed(entry(2), "y", "n"),
             41, true));
  for (int i = 0; i < 12; ++i) {
    Stream c = client();
    c.say(post("book", 600));
    Stream h = forward();
    ASSERT_FALSE(h.message().empty());
    h.say(status_line("500"));
    Stream second = forward(60);
    EXPECT_EQ(second.fd, -1);
    EXPECT_EQ(status_of(c.message()), 502U);
  }
  stop();
  thread_.join();
  EXPECT_TRUE(noted("endpoint list: 'x' is not in the settings' zones") &&
              noted("endpoint list: 'n' is not in the settings' machine types"));
  EXPECT_EQ(std::count_if(notes_.begin(), notes_.end(),
                          [](const auto& n) { return n.starts_with("endpoint list: 'n'"); }),
            1);
}

// What hosts remember for less long than a forward may wait for its connection is never sent there again.
TEST_F(CrossingTest, ARepeatReachesItsHostWhileThatRemembersOrIsNotSent) {
  for (RequestClass& g : terms_.request_classes)
    g.scope = IdempotencyScope::kAll, g.key_retention = Span::ms(240);
  begin(all_hosts());
  Stream c = client();
  c.say(post("book", 1500));
  Stream h = forward();
  ASSERT_FALSE(h.message().empty());
  h.reset();
  EXPECT_EQ(forward(100).fd, -1);
  EXPECT_NE(status_of(c.message()), 0U);
}

// ---- The end ----

TEST_F(CrossingTest, ARequestInPiecesThatTheSignalCrossesIsAnswered) {
  limits_.shutdown_accept_time = Span::ms(60);
  begin(all_hosts());
  Stream first = client(), kept = client();
  kept.say(kReady);
  EXPECT_EQ(status_of(kept.message()), 200U);
  const std::string request = get();
  first.say(request.substr(0, 30));
  kept.say(request.substr(0, 30));
  usleep(20000);
  stop();
  usleep(300000);  // the door has closed meanwhile
  for (Stream* c : {&first, &kept}) {
    c->say(request.substr(30));
    if (c == &first) {
      Stream h = forward();
      ASSERT_FALSE(h.message().empty());
      h.say(kOk);
      const std::string answer = c->message();
      EXPECT_EQ(status_of(answer), 200U);
      EXPECT_NE(answer.find("Connection: close"), std::string::npos);
    } else {
      EXPECT_EQ(status_of(c->message()), 409U);  // the same id, and an answer all the same
    }
    c->shut();
  }
  thread_.join();
  EXPECT_TRUE(wound_down_);
}

TEST_F(CrossingTest, WhoWaitsOutsideAFullTableWhenTheSignalComesIsAnswered) {
  limits_.shutdown_accept_time = Span::ms(60);
  limits_.max_client_connections = 2;
  begin(list(entry(0), 41, true));
  Stream a = client(), b = client();
  a.say(get(2000)), b.say(get(2000));
  Stream h = forward(), h2 = forward();
  ASSERT_FALSE(h.message().empty() || h2.message().empty());
  std::vector<Stream> outside;  // the machine has taken them, the router can't yet
  for (int i = 0; i < 4; ++i) outside.push_back(client()), outside.back().say(kReady);
  usleep(50000);
  stop();
  usleep(250000);
  EXPECT_FALSE(wound_down_);
  h.say(kOk), h2.say(kOk);
  EXPECT_EQ(status_of(a.message()), 200U);
  EXPECT_EQ(status_of(b.message()), 200U);
  a.shut(), b.shut();
  for (Stream& c : outside) {
    EXPECT_EQ(status_of(c.message()), 503U);
    c.shut();
  }
  thread_.join();
}

TEST_F(CrossingTest, ItLeavesOnceItsLastAnswerHasBeenReadAndNotBefore) {
  limits_.shutdown_accept_time = Span::ms(60);
  begin(list(entry(0), 41, true));
  Stream c = client();
  c.say(get(2000));
  Stream h = forward();
  ASSERT_FALSE(h.message().empty());
  stop();
  usleep(200000);
  h.say(kOk);
  usleep(100000);
  c.say(
      "what the client sends behind its request");  // were this unread at the end, the answer would be reset
  usleep(200000);
  EXPECT_FALSE(wound_down_);
  EXPECT_EQ(status_of(c.message()), 200U);
  c.shut();
  thread_.join();
  EXPECT_TRUE(wound_down_);
}

TEST_F(CrossingTest, WhatStillWaitsAtTheLatestIsAnsweredBeforeItLeaves) {
  limits_.shutdown_accept_time = Span::ms(60);
  limits_.shutdown_timeout = Span::ms(300);
  begin(list(entry(0), 41, true));
  Stream c = client();
  c.say(get(60000));
  Stream h = forward();
  ASSERT_FALSE(h.message().empty());
  stop();
  EXPECT_EQ(status_of(c.message()), 504U);
  c.shut();
  thread_.join();
}

TEST_F(CrossingTest, WhatComesAfterTheSignalHasItsAnswerBeforeTheProcessMayBeKilled) {
  limits_.shutdown_accept_time = Span::ms(200);
  limits_.earliest_kill = Span::ms(700);
  begin(list(entry(0), 41, true));
  stop();
  const Instant told = loop_.now();
  Stream c = client();
  c.say(get(60000));
  Stream h = forward();  // it never answers
  ASSERT_FALSE(h.message().empty());
  EXPECT_NE(status_of(c.message(3000)), 0U);
  EXPECT_LT(loop_.now() - told, Span::ms(700));
}

}  // namespace
}  // namespace ashbeam
