// Reading the environment variables and the configuration file at startup.
#include <gtest/gtest.h>

#include "program/router_limits.hpp"
#include "program/startup_configuration.hpp"
#include "terms/router_settings_reader.hpp"

namespace ashbeam {
namespace {

TEST(Environment, ErrorNamesMissingOrMalformedSetting) {
  const auto error_of = [](const std::string& text) {
    try {
      read_router_settings(parse_startup_configuration(text, {}).settings);
    } catch (const std::runtime_error& error) {
      return std::string(error.what());
    }
    return std::string();
  };
  EXPECT_NE(error_of("{").find("not a JSON object"), std::string::npos);
  EXPECT_NE(error_of("{}").find("'settings'"), std::string::npos);
  EXPECT_NE(error_of(R"({"settings":{}})").find("'release_api.address'"), std::string::npos);
  const std::string valid_start = R"({"seed":"8c1f","release_api":{"address":"127.0.0.1:1"},"settings":)";
  EXPECT_NE(error_of(valid_start + "{}}").find("'grades.count'"), std::string::npos);
  EXPECT_NE(error_of(valid_start + R"({"grades":[{"effect":"odd"}]}})").find("effect"), std::string::npos);
  const std::string platform_start = R"("seed":"8c1f","settings":{},"release_api":{"address":)";
  EXPECT_NE(error_of("{" + platform_start + R"("platform:1"}})")
                .find("'release_api.address' is 'platform:1', expected a numeric address"),
            std::string::npos);
  EXPECT_NE(error_of(R"({"discovery":"10.1",)" + platform_start + R"("1.2.3.4:5"}})")
                .find("'discovery' is '10.1', expected a numeric address"),
            std::string::npos);
  EXPECT_EQ(
      parse_startup_configuration(R"({"discovery":"1.2.3.4:6",)" + platform_start + R"("1.2.3.4:5"}})", {})
          .instance.discovery_address,
      "1.2.3.4:6");
  try {
    read_startup_configuration([](const char*) -> const char* { return nullptr; });
    FAIL();
  } catch (const ConfigurationError& error) {
    EXPECT_STREQ(error.what(), "environment variable PROXY_NAME is not set or empty");
  }
}

TEST(Environment, FlattensNestedSettingsToDottedKeys) {
  const SettingsMap settings = flatten_settings(*Json::parse(
      R"({"tickMs":5.0,"allowed":{"cancel":true},"zones":["a b","c"],"grades":[{"name":"x","worth":2}],"no":[]})"));
  EXPECT_EQ(settings.number("tickMs"), 5.0);
  EXPECT_TRUE(settings.boolean("allowed.cancel"));
  EXPECT_EQ(settings.text_list("zones"), (std::vector<std::string>{"a_b", "c"}));
  EXPECT_EQ(settings.count("grades.count"), 1U);
  EXPECT_EQ(settings.text("grades.0.name"), "x");
  EXPECT_TRUE(settings.number_list("no").empty());
}

}  // namespace
}  // namespace ashbeam
