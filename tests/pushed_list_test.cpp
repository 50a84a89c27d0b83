// Regression tests: where the endpoint list is pushed, a change counts as notified as soon as discovery has
// it, whether or not a watch is open.
//
// Symptom: after the return of a discovery that kept its callers waiting, a router without a watch sent
// requests to a draining endpoint until its call was answered. Cause: the list could be used for 6 s and the
// drain grace after its last line, which is right only where it is asked for. Evidence: the requests end with
// the list, and a call that is answered at once leads to none of them.
#include "router_process.hpp"

namespace ashbeam {
namespace {

constexpr std::chrono::milliseconds kGraceAndTolerance{1050};
constexpr std::chrono::milliseconds kMaxNotificationDelay{6000};           // after a watch fell silent
constexpr std::chrono::milliseconds kMaxNotificationDelayAfterMove{4000};  // after a change of the address

// The users ask for half of what a policy serves that sees the true state late.
constexpr double kMinServedShare = 0.5;

using Clients = std::vector<std::unique_ptr<SequentialClient>>;

// Returns the share of the requests sent after `from` that were answered with 200.
double served_share(const Clients& clients, SteadyTime from) {
  double sent = 0, served = 0;
  for (const auto& client : clients) {
    for (const SequentialClient::Answer& answer : client->answers()) {
      if (answer.sent_at < from) continue;
      ++sent;
      served += answer.status == 200;
    }
  }
  return served / std::max(sent, 1.0);
}

// How a router loses its watch, and why it gets no other.
enum class Loss {
  kRefused,       // discovery is down, and keeps its callers waiting at its return
  kRefusedAgain,  // discovery is down, returns for a moment in which it keeps its callers waiting, and is
                  // down again
  kUnreachable,   // the watch is reset, and connections neither come up nor are refused
  kCrowded,       // the watch is reset, and calls wait
  kRejected,      // the watch is reset, and calls are answered with 503
  kSilent,        // the watch falls silent, and calls wait
  kCutOff,        // the watch falls silent, and connections neither come up nor are refused
  kMoved,         // discovery has a new address, at which calls wait
};

std::string name_of(const testing::TestParamInfo<Loss>& loss) {
  const char* const names[] = {"Refused",  "RefusedAgain", "Unreachable", "Crowded",
                               "Rejected", "Silent",       "CutOff",      "Moved"};
  return names[static_cast<std::size_t>(loss.param)];
}

// A fake discovery service that writes its list to each watch, unless set_calls() says otherwise.
class PushingDiscovery {
 public:
  enum class Calls { kServed, kWait, kRejected, kRefused, kUnanswered };

  PushingDiscovery(FakeListener& listener, std::string list) : listener_(listener), list_(std::move(list)) {}
  // From now on treats calls so, and ends the open watches if `reset_watches`. Returns when that took effect.
  SteadyTime set_calls(Calls calls, bool reset_watches) {
    const std::lock_guard lock(mutex_);
    if (calls_ == Calls::kRefused) listener_.listen_again();
    calls_ = calls;
    if (reset_watches) reset_connections();
    if (calls == Calls::kRefused) listener_.refuse_connections();
    if (calls == Calls::kUnanswered) listener_.fill_accept_queue();
    return steady_now();
  }

