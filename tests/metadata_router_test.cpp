// Metadata at the router: a refused file is retried at another endpoint, and its bytes never go on.
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
  void open() {
    before_start_ = [this] {
      service_->set_metadata_verifier(std::make_unique<MetadataVerifier>(
          std::vector<RepositorySettings>{{"/look/u/", repository_.root_file(), Duration()}}, 100));
    };
    start_router(all_endpoints());
  }
  static std::string ask_for(const std::string& file) {
    const std::string whole = get();
    return "GET /look/u/" + file + whole.substr(whole.find(" HTTP"));
  }
  static std::string file(const std::string& bytes) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bytes.size()) + "\r\n\r\n" + bytes;
  }
  static std::string chunked(const std::string& bytes) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + (size + bytes) + "\r\n0\r\n\r\n";
  }
};

TEST_F(MetadataRouterTest, ARolledBackFileIsRetriedElsewhereAndItsBytesNeverGoOn) {
  open();
  const std::string old = repository_.timestamp_file();
  Stream c = connect_client();
  const auto serve = [&](const std::string& name, const std::vector<std::string>& answers) {
    c.send(ask_for(name));
    for (const auto& a : answers) {
      Stream h = take_attempt();
      EXPECT_FALSE(h.read_message().empty());
      h.send(a);
    }
    return c.read_message();
  };
  EXPECT_TRUE(serve("timestamp.json", {file(old)}).ends_with(old));
  ++repository_.versions["timestamp"];
  const std::string newest = repository_.timestamp_file();
  EXPECT_EQ(status_of(serve("timestamp.json", {chunked(newest)})), 200U);
  while (c.received.find(newest + "\r\n0\r\n\r\n") == std::string::npos) ASSERT_TRUE(c.receive(500));
  c.received.clear();
  usleep(10000);
  const std::string answer = serve("timestamp.json", {file(old), file(newest)});  // one host has gone back
  EXPECT_EQ(status_of(answer), 200U);
  EXPECT_TRUE(answer.ends_with(newest));
  usleep(10000);
  c.send(ask_for("timestamp.json"));
  for (Stream h = take_attempt(); h.fd >= 0; h = take_attempt(100)) h.read_message(), h.send(file(old));
  const std::string refused = c.read_message();
  EXPECT_EQ(status_of(refused), 502U);
  EXPECT_NE(refused.find("X-Refused: rollback timestamp 1 < 2"), std::string::npos) << refused;
  EXPECT_EQ(refused.find("signed"), std::string::npos);
  EXPECT_FALSE(take_attempt(50).fd >= 0);
}

TEST_F(MetadataRouterTest, AProbeForTheNextRootThatIsNotThereIsNoFailure) {
  open();
  Stream c = connect_client();
  c.send(ask_for("2.root.json"));
  Stream h = take_attempt();
  h.read_message();
  h.send(status_line("404"));
  EXPECT_EQ(status_of(c.read_message()), 404U);
  EXPECT_FALSE(take_attempt(50).fd >= 0);
  c.send(ask_for("app.bin"));  // no metadata: passes as before
  Stream again = take_attempt();
  again.read_message();
  again.send(kOkAnswer);
  EXPECT_EQ(status_of(c.read_message()), 200U);
}

TEST_F(MetadataRouterTest, ATruncatedOrCodedFileIsRefused) {
  open();
  const std::string coded = "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nxx";
  for (const std::string& bad : {file(repository_.timestamp_file().substr(0, 100)), file("{}"), coded,
                                 file(std::string(60000, '['))}) {
    Stream c = connect_client();
    c.send(ask_for("timestamp.json"));
    for (Stream h = take_attempt(); h.fd >= 0; h = take_attempt(100)) h.read_message(), h.send(bad);
    EXPECT_EQ(status_of(c.read_message()), 502U);
  }
}

}  // namespace
}  // namespace ashbeam
