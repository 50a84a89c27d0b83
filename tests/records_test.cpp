// Tests of typed records: the schema's defaults, the message and position of each problem, hostile files, and
// the operator's file as one use of them.
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

TEST(Records, TakesDefaultsFromSchema) {
  const CheckedFile checked = check_against_schema(
      kSchema, "#File", "name: \"a\"\nshops: [{name: \"b\"}, {name: \"c\", tall: true}]\nshare: 0.5");
  ASSERT_TRUE(checked.problems.empty()) << records::format_problems("f", checked.problems);
  EXPECT_EQ(checked.value["mode"].text, "off");
  EXPECT_EQ(checked.value["wait"].duration(), Duration::s(5));
  EXPECT_EQ(checked.value["count"].number, 3);
  EXPECT_EQ(checked.value["size"]["wide"].number, 7);
  EXPECT_EQ(checked.value["share"].number, 0.5);
  ASSERT_EQ(checked.value["shops"].items.size(), 2U);
  EXPECT_TRUE(checked.value["shops"].items[1]["tall"].boolean);
  EXPECT_FALSE(check_against_schema(kSchema, "#File", "name: \"a\"").value["share"].is_given());
}

TEST(Records, MergesDefinitionsOfFileAndReportsContradiction) {
  const CheckedFile checked = check_against_schema(
      kSchema, "#File", "#T: {tall: true}\nname: \"a\", shops: [#T & {name: \"b\"}, {name: \"c\"} & #T]");
  ASSERT_TRUE(checked.problems.empty()) << records::format_problems("f", checked.problems);
  EXPECT_TRUE(checked.value["shops"].items[0]["tall"].boolean &&
              checked.value["shops"].items[1]["tall"].boolean);
  EXPECT_EQ(problems_of("#T: {tall: true}\nname: \"a\", shops: [#T & {name: \"b\", tall: false}]"),
            "f:2:43: shops.0.tall: wanted true as in an earlier operand of &, found false");
}

TEST(Records, ReportsEachProblemWithItsPosition) {
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
       "f:2:1: name: wanted each field at most once, found a second name (the first is on line 1)"},
      {"name: \"a\nb\"",
       "f:1:7: name: wanted a string closed on the same line, found an invalid string\n"
       "f:2:2: b: wanted a string closed on the same line, found an invalid string"},
      {"name: #No",
       "f:1:7: name: wanted the name of a definition in this file, found #No\nf:1:7: name: wanted string, "
       "found nothing"},
      {"name: on", "f:1:7: name: wanted a value (strings must be quoted), found on"},
      {"name: >3",
       "f:1:7: name: wanted a value, found the type or bound >\nf:1:7: name: wanted string, found nothing"},
      {"name: 1e400", "f:1:7: name: wanted a number of at most 9e15, found 1e400"},
  };
  for (const Row& row : rows) EXPECT_EQ(problems_of(row.file), row.problems) << row.file;
}

TEST(Records, ReportsAllProblemsAtOnceInOrderOfPosition) {
  EXPECT_EQ(problems_of("count: 0\nshops: [1, {name: 2}]\nshare: \"x\""),
            "f:1:1: name: wanted string, found nothing\n"
            "f:1:8: count: wanted 3 | int & >=1, found 0\n"
            "f:2:9: shops.0: wanted a record, found 1\n"
            "f:2:19: shops.1.name: wanted string, found 2\n"
            "f:3:8: share: wanted number, found \"x\"");
}

TEST(Records, RejectsHostileFilesWithinTenSeconds) {
  std::string doubling = "#A0: {name: \"a\"}\n";
  for (int i = 1; i < 30; ++i) {
    const std::string previous = "#A" + std::to_string(i - 1);
    doubling.append("#A" + std::to_string(i) + ": [" + previous + ", " + previous + "]\n");
  }
  std::string long_list = "shops: [";
  for (int i = 0; i < 200'000; ++i) long_list += "1,";
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
      long_list + "]",
      std::string(200'000, '\0'),
      "name: \"" + std::string(900'000, '\xff') + "\"",
      "a: 1 & " + std::string(100'000, '&'),
  };
  const auto begin = std::chrono::steady_clock::now();
  for (const std::string& file : files) {
    const CheckedFile checked = check_against_schema(kSchema, "#File", file);
    EXPECT_FALSE(checked.problems.empty()) << file.substr(0, 30);
    EXPECT_LE(checked.problems.size(), records::kMaxProblems);
  }
  EXPECT_LT(std::chrono::steady_clock::now() - begin, std::chrono::seconds(10));
}

// Reads each prefix of a valid file. None may crash the parser, and one that ends within a field must be
// rejected.
TEST(Records, ReadsEachPrefixOfValidFileAndRejectsOneWithinField) {
  const std::string valid_file =
      "name: \"a\"\nshops: [{name: \"b\", tall: true}]\nwait: \"2s\" // so\nsize: {wide: 4}\n";
  for (std::size_t length = 0; length < valid_file.size(); ++length)
    problems_of(valid_file.substr(0, length));
  EXPECT_EQ(problems_of(valid_file), "");
  EXPECT_NE(problems_of(valid_file.substr(0, valid_file.find("true"))), "");
}

// ---- The operator's file ----

std::string operator_file_problems(const std::string& text) {
  Deployment deployment;
  deployment.wire.request_classes = {"look"};
  deployment.wire.tenants = {"shop"};
  try {
    parse_operator_config(text, "o.cue", &deployment);
  } catch (const OperatorConfigError& error) {
    return error.what();
  }
  return "";
}

TEST(OperatorFile, ReadsTenantsSubjectsAndLimits) {
  const OperatorConfig config = parse_operator_config(
      "calling: {prove: \"required\", tokens: {keys: \"k\"}, tenants: [{name: \"shop\", each: {per_s: 5, "
      "burst: 2}, "
      "subjects: [{name: \"app-*\", limit: {in_hand: 3}}]}]}",
      "dir/o.cue", nullptr);
  ASSERT_TRUE(config.calling && !config.tls);
  EXPECT_EQ(config.calling->key_folder, "dir/k");
  EXPECT_TRUE(config.calling->settings.requires_authentication);
  EXPECT_EQ(config.calling->settings.tenants[0].subject_limit, (calling::Limit{5, 2, 0}));
  EXPECT_EQ(config.calling->settings.tenants[0].subjects[0].limit->max_in_flight, 3U);
  EXPECT_EQ(operator_file_problems(""), "");
}

TEST(OperatorFile, RejectsContradictorySettings) {
  EXPECT_EQ(operator_file_problems("calling: {prove: \"required\"}"),
            "o.cue:1:10: calling.prove: wanted tokens or tls.clients, because clients could not authenticate "
            "otherwise, found neither");
  EXPECT_EQ(
      operator_file_problems("calling: {tenants: [{name: \"a\", path_groups: [\"lok\"]}]}"),
      "o.cue:1:20: calling.tenants: wanted valid tenants, found tenant a: path group lok is not defined");
  EXPECT_NE(operator_file_problems("calling: {tenants: [{name: \"a\"}, {name: \"a\"}]}")
                .find("tenant a is listed twice"),
            std::string::npos);
  EXPECT_NE(operator_file_problems(
                "tls: {listen: \"host:1\", certificate: \"c\", key: \"k\", clients: \"required\"}")
                .find("tls.trust"),
            std::string::npos);
}

}  // namespace
}  // namespace ashbeam
