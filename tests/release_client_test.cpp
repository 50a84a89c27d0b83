// Tests of the client of the release platform, on its own and as part of the router.
#include "router_fixture.hpp"

namespace ashbeam {
namespace {

class ReleaseSubscriptionTest : public RouterTest {};

class ReleaseClientTest : public testing::Test {
 protected:
  FakeListener listener_;
  Limits limits_;
  EventLoop loop_;
  std::vector<VoteOutcome> outcomes_;
  std::vector<std::string> notifications_;
  void run(const std::function<void(ReleaseClient&)>& first, const std::function<bool()>& until) {
    ReleaseClient::Callbacks callbacks;
    callbacks.on_notification = [this](const std::string& method, const Json& params) {
      notifications_.push_back(method + std::string(params.raw()));
      return true;
    };
    callbacks.on_vote_outcome = [this](VoteOutcome outcome, const Json* state) {
      outcomes_.push_back(outcome);
      return !state || state->is_object();
    };
    callbacks.log = [](const std::string&) {};
    ReleaseClient client(loop_, limits_, listener_.address(), 3, callbacks);
    client.start();
    int rounds = 0;
    Timer poll_timer(loop_, [&] {
      if (++rounds == 2) first(client);
      if (until() || rounds > 400) loop_.stop();
      poll_timer.schedule_after(Duration::ms(5));
    });
    poll_timer.schedule_after(Duration());
    loop_.run();
  }
};

TEST_F(ReleaseClientTest, ReportsTheOutcomeOfEachVote) {
  limits_.platform_answer_timeout = Duration::ms(150);
  std::thread platform([this] {
    Stream stream = listener_.accept();
    std::string calls;
    for (int i = 0; i < 7; ++i) calls += stream.read_line() + "\n";
    EXPECT_NE(
        calls.find(R"("id":2,"method":"release.vote","params":{"image":42,"ring":1,"opinion":"promote"}})"),
        std::string::npos);
    const auto error = [](int id, const char* message) {
      return "{\"id\":" + std::to_string(id) + ",\"error\":{\"code\":-32602,\"message\":\"" + message +
             "\"}}\n";
    };
    const std::string text = "{\"id\":1,\"result\":true}\n{\"id\":2,\"result\":{\"image\":42}}\n" +
                             error(3, "Throttling") + "{\"method\":\"ROLLOUT\",\"params\":{\"image\":42}}\n" +
                             error(4, "ConditionFailed") + error(5, "InternalFailure") +
                             error(6, "ValidationError");
    for (std::size_t at = 0; at < text.size(); at += 37) {
      stream.send(text.substr(at, 37));
      usleep(500);
    }
    usleep(200000);  // the seventh call is not answered before its timeout; its late answer is ignored
    stream.send("{\"id\":7,\"result\":{}}\n{\"method\":\"ping\"}\n");
    usleep(50000);
  });
  run(
      [](ReleaseClient& client) {
        for (int i = 0; i < 6; ++i) client.vote(42, 1, Vote::kPromote);
      },
      [this] { return outcomes_.size() >= 6; });
  platform.join();
  EXPECT_EQ(outcomes_, (std::vector<VoteOutcome>{VoteOutcome::kAccepted, VoteOutcome::kThrottled,
                                                 VoteOutcome::kConditionFailed, VoteOutcome::kFailed,
                                                 VoteOutcome::kFailed, VoteOutcome::kUnknown}));
  EXPECT_EQ(notifications_, std::vector<std::string>{"ROLLOUT{\"image\":42}"});
}

TEST_F(ReleaseClientTest, ReopensBrokenSilentOrMalformedConnection) {
  limits_.platform_silence_timeout = Duration::ms(100);
  limits_.min_platform_retry_delay = Duration::ms(10);
  std::thread platform([this] {
    for (int i = 0; i < 4; ++i) {
      Stream stream = listener_.accept();
      EXPECT_NE(stream.read_line().find("subscribe"), std::string::npos);
      if (i == 1) stream.send("{]\n");
      if (i == 2) stream.send(std::string(9000, 'x'));
      if (i == 0) {
        EXPECT_NE(stream.read_line().find("abort"), std::string::npos);
        stream.reset();
      } else if (i < 3) {
        EXPECT_TRUE(stream.is_closed_by_peer()) << i;
      } else {
        stream.send("{\"method\":\"NEWS\",\"params\":{}}\n");
        usleep(20000);
      }
    }
  });
  run([](ReleaseClient& client) { client.vote(42, 1, Vote::kAbort); },
      [this] { return !notifications_.empty(); });
  platform.join();
  // The vote was written before the connection broke, so the platform may have accepted it.
  EXPECT_EQ(outcomes_, std::vector<VoteOutcome>{VoteOutcome::kUnknown});
  EXPECT_EQ(notifications_.size(), 1U);
}

TEST_F(ReleaseClientTest, ReportsOutcomesOfVotesAfterItIsRetired) {
  bool retired = false;
  std::thread platform([this] {
    Stream stream = listener_.accept();
    EXPECT_NE((stream.read_line() + stream.read_line()).find("abort"), std::string::npos);
    stream.send("{\"method\":\"NEWS\",\"params\":{}}\n");
    usleep(50000);
    stream.send("{\"id\":2,\"result\":{}}\n");
    EXPECT_TRUE(stream.is_closed_by_peer());
    EXPECT_FALSE(listener_.has_pending(200));
  });
  run(
      [&](ReleaseClient& client) {
        client.vote(42, 1, Vote::kAbort);
        client.retire([&] { retired = true; });
      },
      [&] { return retired; });
  platform.join();
  EXPECT_EQ(outcomes_, std::vector<VoteOutcome>{VoteOutcome::kAccepted});
  EXPECT_TRUE(notifications_.empty());
}

TEST_F(ReleaseClientTest, ReportsVoteThatWasNeverWrittenAsFailed) {
  ::close(std::exchange(listener_.fd, ::socket(AF_INET, SOCK_STREAM, 0)));  // nothing listens at the port
  run([](ReleaseClient& client) { client.vote(42, 1, Vote::kPromote); },
      [this] { return !outcomes_.empty(); });
  EXPECT_EQ(outcomes_, std::vector<VoteOutcome>{VoteOutcome::kFailed});
}

TEST_F(ReleaseSubscriptionTest, ReopensConnectionWhoseLineNeverEnds) {
  limits_.platform_silence_timeout = Duration::ms(200);
  limits_.min_platform_retry_delay = Duration::ms(10);
  start_router(all_endpoints());
  Stream subscription = release_platform_.accept();
  EXPECT_FALSE(subscription.read_line().empty());
  int sent = 0;
  for (; sent < 40 && !release_platform_.has_pending(20); ++sent) subscription.send(" ");
  EXPECT_LT(sent, 30);
  EXPECT_TRUE(subscription.is_closed_by_peer());
}

}  // namespace
}  // namespace ashbeam
