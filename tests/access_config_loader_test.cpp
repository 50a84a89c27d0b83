// The operator's files while the router runs: changes, files that can't be used, and the commands that write
// them.
#include "program/access_config_loader.hpp"

#include <sys/stat.h>

#include <csignal>
#include <filesystem>
#include <future>

#include "calling_helpers.hpp"
#include "metadata/publisher.hpp"
#include "program/commands.hpp"
#include "program/log_sink.hpp"
#include "router_fixture.hpp"
#include "store/files.hpp"

namespace ashbeam {
namespace {

struct Folder {
  std::string path;
  Folder() {
    char name[] = "/tmp/ashbeam-test-XXXXXX";
    path = ::mkdtemp(name);
    ::mkdir((path + "/keys").c_str(), 0755);
  }
  ~Folder() { std::filesystem::remove_all(path); }
  std::string at(const std::string& name) const { return path + "/" + name; }
};

class AccessConfigLoaderTest : public RouterTest {
 protected:
  Folder folder_;
  std::unique_ptr<AccessConfigLoader> loader_;
  TokenSigner signer_{"k1", tokens::Algorithm::kEdDsa};
  std::vector<std::string> log_lines_;

  void write_operator_file(const std::string& limits, const std::string& reread = "100ms") {
    write_file(folder_.at("o.cue"),
               "calling: {prove: \"required\", tokens: {keys: \"keys\", reread: \"" + reread +
                   "\", audience: \"ashbeam\"}, tenants: [{name: \"shop\"" + limits + "}]}",
               0644);
  }
  void write_key_set(const std::vector<tokens::KeyEntry>& set) const {
    write_file(folder_.at("keys/ring.json"), tokens::key_set_text(set), 0644);
  }
  void start_router() {
    before_start_ = [this] {
      loader_ = std::make_unique<AccessConfigLoader>(
          loop_, *service_, wire_settings_, settings_, folder_.at("o.cue"), 7,
          [this](std::string_view line) { log_lines_.emplace_back(line); });
    };
    RouterTest::start_router(all_endpoints());
  }
  void TearDown() override {
    RouterTest::TearDown();
    loader_.reset();
  }
  unsigned ask(const TokenSigner& signer) {
    Stream c = connect_client();
    c.send(get(1500,
               "Authorization: Bearer " + signer.token("shop", "r", loop_.now(), Duration::s(60)) + "\r\n"));
    Stream h = take_attempt(100);
    if (h.fd >= 0 && !h.read_message().empty()) h.send(kOkAnswer);
    return status_of(c.read_message());
  }
  void wait_for_polls() const { usleep(350000); }  // a few of the folder
  bool logged(const std::string& part) const {
    return std::any_of(log_lines_.begin(), log_lines_.end(),
                       [&](const auto& l) { return l.find(part) != std::string::npos; });
  }
};

TEST_F(AccessConfigLoaderTest, ChangedKeySetsAreLoaded) {
  write_operator_file("");
  write_key_set({signer_.entry()});
  start_router();
  const TokenSigner next("k2", tokens::Algorithm::kEs256);
  EXPECT_EQ(ask(signer_), 200U);
  EXPECT_EQ(ask(next), 401U);
  write_key_set({next.entry()});
  wait_for_polls();
  EXPECT_EQ(ask(next), 200U);
  EXPECT_EQ(ask(signer_), 200U);  // in its overlap
  auto gone = signer_.entry();
  gone.revoked = true;
  write_key_set({next.entry(), gone});
  run_on_loop([&] { loader_->reload(); });
  usleep(100000);
  EXPECT_EQ(ask(signer_), 401U);
}

TEST_F(AccessConfigLoaderTest, FilesThatCantBeUsedChangeNothingAndAreLoggedOnce) {
  write_operator_file("");
  write_key_set({signer_.entry()});
  start_router();
  const std::string good = tokens::key_set_text({signer_.entry()});
  struct Row {
    std::string what, text;
    unsigned mode;
  } const rows[] = {
      {"wanted a JSON object", good.substr(0, good.size() / 2), 0644},
      {"a private key that others may read",
       "{\"keys\":[{\"kid\":\"p\"," + signer_.key.jwk_members(true) + "}]}", 0644},
      {"'x' is no base64url", R"({"keys":[{"kty":"OKP","crv":"Ed25519","kid":"a","x":"*"}]})", 0644},
  };
  for (const Row& row : rows) {
    write_file(folder_.at("keys/other.json"), row.text, row.mode);
    wait_for_polls();
    EXPECT_EQ(ask(signer_), 200U) << row.what;
  }
  ::unlink(folder_.at("keys/other.json").c_str());
  ::symlink("/nowhere", folder_.at("keys/other.json").c_str());
  wait_for_polls();
  EXPECT_EQ(ask(signer_), 200U);
  ::unlink(folder_.at("keys/other.json").c_str());
  std::filesystem::rename(folder_.at("keys"), folder_.at("away"));
  wait_for_polls();
  EXPECT_EQ(ask(signer_), 200U);
  std::filesystem::rename(folder_.at("away"), folder_.at("keys"));
  wait_for_polls();
  EXPECT_EQ(ask(signer_), 200U);
  TearDown();
  for (const Row& row : rows) EXPECT_TRUE(logged("keys/other.json: ") && logged(row.what)) << row.what;
  EXPECT_LE(log_lines_.size(), 8U);  // each once, however often the folder was polled
  for (const std::string& line : log_lines_)
    EXPECT_EQ(line.find(signer_.key.jwk_members(true).substr(60)), std::string::npos);
}

TEST_F(AccessConfigLoaderTest, PermissionsAreReloadedAsAWholeOrNotAtAll) {
  write_operator_file(", path_groups: [\"look\"]", "1h");
  write_key_set({signer_.entry()});
  start_router();
  EXPECT_EQ(ask(signer_), 200U);
  write_operator_file(", path_groups: [\"lok\"]", "1h");
  run_on_loop([&] { loader_->reload(); });
  usleep(100000);
  EXPECT_EQ(ask(signer_), 200U);
  write_operator_file(", path_groups: [\"pay\"]", "1h");
  run_on_loop([&] {
    for (int i = 0; i < 50; ++i) loader_->reload();  // many signals at once load it twice
  });
  usleep(150000);
  EXPECT_EQ(ask(signer_), 403U);
  TearDown();
  EXPECT_TRUE(logged("o.cue:1:"));
  EXPECT_TRUE(logged("no path group is called lok"));
  EXPECT_EQ(std::count_if(log_lines_.begin(), log_lines_.end(),
                          [](const auto& l) { return l.find("read again") != std::string::npos; }),
            2);
}

TEST_F(AccessConfigLoaderTest, AFileThatCantBeUsedAtTheStartThrows) {
  write_operator_file(", path_groups: [\"lok\"]");
  write_key_set({});
  service_ = std::make_unique<Service>(
      loop_, limits_, settings_, wire_settings_,
      InstanceSettings{"n", "127.0.0.1:0", discovery_.address(), release_platform_.address(), 7, "", ""},
      [](std::string_view) {});
  EXPECT_THROW(AccessConfigLoader(loop_, *service_, wire_settings_, settings_, folder_.at("o.cue"), 7,
                                  [](std::string_view) {}),
               OperatorConfigError);
  service_.reset();
}

TEST(KeysCommand, KeysItWritesAreThoseThatRoutersRead) {
  const Folder folder;
  KeysOptions o;
  o.folder = folder.at("ring"), o.kid = "a";
  EXPECT_EQ(keys_new(o), 0);
  EXPECT_EQ(keys_new(o), 1);  // called so already
  o.kid = "../a";
  EXPECT_EQ(keys_new(o), 1);
  o.kid = "b", o.algorithm = "ES256";
  EXPECT_EQ(keys_new(o), 0);
  o.kid = "a";
  EXPECT_EQ(keys_revoke(o), 0);
  o.kid = "b";
  EXPECT_EQ(keys_retire(o), 0);
  const KeyFolder read = read_key_folder(o.folder);
  ASSERT_EQ(read.keys.size(), 2U);
  EXPECT_TRUE(read.keys[0].revoked && !read.keys[1].revoked && read.keys[1].retired_at_unix_s > 0);
  EXPECT_FALSE(read.keys[0].key.is_private());
  struct stat about {};
  EXPECT_EQ(::stat((o.folder + "/private/a.json").c_str(), &about), 0);
  EXPECT_EQ(about.st_mode & 0777U, 0600U);
  o.subject = "r", o.tenant = "shop", o.kid = "none";
  EXPECT_EQ(keys_token(o), 1);
  o.kid = "b";
  testing::internal::CaptureStdout();
  EXPECT_EQ(keys_token(o), 0);
  const std::string token = testing::internal::GetCapturedStdout();
  const auto jws = tokens::parse_jws(std::string_view(token).substr(0, token.size() - 1));
  ASSERT_TRUE(jws);
  EXPECT_TRUE(read.keys[1].key.verify(jws->signed_bytes, jws->signature));
  ::chmod((o.folder + "/private/b.json").c_str(), 0644);
  EXPECT_EQ(keys_token(o), 1);  // others may read it
}

TEST(MetadataCommand, ChecksAFolderAsAClientWould) {
  const Folder folder;
  using namespace metadata;
  Publisher p(Instant::at_us(4'000'000'000'000'000));
  p.target_contents["targets"]["app"] = "1";
  p.delegations.push_back(
      {"targets", "part", {{SigningKey::generate(SigningKey::Kind::kEcdsa)}, 1}, {"p/*"}, {}, false, {}, 1});
  const auto put = [&] {
    for (const auto& [name, bytes] : p.files()) write_file(folder.at(name), bytes, 0644);
  };
  put();
  const std::string pinned = folder.at("1.root.json");
  testing::internal::CaptureStdout();
  EXPECT_EQ(metadata_check(pinned, folder.path), 0);
  EXPECT_EQ(metadata_show(folder.at("timestamp.json")), 0);
  const std::string out = testing::internal::GetCapturedStdout();
  EXPECT_NE(out.find("1.part.json: good\n"), std::string::npos) << out;
  EXPECT_NE(out.find("timestamp 1, expires 2096-10-02T07:06:40Z, 1 signatures"), std::string::npos) << out;
  const auto old = p.roles["root"];
  p.versions["root"] = 2, p.roles["root"].keys = {SigningKey::generate(SigningKey::Kind::kEd25519)};
  put();  // without the former keys
  testing::internal::CaptureStderr();
  EXPECT_EQ(metadata_check(pinned, folder.path), 1);
  EXPECT_EQ(testing::internal::GetCapturedStderr(),
            "ashbeam metadata: 2.root.json: threshold root by the trusted root: 0 of 1 distinct keys (TUF "
            "5.3.4)\n");
  write_file(folder.at("2.root.json"), p.root_file(&old), 0644);
  testing::internal::CaptureStdout();
  EXPECT_EQ(metadata_check(pinned, folder.path), 0);
  testing::internal::GetCapturedStdout();
  ::unlink(folder.at("1.part.json").c_str());
  EXPECT_EQ(metadata_check(pinned, folder.path), 1);
  EXPECT_EQ(metadata_show(folder.at("nothing")), 1);
}

TEST(JsonLog, EachLineIsOneObjectHoweverLongOrOddItsText) {
  JsonLineFormatter formatter;
  for (const std::string& text : {std::string("plain"), std::string("quote \" and \n and \x01"),
                                  std::string(5000, '"'), std::string(5000, 'x')}) {
    spdlog::details::log_msg msg("n", spdlog::level::info, text);
    spdlog::memory_buf_t line;
    formatter.format(msg, line);
    ASSERT_LE(line.size(), 1024U);
    ASSERT_EQ(line.data()[line.size() - 1], '\n');
    const auto json = Json::parse(std::string_view(line.data(), line.size() - 1));
    ASSERT_TRUE(json && json->is_object());
    EXPECT_TRUE(text.starts_with(json->text("text")));
    EXPECT_GT(json->number("time", 0), 1e9);
  }
}

TEST(Worker, LeavesAJobBehindThatDoesNotEnd) {
  EventLoop loop;
  std::promise<void> never;
  const auto begin = loop.now();
  {
    Worker worker(loop);
    auto hangs = never.get_future().share();
    worker.submit([hangs]() -> std::function<void()> {
      hangs.wait();
      return [] { ADD_FAILURE() << "answered though its worker is gone"; };
    });
    usleep(20000);
  }
  EXPECT_LT(loop.now() - begin, Duration::s(2));
  never.set_value();
  usleep(20000);
}

}  // namespace
}  // namespace ashbeam