 private:
  void reset_connections() {
    for (std::vector<Stream>* const streams : {&watches_, &waiting_}) {
      for (Stream& stream : *streams) stream.reset();
      streams->clear();
    }
  }
  void serve() {
    usleep(2000);
    const std::lock_guard lock(mutex_);
    if (calls_ == Calls::kRefused || calls_ == Calls::kUnanswered) return;
    while (listener_.has_pending(0)) waiting_.push_back(listener_.accept());
    if (calls_ == Calls::kWait) return;
    for (Stream& call : waiting_) {
      call.read_message();
      call.send(calls_ == Calls::kServed ? kWatchHead + list_ + "\n" : status_line("503"));
      if (calls_ == Calls::kServed) watches_.push_back(std::move(call));
    }
    waiting_.clear();
    if (calls_ != Calls::kServed || steady_now() < next_line_) return;
    for (Stream& watch : watches_) watch.send("\n");
    next_line_ = steady_now() + kLineInterval;
  }
  static constexpr std::chrono::milliseconds kLineInterval{200};
  FakeListener& listener_;
  std::string list_;
  std::mutex mutex_;
  Calls calls_ = Calls::kServed;
  std::vector<Stream> waiting_, watches_;
  SteadyTime next_line_;
  BackgroundThread background_{[this] { serve(); }};
};

class PushedListTest : public RouterTest, public testing::WithParamInterface<Loss> {
 protected:
  using Calls = PushingDiscovery::Calls;
  void SetUp() override {
    RouterTest::SetUp();
    settings_.must_watch_endpoints = false;
    limits_.configured_list_validity = Duration();
  }
  // Loses the watch as the parameter says, and returns when.
  SteadyTime lose_watch(PushingDiscovery& discovery) {
    switch (GetParam()) {
      case Loss::kRefused:
      case Loss::kRefusedAgain:
        return discovery.set_calls(Calls::kRefused, true);
      case Loss::kUnreachable:
        return discovery.set_calls(Calls::kUnanswered, true);
      case Loss::kCrowded:
        return discovery.set_calls(Calls::kWait, true);
      case Loss::kRejected:
        return discovery.set_calls(Calls::kRejected, true);
      case Loss::kSilent:
        return discovery.set_calls(Calls::kWait, false);
      case Loss::kCutOff:
        return discovery.set_calls(Calls::kUnanswered, false);
      case Loss::kMoved:
        new_discovery_ = crowded_discovery_.address();
        run_on_loop([this] { service_->change_addresses(new_discovery_, release_platform_.address()); });
        return steady_now();
    }
    return steady_now();
  }
  bool is_refused() const { return GetParam() == Loss::kRefused || GetParam() == Loss::kRefusedAgain; }
  // Returns when a change that is made at `change` counts as notified.
  SteadyTime notified(SteadyTime change, SteadyTime lost, SteadyTime returned) const {
    if (is_refused()) return returned;
    if (GetParam() == Loss::kSilent || GetParam() == Loss::kCutOff) return lost + kMaxNotificationDelay;
    if (GetParam() == Loss::kMoved) return lost + kMaxNotificationDelayAfterMove;
    return change;
  }
  // Returns how long after the loss of the watch each change counts as notified at once.
  std::chrono::milliseconds settling_delay() const {
    // The router may close a silent watch 2.5 s after its last line, which may be when it fell silent.
    if (GetParam() == Loss::kSilent || GetParam() == Loss::kCutOff)
      return kMaxNotificationDelay + std::chrono::milliseconds(2800);
    if (GetParam() == Loss::kMoved) return kMaxNotificationDelayAfterMove + std::chrono::milliseconds(300);
    return std::chrono::milliseconds(3400);
  }
  // Accepts connections and never answers, as a listener does whose connections no process accepts.
  FakeListener crowded_discovery_;
};

// Guards against attempts past the grace to endpoints that drain, or are replaced by a process that is not
// listed, while the router has no watch.
TEST_P(PushedListTest, SendsNothingPastTheGraceWithoutAWatch) {
  std::array<RecordingEndpoint, 6> endpoints;
  PushingDiscovery discovery(discovery_, listed_endpoints(endpoints));
  start_router("");
  Clients clients;
  for (int i = 0; i < 8; ++i) clients.push_back(std::make_unique<SequentialClient>(service_->port()));
  sleep_until(steady_now() + std::chrono::milliseconds(800));
  const SteadyTime lost = lose_watch(discovery);
  sleep_until(lost + std::chrono::milliseconds(200));
  endpoints[0].drain();
  endpoints[1].restart();
  const SteadyTime early = steady_now();
  sleep_until(lost + std::chrono::milliseconds(1600));
  endpoints[2].drain();
  endpoints[3].restart();
  const SteadyTime late = steady_now();
  SteadyTime returned;
  if (is_refused()) {
    sleep_until(lost + std::chrono::milliseconds(2500));
    returned = discovery.set_calls(Calls::kWait, false);
    sleep_until(returned + std::chrono::milliseconds(600));
    if (GetParam() == Loss::kRefusedAgain) discovery.set_calls(Calls::kRefused, true);
  }
  sleep_until(lost + settling_delay());
  endpoints[4].drain();
  const SteadyTime last_settled_send = steady_now() + kGraceAndTolerance;
  const SteadyTime last_early_send = notified(early, lost, returned) + kGraceAndTolerance;
  const SteadyTime last_late_send = notified(late, lost, returned) + kGraceAndTolerance;
  sleep_until(std::max(last_late_send, last_settled_send) + std::chrono::milliseconds(1000));
  for (const std::size_t i : {0U, 1U}) EXPECT_EQ(endpoints[i].count_requests_after(last_early_send), 0U) << i;
  for (const std::size_t i : {2U, 3U}) EXPECT_EQ(endpoints[i].count_requests_after(last_late_send), 0U) << i;
  EXPECT_EQ(endpoints[4].count_requests_after(last_settled_send), 0U);
  const double served = served_share(clients, lost);
  EXPECT_GT(served, kMinServedShare);
  std::printf("served share without a watch: %.3f\n", served);
  // The endpoint that goes on answering is still used.
  EXPECT_GT(endpoints[5].count_requests_after(last_settled_send + std::chrono::milliseconds(200)), 0U);
}

INSTANTIATE_TEST_SUITE_P(Losses, PushedListTest,
                         testing::Values(Loss::kRefused, Loss::kRefusedAgain, Loss::kUnreachable,
                                         Loss::kCrowded, Loss::kRejected, Loss::kSilent, Loss::kCutOff,
                                         Loss::kMoved),
                         name_of);

class PushedListWithoutLossTest : public RouterTest {
 protected:
  void SetUp() override {
    RouterTest::SetUp();
    settings_.must_watch_endpoints = false;
    limits_.configured_list_validity = Duration();
  }
};

// Guards against requests that are rejected although discovery is down and can have no change.
TEST_F(PushedListWithoutLossTest, ServesEveryRequestWhileDiscoveryRefusesCalls) {
  std::array<RecordingEndpoint, 3> endpoints;
  PushingDiscovery discovery(discovery_, listed_endpoints(endpoints));
  start_router("");
  sleep_until(steady_now() + std::chrono::milliseconds(300));
  const SequentialClient client(service_->port());
  sleep_until(steady_now() + std::chrono::milliseconds(500));
  const SteadyTime lost = discovery.set_calls(PushingDiscovery::Calls::kRefused, true);
  sleep_until(lost + std::chrono::milliseconds(4000));
  const auto answers = client.answers();
  ASSERT_GT(answers.size(), 50U);
  EXPECT_TRUE(std::all_of(answers.begin(), answers.end(),
                          [](const SequentialClient::Answer& answer) { return answer.status == 200; }));
}

// Guards against the use of a configured list, whose changes count as notified when the process starts.
TEST_F(PushedListWithoutLossTest, SendsNothingBeforeTheFirstListAfterAStart) {
  start_router(all_endpoints());
  EXPECT_EQ(reached_endpoints(6), (std::vector<bool>{false, false, false}));
  EXPECT_EQ(status_of(answer_to(get(400))), 503U);
}

}  // namespace
}  // namespace ashbeam
