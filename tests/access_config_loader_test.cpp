// Reloading the operator file and key sets while the router runs, the commands `keys` and `metadata`, the
// JSON log format, and the worker thread that reads the files.
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

// A temporary folder with an empty folder `keys`.
struct TemporaryFolder {
  std::string path;
  TemporaryFolder() {
    char name[] = "/tmp/ashbeam-test-XXXXXX";
    path = ::mkdtemp(name);
    ::mkdir((path + "/keys").c_str(), 0755);
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path); }
  std::string path_of(const std::string& name) const { return path + "/" + name; }
};

class AccessConfigLoaderTest : public RouterTest {
 protected:
  TemporaryFolder folder_;
  std::unique_ptr<AccessConfigLoader> loader_;
  TokenSigner signer_{"k1", tokens::Algorithm::kEdDsa};
  std::vector<std::string> log_lines_;

  // Writes an operator file with the tenant "shop"; `tenant_fields` are further fields of the tenant, and
  // `poll_interval` that of the key folder.
  void write_operator_file(const std::string& tenant_fields, const std::string& poll_interval = "100ms") {
    write_file(folder_.path_of("o.cue"),
               "calling: {prove: \"required\", tokens: {keys: \"keys\", reread: \"" + poll_interval +
                   "\", audience: \"ashbeam\"}, tenants: [{name: \"shop\"" + tenant_fields + "}]}",
               0644);
  }
  void write_key_set(const std::vector<tokens::KeyEntry>& keys) const {
    write_file(folder_.path_of("keys/ring.json"), tokens::serialize_key_set(keys), 0644);
  }
  void start_router() {
    before_start_ = [this] {
      loader_ = std::make_unique<AccessConfigLoader>(
          loop_, *service_, wire_settings_, settings_, folder_.path_of("o.cue"), 7,
          [this](std::string_view line) { log_lines_.emplace_back(line); });
    };
    RouterTest::start_router(all_endpoints());
  }
  void TearDown() override {
    RouterTest::TearDown();
    loader_.reset();
  }
  // Sends a request with a token of `signer`, answers it if it reaches an endpoint, and returns the status
  // that the client receives.
  unsigned status_with_token_of(const TokenSigner& signer) {
    Stream client = connect_client();
    client.send(get(1500, "Authorization: Bearer " +
                              signer.make_token("shop", "r", loop_.now(), Duration::s(60)) + "\r\n"));
    Stream attempt = take_attempt(100);
    if (attempt.fd >= 0 && !attempt.read_message().empty()) attempt.send(kOkAnswer);
    return status_of(client.read_message());
  }
  // Three poll intervals of 100 ms, and a margin.
  void wait_for_polls() const { usleep(350000); }
  bool logged(const std::string& text) const {
    return std::any_of(log_lines_.begin(), log_lines_.end(),
                       [&](const auto& line) { return line.find(text) != std::string::npos; });
  }
};

TEST_F(AccessConfigLoaderTest, LoadsChangedKeySets) {
  write_operator_file("");
  write_key_set({signer_.entry()});
  start_router();
  const TokenSigner next("k2", tokens::Algorithm::kEs256);
  EXPECT_EQ(status_with_token_of(signer_), 200U);
  EXPECT_EQ(status_with_token_of(next), 401U);
  write_key_set({next.entry()});
  wait_for_polls();
  EXPECT_EQ(status_with_token_of(next), 200U);
  EXPECT_EQ(status_with_token_of(signer_), 200U);  // The removed key still verifies during its overlap.
  auto revoked = signer_.entry();
  revoked.revoked = true;
  write_key_set({next.entry(), revoked});
  run_on_loop([&] { loader_->reload(); });
  usleep(100000);
  EXPECT_EQ(status_with_token_of(signer_), 401U);
}

