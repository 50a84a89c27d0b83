// Typed records: defaults, the position of each problem, and hostile files.
#include <gtest/gtest.h>

#include <chrono>

#include "program/operator_config.hpp"
#include "records/limits.hpp"
#include "records/schema.hpp"
#include "store/files.hpp"

namespace ashbeam {
namespace {

using records::check_against_schema;
using records::CheckedFile;

constexpr std::string_view kSchema = R"(
#File: {
	name:   string & !=""
	mode:   *"off" | "on" // a comment
	wait:   *"5s" | (span & >="1ms" & <="1m")
	share?: number & >0 & <=1
	count:  *3 | (int & >=1)
	shops:  [...#Shop]
	size:   #Size
}
#Shop: {name: string, tall: *false | bool}
#Size: {wide: *7 | int}
)";

std::string problems_of(std::string_view file) {
  return records::format_problems("f", check_against_schema(kSchema, "#File", file).problems);
}

TEST(Records, DefaultsAreTakenFromTheSchema) {
  const CheckedFile c = check_against_schema(
      kSchema, "#File", "name: \"a\"\nshops: [{name: \"b\"}, {name: \"c\", tall: true}]\nshare: 0.5");
  ASSERT_TRUE(c.problems.empty()) << records::format_problems("f", c.problems);
  EXPECT_EQ(c.value["mode"].text, "off");
  EXPECT_EQ(c.value["wait"].duration(), Duration::s(5));
  EXPECT_EQ(c.value["count"].number, 3);
  EXPECT_EQ(c.value["size"]["wide"].number, 7);
  EXPECT_EQ(c.value["share"].number, 0.5);
  ASSERT_EQ(c.value["shops"].items.size(), 2U);
  EXPECT_TRUE(c.value["shops"].items[1]["tall"].boolean);
  EXPECT_FALSE(check_against_schema(kSchema, "#File", "name: \"a\"").value["share"].is_given());
}

TEST(Records, DefinitionsOfTheFileAreMerged) {
  const CheckedFile c = check_against_schema(
      kSchema, "#File", "#T: {tall: true}\nname: \"a\", shops: [#T & {name: \"b\"}, {name: \"c\"} & #T]");
  ASSERT_TRUE(c.problems.empty()) << records::format_problems("f", c.problems);
  EXPECT_TRUE(c.value["shops"].items[0]["tall"].boolean && c.value["shops"].items[1]["tall"].boolean);
  EXPECT_EQ(problems_of("#T: {tall: true}\nname: \"a\", shops: [#T & {name: \"b\", tall: false}]"),
            "f:2:43: shops.0.tall: wanted true as before, found false");
}

TEST(Records, EachProblemIsReportedWithItsPosition) {
  struct Row {
    std::string_view file;
    std::string_view problems;
  } const rows[] = {
      {"mode: \"on\"", "f:1:1: name: wanted string, found nothing"},
      {"name: \"\"", "f:1:7: name: wanted !=\"\", found \"\""},
      {"name: \"a\"\nmode: \"maybe\"", "f:2:7: mode: wanted \"off\" | \"on\", found \"maybe\""},
      {"name: \"a\"\nwait: \"2h\"", "f:2:7: wait: wanted \"5s\" | span & >=\"1ms\" & <=\"1m\", found \"2h\""},
      {"name: \"a\"\nshare: 2", "f:2:8: share: wanted <=1, found 2"},
      {"name: \"a\"\ncount: 1.5", "f:2:8: count: wanted 3 | int & >=1, found 1.5"},
      {"name: \"a\"\nshops: [{name: \"b\", tail: 1}]",
       "f:2:21: shops.0.tail: wanted one of name, tall, found the field tail"},
      {"name: \"a\"\nshops: {}", "f:2:8: shops: wanted a list, found a record"},
      {"name: \"a\"\nname: \"b\"",
       "f:2:1: name: wanted each field once, found a second name (first on line 1)"},
      {"name: \"a\nb\"",
       "f:1:7: name: wanted a string that ends on its line, found something else\n"
       "f:2:2: b: wanted a string that ends on its line, found something else"},
      {"name: #No",
       "f:1:7: name: wanted a definition of this file, found #No\nf:1:7: name: wanted string, found nothing"},
      {"name: on", "f:1:7: name: wanted a value (strings stand in quotes), found on"},
      {"name: >3",
       "f:1:7: name: wanted a value, found the type >\nf:1:7: name: wanted string, found nothing"},
      {"name: 1e400", "f:1:7: name: wanted a number up to 9e15, found 1e400"},
  };
  for (const Row& row : rows) EXPECT_EQ(problems_of(row.file), row.problems) << row.file;
}

TEST(Records, AllProblemsAreReportedAtOnceInTheFilesOrder) {
  EXPECT_EQ(problems_of("count: 0\nshops: [1, {name: 2}]\nshare: \"x\""),
            "f:1:1: name: wanted string, found nothing\n"
            "f:1:8: count: wanted 3 | int & >=1, found 0\n"
            "f:2:9: shops.0: wanted a record, found 1\n"
            "f:2:19: shops.1.name: wanted string, found 2\n"
            "f:3:8: share: wanted number, found \"x\"");
}

TEST(Records, HostileFilesEndInAnErrorSoon) {
  std::string doubling = "#A0: {name: \"a\"}\n";
  for (int i = 1; i < 30; ++i) {
    const std::string before = "#A" + std::to_string(i - 1);
    doubling.append("#A" + std::to_string(i) + ": [" + before + ", " + before + "]\n");
  }
  std::string list = "shops: [";
  for (int i = 0; i < 200'000; ++i) list += "1,";
  const std::string files[] = {
      std::string(10'000'000, 'a'),
      "a: " + std::string(500'000, '['),
      "a: " + std::string(500'000, '('),
      std::string(400'000, '{'),
      "a: " + std::string(900'000, '9'),
      "a: {" + std::string(300'000, '\n'),
      doubling + "shops: #A29",
      "#A: #B\n#B: #A\nname: #A",
      "#A: {x: #A}\nshops: [#A]",
      list + "]",
      std::string(200'000, '\0'),
      "name: \"" + std::string(900'000, '\xff') + "\"",
      "a: 1 & " + std::string(100'000, '&'),
  };
  const auto begin = std::chrono::steady_clock::now();
  for (const std::string& file : files) {
    const CheckedFile c = check_against_schema(kSchema, "#File", file);
    EXPECT_FALSE(c.problems.empty()) << file.substr(0, 30);
    EXPECT_LE(c.problems.size(), records::kMaxProblems);
  }
  EXPECT_LT(std::chrono::steady_clock::now() - begin, std::chrono::seconds(10));
}

TEST(Records, AnyCutOfAGoodFileIsReadToTheEnd) {  // no cut may crash, and no cut within a field is good
  const std::string whole =
      "name: \"a\"\nshops: [{name: \"b\", tall: true}]\nwait: \"2s\" // so\nsize: {wide: 4}\n";
  for (std::size_t n = 0; n < whole.size(); ++n) problems_of(whole.substr(0, n));
  EXPECT_EQ(problems_of(whole), "");
  EXPECT_NE(problems_of(whole.substr(0, whole.find("true"))), "");
}

// ---- The operator's file ----

std::string operator_file_problems(const std::string& text) {
  Deployment deployment;
  deployment.wire.request_classes = {"look"};
  deployment.wire.tenants = {"shop"};
  try {
    parse_operator_config(text, "o.cue", &deployment);
  } catch (const OperatorConfigError& e) {
    return e.what();
  }
  return "";
}

TEST(OperatorsFile, SaysWhoMayWhat) {
  const OperatorConfig o = parse_operator_config(
      "calling: {prove: \"required\", tokens: {keys: \"k\"}, tenants: [{name: \"shop\", each: {per_s: 5, "
      "burst: 2}, "
      "subjects: [{name: \"app-*\", limit: {in_hand: 3}}]}]}",
      "dir/o.cue", nullptr);
  ASSERT_TRUE(o.calling && !o.tls);
  EXPECT_EQ(o.calling->key_folder, "dir/k");
  EXPECT_TRUE(o.calling->settings.required);
  EXPECT_EQ(o.calling->settings.tenants[0].subject_limit, (calling::Limit{5, 2, 0}));
  EXPECT_EQ(o.calling->settings.tenants[0].subjects[0].limit->in_flight, 3U);
  EXPECT_EQ(operator_file_problems(""), "");
}

TEST(OperatorsFile, WhatContradictsItselfIsRefused) {
  EXPECT_EQ(
      operator_file_problems("calling: {prove: \"required\"}"),
      "o.cue:1:10: calling.prove: wanted tokens or tls.clients, or nobody can prove anything, found neither");
  EXPECT_EQ(
      operator_file_problems("calling: {tenants: [{name: \"a\", path_groups: [\"lok\"]}]}"),
      "o.cue:1:20: calling.tenants: wanted names that fit, found tenant a: no path group is called lok");
  EXPECT_NE(operator_file_problems("calling: {tenants: [{name: \"a\"}, {name: \"a\"}]}").find("stands twice"),
            std::string::npos);
  EXPECT_NE(operator_file_problems(
                "tls: {listen: \"host:1\", certificate: \"c\", key: \"k\", clients: \"required\"}")
                .find("tls.trust"),
            std::string::npos);
}

}  // namespace
}  // namespace ashbeam
