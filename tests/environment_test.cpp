// The start: variables and the configuration file.
#include <gtest/gtest.h>

#include "program/router_limits.hpp"
#include "program/startup_configuration.hpp"
#include "terms/router_settings_reader.hpp"

namespace ashbeam {
namespace {

TEST(Environment, MissingSettingsAreNamed) {
  const auto complaint = [](const std::string& text) {
    try {
      read_router_settings(parse_startup_configuration(text, {}).settings);
    } catch (const std::runtime_error& e) {
      return std::string(e.what());
    }
    return std::string();
  };
  EXPECT_NE(complaint("{").find("not a JSON object"), std::string::npos);
  EXPECT_NE(complaint("{}").find("'settings'"), std::string::npos);
  EXPECT_NE(complaint(R"({"settings":{}})").find("'release_api.address'"), std::string::npos);
  const std::string start = R"({"seed":"8c1f","release_api":{"address":"127.0.0.1:1"},"settings":)";
  EXPECT_NE(complaint(start + "{}}").find("'grades.count'"), std::string::npos);
  EXPECT_NE(complaint(start + R"({"grades":[{"effect":"odd"}]}})").find("effect"), std::string::npos);
  const std::string rest = R"("seed":"8c1f","settings":{},"release_api":{"address":)";
  EXPECT_NE(complaint("{" + rest + R"("platform:1"}})").find("'release_api.address' is no numeric"),
            std::string::npos);
  EXPECT_NE(
      complaint(R"({"discovery":"10.1",)" + rest + R"("1.2.3.4:5"}})").find("'discovery' is no numeric"),
      std::string::npos);
  EXPECT_EQ(parse_startup_configuration(R"({"discovery":"1.2.3.4:6",)" + rest + R"("1.2.3.4:5"}})", {})
                .instance.discovery_address,
            "1.2.3.4:6");
  try {
    read_startup_configuration([](const char*) -> const char* { return nullptr; });
    FAIL();
  } catch (const ConfigurationError& e) {
    EXPECT_STREQ(e.what(), "PROXY_NAME is not set");
  }
}

TEST(Environment, NestedSettingsBecomePaths) {
  const SettingsMap pairs = flatten_settings(*Json::parse(
      R"({"tickMs":5.0,"allowed":{"cancel":true},"zones":["a b","c"],"grades":[{"name":"x","worth":2}],"no":[]})"));
  EXPECT_EQ(pairs.number("tickMs"), 5.0);
  EXPECT_TRUE(pairs.boolean("allowed.cancel"));
  EXPECT_EQ(pairs.text_list("zones"), (std::vector<std::string>{"a_b", "c"}));
  EXPECT_EQ(pairs.count("grades.count"), 1U);
  EXPECT_EQ(pairs.text("grades.0.name"), "x");
  EXPECT_TRUE(pairs.number_list("no").empty());
}

}  // namespace
}  // namespace ashbeam
