// Tests of the indices of endpoints, and of the names of zones and machine types.
#include "router_fixture.hpp"

namespace ashbeam {
namespace {

class EndpointRegistryTest : public RouterTest {};

// Returns `entry` with the zone and the machine type replaced.
std::string with_placement(const std::string& entry, const std::string& zone,
                           const std::string& machine_type) {
  std::string changed_entry = entry;
  changed_entry.replace(changed_entry.find(R"("az":"a")"), 8, R"("az":")" + zone + '"');
  return changed_entry.replace(changed_entry.find(R"("model":"m")"), 11, R"("model":")" + machine_type + '"');
}

TEST_F(EndpointRegistryTest, ReusesIndexOfRemovedEndpointAfterItsLastAttempt) {
  limits_.removed_endpoint_retention = Duration();
  start_router(endpoint_list(endpoint_entry(0), 41, true));
  Stream watch = discovery_.accept(), client = connect_client();
  watch.send("HTTP/1.1 200 OK\r\n\r\n");
  client.send(get());
  Stream attempt = take_attempt();
  EXPECT_FALSE(attempt.read_message().empty());
  const auto add_and_remove = [&](int rev) {
    const std::string entry_prefix = std::string("n").append(std::to_string(rev)) + R"(","state":")";
    watch.send(
        endpoint_list(R"({"uid":")" + entry_prefix + R"(up","endpoint":"127.0.0.1:1","release":1})", rev) +
        "\n" + endpoint_list(R"({"uid":")" + entry_prefix + R"(removed","release":1})", rev) + "\n");
  };
  watch.send(endpoint_list(endpoint_entry(0, "removed"), 42) + "\n");
  for (int rev = 43; rev < 60; ++rev) add_and_remove(rev);
  usleep(100000);
  EXPECT_EQ(service_->endpoint_slot_count(), 2U);  // the first endpoint still has an attempt in flight
  attempt.send(kOkAnswer);
  EXPECT_EQ(status_of(client.read_message()), 200U);
  watch.send(endpoint_list(endpoint_entry(1), 60) + "\n");
  usleep(50000);
  client.send(get());
  Stream next_attempt = take_attempt();
  EXPECT_FALSE(next_attempt.read_message().empty());
  next_attempt.send(kOkAnswer);
  EXPECT_EQ(status_of(client.read_message()), 200U);
}

// The retry of a request whose key is known in one zone only must stay in the zone of the first attempt. If
// zones that the settings do not list shared an index with others, a retry could run a second time in another
// zone.
TEST_F(EndpointRegistryTest, DistinguishesZonesThatTheSettingsDoNotList) {
  settings_.request_classes[1].scope = IdempotencyScope::kZone;
  settings_.request_classes[1].key_retention = Duration::s(5);
  start_router(endpoint_list(with_placement(endpoint_entry(0), "a", "m") + "," +
                                 with_placement(endpoint_entry(1), "x", "n") + "," +
                                 with_placement(endpoint_entry(2), "y", "n"),
                             41, true));
  for (int i = 0; i < 12; ++i) {
    Stream client = connect_client();
    client.send(post("book", 600));
    Stream attempt = take_attempt();
    ASSERT_FALSE(attempt.read_message().empty());
    attempt.send(status_line("500"));
    Stream second = take_attempt(60);
    EXPECT_EQ(second.fd, -1);
    EXPECT_EQ(status_of(client.read_message()), 502U);
  }
  begin_shutdown();
  thread_.join();
  EXPECT_TRUE(has_logged("endpoint list: 'x' is not one of the zones in the settings") &&
              has_logged("endpoint list: 'n' is not one of the machine types in the settings"));
  EXPECT_EQ(std::count_if(log_lines_.begin(), log_lines_.end(),
                          [](const auto& n) { return n.starts_with("endpoint list: 'n'"); }),
            1);
}

}  // namespace
}  // namespace ashbeam
