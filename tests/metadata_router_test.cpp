// Tests of the router with a metadata verifier: a refused file is retried at another endpoint, and its bytes
// are never forwarded to the client.
#include <gtest/gtest.h>

#include "metadata/metadata_verifier.hpp"
#include "metadata/publisher.hpp"
#include "router_fixture.hpp"

namespace ashbeam {
namespace {

using namespace metadata;

class MetadataRouterTest : public RouterTest {
 protected:
  Publisher repository_{loop_.now() + Duration::s(86400)};
  void start_router_with_verifier() {
    before_start_ = [this] {
      service_->set_metadata_verifier(std::make_unique<MetadataVerifier>(
          std::vector<RepositorySettings>{{"/look/u/", repository_.root_file(), Duration()}}, 100));
    };
    start_router(all_endpoints());
  }
  static std::string request_for(const std::string& file) {
    const std::string request = get();
    return "GET /look/u/" + file + request.substr(request.find(" HTTP"));
  }
  static std::string response_with(const std::string& bytes) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bytes.size()) + "\r\n\r\n" + bytes;
  }
  static std::string chunked_response_with(const std::string& bytes) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + (size + bytes) + "\r\n0\r\n\r\n";
  }
};

TEST_F(MetadataRouterTest, RetriesRolledBackFileAtAnotherEndpointAndNeverForwardsIt) {
  start_router_with_verifier();
  const std::string old_timestamp = repository_.timestamp_file();
  Stream client = connect_client();
  const auto request_and_answer = [&](const std::string& name, const std::vector<std::string>& answers) {
    client.send(request_for(name));
    for (const auto& answer : answers) {
      Stream attempt = take_attempt();
      EXPECT_FALSE(attempt.read_message().empty());
      attempt.send(answer);
    }
    return client.read_message();
  };
  EXPECT_TRUE(request_and_answer("timestamp.json", {response_with(old_timestamp)}).ends_with(old_timestamp));
  ++repository_.versions["timestamp"];
  const std::string new_timestamp = repository_.timestamp_file();
  EXPECT_EQ(status_of(request_and_answer("timestamp.json", {chunked_response_with(new_timestamp)})), 200U);
  while (client.received.find(new_timestamp + "\r\n0\r\n\r\n") == std::string::npos)
    ASSERT_TRUE(client.receive(500));
  client.received.clear();
  usleep(10000);
  // One endpoint serves the old timestamp again, and another one the new one.
  const std::string answer =
      request_and_answer("timestamp.json", {response_with(old_timestamp), response_with(new_timestamp)});
  EXPECT_EQ(status_of(answer), 200U);
  EXPECT_TRUE(answer.ends_with(new_timestamp));
  usleep(10000);
  client.send(request_for("timestamp.json"));
  for (Stream attempt = take_attempt(); attempt.fd >= 0; attempt = take_attempt(100))
    attempt.read_message(), attempt.send(response_with(old_timestamp));
  const std::string refused = client.read_message();
  EXPECT_EQ(status_of(refused), 502U);
  EXPECT_NE(refused.find("X-Refused: rollback timestamp 1 < 2"), std::string::npos) << refused;
  EXPECT_EQ(refused.find("signed"), std::string::npos);
  EXPECT_FALSE(take_attempt(50).fd >= 0);
}

TEST_F(MetadataRouterTest, ForwardsNotFoundForNextRootWithoutRetry) {
  start_router_with_verifier();
  Stream client = connect_client();
  client.send(request_for("2.root.json"));
  Stream attempt = take_attempt();
  attempt.read_message();
  attempt.send(status_line("404"));
  EXPECT_EQ(status_of(client.read_message()), 404U);
  EXPECT_FALSE(take_attempt(50).fd >= 0);
  client.send(request_for("app.bin"));  // not metadata, so it is forwarded unchecked
  Stream second_attempt = take_attempt();
  second_attempt.read_message();
  second_attempt.send(kOkAnswer);
  EXPECT_EQ(status_of(client.read_message()), 200U);
}

TEST_F(MetadataRouterTest, RefusesTruncatedMalformedOrContentEncodedFile) {
  start_router_with_verifier();
  const std::string gzip_response =
      "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nxx";
  for (const std::string& invalid_response :
       {response_with(repository_.timestamp_file().substr(0, 100)), response_with("{}"), gzip_response,
        response_with(std::string(60000, '['))}) {
    Stream client = connect_client();
    client.send(request_for("timestamp.json"));
    for (Stream attempt = take_attempt(); attempt.fd >= 0; attempt = take_attempt(100))
      attempt.read_message(), attempt.send(invalid_response);
    EXPECT_EQ(status_of(client.read_message()), 502U);
  }
}

}  // namespace
}  // namespace ashbeam