TEST_F(AccessConfigLoaderTest, KeepsFormerKeysAndLogsOnceIfKeyFolderIsUnusable) {
  write_operator_file("");
  write_key_set({signer_.entry()});
  start_router();
  const std::string valid = tokens::serialize_key_set({signer_.entry()});
  struct Case {
    std::string error, text;
    unsigned mode;
  } const cases[] = {
      {"expected a JSON object with an array 'keys'", valid.substr(0, valid.size() / 2), 0644},
      {"private key file is accessible by its group or by others",
       "{\"keys\":[{\"kid\":\"p\"," + signer_.key.jwk_members(true) + "}]}", 0644},
      {"'x' is not valid base64url", R"({"keys":[{"kty":"OKP","crv":"Ed25519","kid":"a","x":"*"}]})", 0644},
  };
  for (const Case& unusable : cases) {
    write_file(folder_.path_of("keys/other.json"), unusable.text, unusable.mode);
    wait_for_polls();
    EXPECT_EQ(status_with_token_of(signer_), 200U) << unusable.error;
  }
  ::unlink(folder_.path_of("keys/other.json").c_str());
  ::symlink("/nowhere", folder_.path_of("keys/other.json").c_str());
  wait_for_polls();
  EXPECT_EQ(status_with_token_of(signer_), 200U);
  ::unlink(folder_.path_of("keys/other.json").c_str());
  std::filesystem::rename(folder_.path_of("keys"), folder_.path_of("away"));
  wait_for_polls();
  EXPECT_EQ(status_with_token_of(signer_), 200U);
  std::filesystem::rename(folder_.path_of("away"), folder_.path_of("keys"));
  wait_for_polls();
  EXPECT_EQ(status_with_token_of(signer_), 200U);
  TearDown();
  for (const Case& unusable : cases)
    EXPECT_TRUE(logged("keys/other.json: ") && logged(unusable.error)) << unusable.error;
  EXPECT_LE(log_lines_.size(), 8U);  // Each error once, although the folder was polled several times.
  // No line contains the private key.
  for (const std::string& line : log_lines_)
    EXPECT_EQ(line.find(signer_.key.jwk_members(true).substr(60)), std::string::npos);
}

TEST_F(AccessConfigLoaderTest, ReloadAppliesValidOperatorFileAndRejectsInvalidOne) {
  write_operator_file(", path_groups: [\"look\"]", "1h");
  write_key_set({signer_.entry()});
  start_router();
  EXPECT_EQ(status_with_token_of(signer_), 200U);
  write_operator_file(", path_groups: [\"lok\"]", "1h");
  run_on_loop([&] { loader_->reload(); });
  usleep(100000);
  EXPECT_EQ(status_with_token_of(signer_), 200U);
  write_operator_file(", path_groups: [\"pay\"]", "1h");
  run_on_loop([&] {
    for (int i = 0; i < 50; ++i) loader_->reload();  // During a load many requests cause one more load.
  });
  usleep(150000);
  EXPECT_EQ(status_with_token_of(signer_), 403U);
  TearDown();
  EXPECT_TRUE(logged("o.cue:1:"));
  EXPECT_TRUE(logged("path group lok is not defined"));
  EXPECT_EQ(std::count_if(
                log_lines_.begin(), log_lines_.end(),
                [](const auto& line) { return line.find("operator file: reloaded") != std::string::npos; }),
            2);
}

TEST_F(AccessConfigLoaderTest, ThrowsIfOperatorFileIsInvalidAtStartup) {
  write_operator_file(", path_groups: [\"lok\"]");
  write_key_set({});
  service_ = std::make_unique<Service>(
      loop_, limits_, settings_, wire_settings_,
      InstanceSettings{"n", "127.0.0.1:0", discovery_.address(), release_platform_.address(), 7, "", ""},
      [](std::string_view) {});
  EXPECT_THROW(AccessConfigLoader(loop_, *service_, wire_settings_, settings_, folder_.path_of("o.cue"), 7,
                                  [](std::string_view) {}),
               OperatorConfigError);
  service_.reset();
}

TEST(KeysCommand, RoutersReadTheKeysThatItWrites) {
  const TemporaryFolder folder;
  KeysOptions options;
  options.folder = folder.path_of("ring"), options.kid = "a";
  EXPECT_EQ(keys_new(options), 0);
  EXPECT_EQ(keys_new(options), 1);  // The name exists.
  options.kid = "../a";
  EXPECT_EQ(keys_new(options), 1);
  options.kid = "b", options.algorithm = "ES256";
  EXPECT_EQ(keys_new(options), 0);
  options.kid = "a";
  EXPECT_EQ(keys_revoke(options), 0);
  options.kid = "b";
  EXPECT_EQ(keys_retire(options), 0);
  const KeyFolder read = read_key_folder(options.folder);
  ASSERT_EQ(read.keys.size(), 2U);
  EXPECT_TRUE(read.keys[0].revoked && !read.keys[1].revoked && read.keys[1].retired_at_unix_s > 0);
  EXPECT_FALSE(read.keys[0].key.is_private());
  struct stat status {};
  EXPECT_EQ(::stat((options.folder + "/private/a.json").c_str(), &status), 0);
  EXPECT_EQ(status.st_mode & 0777U, 0600U);
  options.subject = "r", options.tenant = "shop", options.kid = "none";
  EXPECT_EQ(keys_token(options), 1);
  options.kid = "b";
  testing::internal::CaptureStdout();
  EXPECT_EQ(keys_token(options), 0);
  const std::string token = testing::internal::GetCapturedStdout();
  const auto jws = tokens::parse_jws(std::string_view(token).substr(0, token.size() - 1));
  ASSERT_TRUE(jws);
  EXPECT_TRUE(read.keys[1].key.verify(jws->signed_bytes, jws->signature));
  ::chmod((options.folder + "/private/b.json").c_str(), 0644);
  EXPECT_EQ(keys_token(options), 1);  // Others may read the private key.
}

