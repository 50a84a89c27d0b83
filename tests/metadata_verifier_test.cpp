// Which metadata may pass: decided by the warden, and at the router's door.
#include "metadata/metadata_verifier.hpp"

#include <gtest/gtest.h>

#include "metadata/publisher.hpp"
#include "router_fixture.hpp"

namespace ashbeam {
namespace {

using namespace metadata;

const Instant kNow = Instant::at_us(1'800'000'000'000'000);

struct Passing {
  Publisher repository{kNow + Span::s(86400)};
  std::unique_ptr<MetadataVerifier> warden;
  Instant now = kNow;
  explicit Passing(Span lag = Span::s(30), std::size_t clients = 100) {
    repository.contents["targets"]["app"] = "1";
    warden = std::make_unique<MetadataVerifier>(
        std::vector<RepositorySettings>{{"/look/u/", repository.root(), lag}}, clients);
  }
  void publish() {
    ++repository.versions["targets"], ++repository.versions["snapshot"], ++repository.versions["timestamp"];
  }
  std::string check(const std::string& file, const std::string& bytes, std::uint64_t client = 1) {
    const Refusal r = warden->check(0, file, bytes, client, now);
    return r ? std::string(word_of(r.why)) : "";
  }
  std::string timestamp(std::uint64_t client = 1) {
    return check("timestamp.json", repository.timestamp(), client);
  }
};

TEST(MetadataVerifier, FindsTheRepositoryOfTheLongestPrefix) {
  const Publisher a(kNow + Span::s(9));
  const MetadataVerifier w({{"/look/", a.root(), {}}, {"/look/u/", a.root(), {}}}, 10);
  std::string_view file;
  EXPECT_EQ(w.repository_of("/look/u/timestamp.json", file), 1U);
  EXPECT_EQ(file, "timestamp.json");
  EXPECT_EQ(w.repository_of("/look/x", file), 0U);
  EXPECT_EQ(w.repository_of("/book/u/", file), MetadataVerifier::kNone);
  EXPECT_THROW(MetadataVerifier({{"/look/", "{}", {}}}, 10), std::runtime_error);
}

TEST(MetadataVerifier, AHostThatLagsIsServedForAWhileAndNeverBehindWhatAClientSaw) {
  Passing p;
  const std::string old = p.repository.timestamp(), old_snapshot = p.repository.snapshot(),
                    old_targets = p.repository.targets();
  EXPECT_EQ(p.timestamp(1) + p.timestamp(2), "");
  p.publish();
  EXPECT_EQ(p.timestamp(1), "");
  EXPECT_EQ(p.check("timestamp.json", old, 2), "");            // 2 has seen nothing newer
  EXPECT_EQ(p.check("timestamp.json", old, 1), "rollback");    // 1 has
  EXPECT_EQ(p.check("1.snapshot.json", old_snapshot, 2), "");  // between two versions
  EXPECT_EQ(p.check("1.targets.json", old_targets, 2), "");
  EXPECT_EQ(p.check("2.snapshot.json", p.repository.snapshot(), 1), "");
  EXPECT_EQ(p.check("2.snapshot.json", old_snapshot, 1), "mismatch");  // good, and not in this place
  EXPECT_EQ(p.check("2.targets.json", old_targets, 1), "mismatch");
  p.now = p.now + Span::s(31);
  EXPECT_EQ(p.check("timestamp.json", old, 2), "rollback");
  EXPECT_EQ(p.check("timestamp.json", old, 3), "rollback");
  EXPECT_EQ(p.check("1.snapshot.json", old_snapshot, 2), "mismatch");
  p.now = kNow + Span::s(90000);
  EXPECT_EQ(p.timestamp(2), "expired");  // the same bytes that passed before
}

TEST(MetadataVerifier, WhatIsNotInItsPlaceYetMustBeGoodByItself) {
  Passing p;
  EXPECT_EQ(p.check("1.snapshot.json", p.repository.snapshot()), "");
  EXPECT_EQ(p.check("2.snapshot.json", p.repository.snapshot()), "mismatch");
  const Publisher stranger(kNow + Span::s(86400));
  EXPECT_EQ(p.check("1.snapshot.json", stranger.snapshot()), "threshold");
  EXPECT_EQ(p.check("1.snapshot.json", p.repository.snapshot().substr(0, 200)), "unreadable");
  EXPECT_EQ(p.check("1.part.json", p.repository.targets()), "out-of-order");
  EXPECT_EQ(p.check("app", "anything"), "");  // no metadata
  EXPECT_EQ(p.timestamp(), "");
  EXPECT_EQ(p.check("1.snapshot.json", stranger.snapshot()), "mismatch");
}

TEST(MetadataVerifier, RootsInTheirOrderAndTheRecoveryFromFastForward) {
  Passing p;
  p.repository.versions["timestamp"] = 1'000'000, p.repository.versions["snapshot"] = 1'000'000;
  EXPECT_EQ(p.timestamp(1), "");
  const auto old = p.repository.roles["root"];
  p.repository.roles["root"].keys = {SigningKey::fresh(SigningKey::Kind::kEd25519)};
  p.repository.roles["timestamp"].keys = {SigningKey::fresh(SigningKey::Kind::kEd25519)};
  p.repository.versions["root"] = 2;
  EXPECT_EQ(p.check("2.root.json", p.repository.root()), "threshold");  // the former keys have not signed
  EXPECT_EQ(p.check("2.root.json", p.repository.root(&old)), "");
  EXPECT_EQ(p.warden->trust(0).root->version, 2);
  p.repository.versions["timestamp"] = 3, p.repository.versions["snapshot"] = 3;
  EXPECT_EQ(p.timestamp(1), "");  // what 1 saw of the old keys binds it no more
  p.repository.versions["root"] = 4;
  EXPECT_EQ(p.check("4.root.json", p.repository.root()), "");  // 3 has passed elsewhere
  EXPECT_EQ(p.warden->trust(0).root->version, 2);
  EXPECT_EQ(p.check("5.root.json", p.repository.root()), "root-version");  // under another name
}

TEST(MetadataVerifier, ClientsAreBoundedAndForgettingNeverLetsARollbackPass) {
  Passing p(Span::s(3600), 16);
  const std::string old = p.repository.timestamp();
  EXPECT_EQ(p.timestamp(1), "");
  p.publish();
  for (std::uint64_t c = 1; c <= 400; ++c) EXPECT_EQ(p.timestamp(c), "");
  EXPECT_EQ(p.warden->clients(), 16U);
  for (std::uint64_t c = 1; c <= 400; ++c) EXPECT_EQ(p.check("timestamp.json", old, c), "rollback") << c;
  const auto before = p.warden->verifications();
  for (int i = 0; i < 100; ++i) EXPECT_EQ(p.timestamp(7), "");
  EXPECT_EQ(p.warden->verifications(), before);  // known bytes cost none
}

class MetadataDoorTest : public RouterTest {
 protected:
  Publisher repository_{loop_.now() + Span::s(86400)};
  void open() {
    before_start_ = [this] {
      service_->set_metadata_verifier(std::make_unique<MetadataVerifier>(
          std::vector<RepositorySettings>{{"/look/u/", repository_.root(), Span()}}, 100));
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

TEST_F(MetadataDoorTest, ARolledBackFileIsTriedElsewhereAndItsBytesNeverGoOn) {
  open();
  const std::string old = repository_.timestamp();
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
  const std::string fresh = repository_.timestamp();
  EXPECT_EQ(status_of(serve("timestamp.json", {chunked(fresh)})), 200U);
  while (c.received.find(fresh + "\r\n0\r\n\r\n") == std::string::npos) ASSERT_TRUE(c.receive(500));
  c.received.clear();
  usleep(10000);
  const std::string answer = serve("timestamp.json", {file(old), file(fresh)});  // one host has gone back
  EXPECT_EQ(status_of(answer), 200U);
  EXPECT_TRUE(answer.ends_with(fresh));
  usleep(10000);
  c.send(ask_for("timestamp.json"));
  for (Stream h = take_attempt(); h.fd >= 0; h = take_attempt(100)) h.read_message(), h.send(file(old));
  const std::string refused = c.read_message();
  EXPECT_EQ(status_of(refused), 502U);
  EXPECT_NE(refused.find("X-Refused: rollback timestamp 1 < 2"), std::string::npos) << refused;
  EXPECT_EQ(refused.find("signed"), std::string::npos);
  EXPECT_FALSE(take_attempt(50).fd >= 0);
}

TEST_F(MetadataDoorTest, AProbeForTheNextRootThatIsNotThereIsNoFailure) {
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

TEST_F(MetadataDoorTest, ATruncatedOrCodedFileIsRefused) {
  open();
  const std::string coded = "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nxx";
  for (const std::string& bad :
       {file(repository_.timestamp().substr(0, 100)), file("{}"), coded, file(std::string(60000, '['))}) {
    Stream c = connect_client();
    c.send(ask_for("timestamp.json"));
    for (Stream h = take_attempt(); h.fd >= 0; h = take_attempt(100)) h.read_message(), h.send(bad);
    EXPECT_EQ(status_of(c.read_message()), 502U);
  }
}

}  // namespace
}  // namespace ashbeam
