// Incident "routed to draining or removed servers after the grace period", at about 300 processes.
//
// Seen: processes restarted with an old endpoint list sent to endpoints that had drained before or right
// after that restart, up to 6 s after the change counted as notified. Course: after an outage, or many
// restarts together, discovery has more clients than it can serve. It queues a call for 2 s and then rejects
// it, so that many processes have no list for 6 to 20 s. Cause: a list once received was used without end,
// though a change counts as notified 6 s after discovery had it; and a line that began and stalled was taken
// for silence. Evidence: detailed log lines. A process that broke the rule had each call rejected after 2 s,
// and no line from discovery since its start; it was ready, and was sent requests.
#include "router_process.hpp"

namespace ashbeam {
namespace {

constexpr double kNotifiedAtLatestS = 6;
constexpr double kGraceS = 1;
constexpr double kSlackS = 0.05;

std::chrono::milliseconds ms_of(double seconds) {
  return std::chrono::milliseconds(static_cast<int>(seconds * 1e3));
}

TEST(StaleEndpointsProcessTest, AListThatCannotBeConfirmedIsNotSentToPastItsTime) {
  RecordingEndpoint endpoint;
  CrowdedDiscovery discovery;
  RouterProcess router(discovery.address(), [&](nlohmann::json& configuration) {
    configuration["known"] = {
        {"rev", 1}, {"all", true}, {"targets", {listed_endpoint("h0", endpoint.address())}}};
    configuration["settings"]["replicasOfMe"] = 300;
  });
  const SteadyTime over = router.started() + ms_of(kNotifiedAtLatestS + kGraceS + kSlackS);
  sleep_until(router.started() + std::chrono::seconds(4));
  const SteadyClient client(router.port());
  sleep_until(over + std::chrono::milliseconds(1500));
  EXPECT_EQ(endpoint.later_than(over), 0U);
  const auto answers = client.answers();
  ASSERT_FALSE(answers.empty());
  EXPECT_EQ(answers.back().status, 503U);
  EXPECT_LT(seconds_between(answers.back().asked, answers.back().answered), 0.2);
}

class StaleEndpointsTest : public RouterTest {
 protected:
  // Answers the router's call with a complete list, and keeps the watch open.
  Stream standing_watch() {
    Stream watch = discovery_.accept();
    watch.read_message();
    watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    send_line(watch, all_endpoints());
    return watch;
  }
  static std::string chunk(const std::string& text) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
  }
  static void send_line(Stream& watch, const std::string& line) { watch.send(chunk(line + "\n")); }
  // Was something sent to any endpoint within that time? Each request is answered.
  bool sent_within(int wait_ms) {
    Stream client = connect_client();
    client.send(get(400));
    Stream attempt = take_attempt(wait_ms);
    if (attempt.fd < 0) return false;
    attempt.read_message();
    attempt.send(kOkAnswer);
    client.read_message();
    return true;
  }
};

TEST_F(StaleEndpointsTest, ALineThatBeginsAndStallsCountsAsNotifiedFromItsFirstByte) {
  start_router(all_endpoints());
  Stream watch = standing_watch();
  ASSERT_TRUE(sent_within(1000));
  const std::string line = endpoint_list(endpoint_entry(0, "draining") + "," + endpoint_entry(1, "draining") +
                                             "," + endpoint_entry(2, "draining"),
                                         42);
  const std::string bytes = chunk(line + "\n");
  watch.send(bytes.substr(0, bytes.size() / 2));
  const SteadyTime first_byte = steady_now();
  // Another call is made well within the grace.
  EXPECT_TRUE(discovery_.has_pending(700));
  sleep_until(first_byte + ms_of(kGraceS + kSlackS));
  EXPECT_FALSE(sent_within(300));
}

// The watch may have fallen silent before its end: the lease counts from its last line.
TEST_F(StaleEndpointsTest, AWatchThatEndsInOrderConfirmsNothing) {
  start_router(all_endpoints());
  Stream watch = standing_watch();
  ASSERT_TRUE(sent_within(1000));
  usleep(900000);
  watch.close();
  EXPECT_TRUE(discovery_.has_pending(1000));
  stopping_ = true;
  thread_.join();
  const std::string lost = "endpoint list: lease unconfirmed, cause: connection closed, last confirmed ";
  const auto line = std::find_if(log_lines_.begin(), log_lines_.end(),
                                 [&](const std::string& one) { return one.starts_with(lost); });
  ASSERT_NE(line, log_lines_.end());
  EXPECT_GE(std::stoi(line->substr(lost.size())), 900);
}

}  // namespace
}  // namespace ashbeam