TEST(MetadataCommand, ChecksFolderLikeTufClient) {
  const TemporaryFolder folder;
  using namespace metadata;
  Publisher publisher(Instant::at_us(4'000'000'000'000'000));
  publisher.target_contents["targets"]["app"] = "1";
  publisher.delegations.push_back(
      {"targets", "part", {{SigningKey::generate(SigningKey::Kind::kEcdsa)}, 1}, {"p/*"}, {}, false, {}, 1});
  const auto write_files = [&] {
    for (const auto& [name, bytes] : publisher.files()) write_file(folder.path_of(name), bytes, 0644);
  };
  write_files();
  const std::string pinned = folder.path_of("1.root.json");
  testing::internal::CaptureStdout();
  EXPECT_EQ(metadata_check(pinned, folder.path), 0);
  EXPECT_EQ(metadata_show(folder.path_of("timestamp.json")), 0);
  const std::string output = testing::internal::GetCapturedStdout();
  EXPECT_NE(output.find("1.part.json: valid\n"), std::string::npos) << output;
  EXPECT_NE(output.find("timestamp 1, expires 2096-10-02T07:06:40Z, 1 signatures"), std::string::npos)
      << output;
  const auto old_root = publisher.roles["root"];
  publisher.versions["root"] = 2,
  publisher.roles["root"].keys = {SigningKey::generate(SigningKey::Kind::kEd25519)};
  write_files();  // The new root is not signed with the keys of the old one.
  testing::internal::CaptureStderr();
  EXPECT_EQ(metadata_check(pinned, folder.path), 1);
  EXPECT_EQ(testing::internal::GetCapturedStderr(),
            "ashbeam metadata: 2.root.json: threshold root by the trusted root: 0 of 1 distinct keys (TUF "
            "5.3.4)\n");
  write_file(folder.path_of("2.root.json"), publisher.root_file(&old_root), 0644);
  testing::internal::CaptureStdout();
  EXPECT_EQ(metadata_check(pinned, folder.path), 0);
  testing::internal::GetCapturedStdout();
  ::unlink(folder.path_of("1.part.json").c_str());
  EXPECT_EQ(metadata_check(pinned, folder.path), 1);
  EXPECT_EQ(metadata_show(folder.path_of("nothing")), 1);
}

TEST(JsonLog, WritesOneObjectPerLineForLongTextsAndControlCharacters) {
  JsonLineFormatter formatter;
  for (const std::string& text : {std::string("plain"), std::string("quote \" and \n and \x01"),
                                  std::string(5000, '"'), std::string(5000, 'x')}) {
    spdlog::details::log_msg message("n", spdlog::level::info, text);
    spdlog::memory_buf_t line;
    formatter.format(message, line);
    ASSERT_LE(line.size(), 1024U);
    ASSERT_EQ(line.data()[line.size() - 1], '\n');
    const auto json = Json::parse(std::string_view(line.data(), line.size() - 1));
    ASSERT_TRUE(json && json->is_object());
    EXPECT_TRUE(text.starts_with(json->text("text")));
    EXPECT_GT(json->number("time", 0), 1e9);
  }
}

// A task that hangs in a file system must not keep the program from ending.
TEST(Worker, DestructorReturnsWhileTaskHangs) {
  EventLoop loop;
  std::promise<void> release_task;
  const auto begin = loop.now();
  {
    Worker worker(loop);
    auto released = release_task.get_future().share();
    worker.submit([released]() -> std::function<void()> {
      released.wait();
      return [] { ADD_FAILURE() << "completion ran although the worker was destroyed"; };
    });
    usleep(20000);
  }
  EXPECT_LT(loop.now() - begin, Duration::s(2));
  release_task.set_value();
  usleep(20000);
}

}  // namespace
}  // namespace ashbeam
