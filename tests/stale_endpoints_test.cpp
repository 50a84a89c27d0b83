// Incident "routed to draining or removed servers after the grace period", at about 300 processes.
//
// Seen: processes started anew with an old endpoint list sent to servers that had drained before or right
// after that start, up to 6 s after the change counted as notified. How it came about: after an outage, or
// many restarts together, discovery has more callers than it can serve. It lets a call wait for 2 s and then
// turns it away, so that many processes call in vain for 6 to 20 s. Cause: a list once had was good for ever.
// Nothing in the program knew since when it was unconfirmed, though a change counts as notified 6 s after
// discovery had it. A line that began and stalled was taken for silence. Proof: detailed log lines. A process
// that broke the rule had called in vain, each call turned away after 2 s, and had no line from discovery
// since its start; it was ready, and was sent requests.
#include "process_world.hpp"

namespace ashbeam {
namespace {

constexpr double kNotifiedAtLatestS = 6, kGraceS = 1, kSlackS = 0.05;

std::chrono::milliseconds ms_of(double seconds) {
  return std::chrono::milliseconds(static_cast<int>(seconds * 1e3));
}

TEST(StaleEndpointsProcessTest, AListThatCannotBeConfirmedIsNotSentToPastItsTime) {
  RecordingHost host;
  CrowdedDiscovery discovery;
  RouterProcess router(discovery.address(), [&](nlohmann::json& configuration) {
    configuration["known"] = {
        {"rev", 1}, {"all", true}, {"targets", {listed_endpoint("h0", host.address())}}};
    configuration["settings"]["replicasOfMe"] = 300;
  });
  const SteadyTime over = router.started() + ms_of(kNotifiedAtLatestS + kGraceS + kSlackS);
  sleep_until(router.started() + std::chrono::seconds(4));
  const SteadyClient client(router.port());
  sleep_until(over + std::chrono::milliseconds(1500));
  EXPECT_EQ(host.later_than(over), 0U);
  const auto answers = client.answers();
  ASSERT_FALSE(answers.empty());
  EXPECT_EQ(answers.back().status, 503U);
  EXPECT_LT(seconds_between(answers.back().asked, answers.back().answered), 0.2);
}

class StaleEndpointsTest : public RouterTest {
 protected:
  // Answers the router's call with a whole list, and keeps the watch open.
  Stream standing_watch() {
    Stream watch = discovery_.take();
    watch.message();
    watch.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    say_line(watch, all_hosts());
    return watch;
  }
  static std::string chunk(const std::string& text) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
  }
  static void say_line(Stream& watch, const std::string& line) { watch.say(chunk(line + "\n")); }
  // Was something sent to any host within that time? Each is answered.
  bool sent_within(int wait_ms) {
    const std::string path = get(400);
    Stream asking = client();
    asking.say(path);
    Stream at_host = forward(wait_ms);
    if (at_host.fd < 0) return false;
    at_host.message();
    at_host.say(kOk);
    asking.message();
    return true;
  }
};

TEST_F(StaleEndpointsTest, ALineThatBeginsAndStallsCountsAsNotifiedFromItsFirstByte) {
  begin(all_hosts());
  Stream watch = standing_watch();
  ASSERT_TRUE(sent_within(1000));
  const std::string line =
      list(entry(0, "draining") + "," + entry(1, "draining") + "," + entry(2, "draining"), 42);
  const std::string bytes = chunk(line + "\n");
  watch.say(bytes.substr(0, bytes.size() / 2));
  const SteadyTime first_byte = steady_now();
  // Another call is made well within the grace.
  EXPECT_TRUE(discovery_.asked(700));
  sleep_until(first_byte + ms_of(kGraceS + kSlackS));
  EXPECT_FALSE(sent_within(300));
}

// The watch may have fallen silent before its end: the lease counts from its last line.
TEST_F(StaleEndpointsTest, AWatchThatEndsInOrderConfirmsNothing) {
  begin(all_hosts());
  Stream watch = standing_watch();
  ASSERT_TRUE(sent_within(1000));
  usleep(900000);
  watch.shut();
  EXPECT_TRUE(discovery_.asked(1000));
  stopping_ = true;
  thread_.join();
  const std::string lost = "endpoint list: unconfirmed, ended, last confirmed ";
  const auto note =
      std::find_if(notes_.begin(), notes_.end(), [&](const std::string& n) { return n.starts_with(lost); });
  ASSERT_NE(note, notes_.end());
  EXPECT_GE(std::stoi(note->substr(lost.size())), 900);
}

}  // namespace
}  // namespace ashbeam
