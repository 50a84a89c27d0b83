// Tests of the strict JSON parser and of the canonical form that is signed.
#include <gtest/gtest.h>

#include "metadata/json.hpp"

namespace ashbeam::metadata {
namespace {

TEST(MetadataJson, WritesCanonicalFormAndRejectsAmbiguousOrMalformedText) {
  std::string error;
  const auto node = parse_json(R"( {"b": [1, -2, true, null], "a": "q\"\\\u00e9\n"} )", {}, error);
  ASSERT_TRUE(node) << error;
  EXPECT_EQ(node->to_canonical_json(), "{\"a\":\"q\\\"\\\\\xc3\xa9\n\",\"b\":[1,-2,true,null]}");
  JsonLimits few_nodes;
  few_nodes.max_nodes = 50;
  for (const std::string& malformed :
       {std::string(R"({"a":1,"a":1})"), std::string(R"({"a":1e0})"), std::string(R"({"a":1.0})"),
        std::string("{} x"), std::string("{}{}"), std::string("{\"a\":\"\xff\"}"),
        std::string("{\"a\":\"\xed\xa0\x80\"}"), std::string(65536, '['),
        std::string(R"({"a":18446744073709551615})"), std::string("[1,]"), std::string(""),
        std::string(R"({"a":01})"), "[" + std::string(200, '1') + "]", std::string(R"({"a":)"),
        std::string("{\"a\":\"\x01\"}")}) {
    EXPECT_FALSE(parse_json(malformed, {}, error)) << malformed.substr(0, 40);
    EXPECT_FALSE(error.empty());
  }
  std::string too_many_nodes = "[0";
  for (int i = 0; i < 60; ++i) too_many_nodes += ",0";
  EXPECT_FALSE(parse_json(too_many_nodes + "]", few_nodes, error));
}

}  // namespace
}  // namespace ashbeam::metadata
