// The parsers: every split point, the bad-input table, and generated garbage.
#include <gtest/gtest.h>

#include <random>

#include "protocol/http.hpp"
#include "protocol/json.hpp"
#include "protocol/lines.hpp"

namespace ashbeam {
namespace {

using http::Messages;

// What one message and then another come to, fed in two pieces split at `at`; -1 where it is not whole.
int outcome(Messages& messages, std::string_view first, std::string_view second = {}) {
  for (std::string_view piece : {first, second}) {
    const auto got = messages.feed(piece);
    if (got == Messages::Got::kBad) return static_cast<int>(messages.fault());
    if (got == Messages::Got::kWhole) return 0;
  }
  return -1;
}

TEST(Http, AMessageIsTheSameAtEverySplit) {
  const std::string plain =
      "POST /book/7?x=1 HTTP/1.1\r\nHost: a\r\ncontent-length:  5 \r\nX-Odd:\r\n\r\nhello";
  const std::string chunked =
      "POST /book HTTP/1.1\r\nTransfer-Encoding: "
      "Chunked\r\n\r\n3;ext=1\r\nabc\r\n1f\r\n0123456789012345678901234567890"
      "\r\n0\r\nTrailer: x\r\n\r\n";
  for (const std::string& text : {plain, chunked}) {
    const std::string body = text.substr(text.find("\r\n\r\n") + 4);
    for (std::size_t at = 0; at <= text.size(); ++at) {
      Messages m(Messages::Side::kRequests, 1024, 1024);
      ASSERT_EQ(outcome(m, text.substr(0, at), text.substr(at)), 0) << at;
      EXPECT_EQ(m.raw_body(), body) << at;
      EXPECT_EQ(m.head().word(0), "POST");
    }
  }
}

TEST(Http, OneByteAtATimeAndTheNextMessageStaysUnread) {
  const std::string text =
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\nA: b, close\r\n\r\nokHTTP/1.1";
  Messages m(Messages::Side::kAnswers, 256, 256);
  std::size_t used = 0;
  while (used < text.size()) {
    std::string_view one = std::string_view(text).substr(used, 1);
    const auto got = m.feed(one);
    ASSERT_NE(got, Messages::Got::kBad);
    ++used;
    if (got == Messages::Got::kWhole) break;
  }
  EXPECT_EQ(text.substr(used), "HTTP/1.1");
  EXPECT_EQ(m.status(), 200U);
  EXPECT_EQ(m.raw_body(), "ok");
  EXPECT_TRUE(m.head().says("a", "CLOSE"));
  EXPECT_FALSE(m.last());
}

TEST(Http, BadRequestsAreNamed) {
  const std::string ok = "GET / HTTP/1.1\r\n";
  const std::pair<std::string, int> table[] = {
      {ok + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na", 400},
      {ok + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
      {ok + "Content-Length: +1\r\n\r\na", 400},
      {ok + "Content-Length: -1\r\n\r\na", 400},
      {ok + "Content-Length: 1\r\nTransfer-Encoding:\x0b" + "chunked\r\n\r\n", 400},
      {ok + "transfer-encoding:chunked\r\nCONTENT-LENGTH:3\r\n\r\n", 400},
      {ok + "Transfer-Encoding : chunked\r\n", 400},  // at the line's end, not the head's
      {"\x01noise", 400},
      {"/ HTTP/1.1", 400},
      {ok + "Content-Length: 1,1\r\n\r\na", 400},
      {ok + "Content-Length: 99999999999999999999\r\n\r\n", 400},
      {ok + "Content-Length: 65\r\n\r\n", 413},
      {ok + "Transfer-Encoding: gzip\r\n\r\n", 501},
      {ok + "Transfer-Encoding: chunked\r\n\r\nx\r\n", 400},
      {ok + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc", 400},
      {ok + "Transfer-Encoding: chunked\r\n\r\n41\r\n", 413},
      {ok + "Transfer-Encoding: chunked\r\n\r\n000000001\r\n", 413},
      {ok + "Transfer-Encoding: chunked\r\n\r\n1;" + std::string(80, 'x'), 413},
      {ok + "No Colon\r\n\r\n", 400},
      {ok + "Space : x\r\n\r\n", 400},
      {ok + " folded\r\n\r\n", 400},
      {"GET / HTTP/1.1\nHost: a\n\n", 400},
      {"GET / HTTP/1.1\rHost: a\r\n\r\n", 400},
      {std::string("GET /\0 HTTP/1.1\r\n\r\n", 19), 400},
      {"GET  / HTTP/1.1\r\n\r\n", 400},
      {"GET / HTTP/2.0\r\n\r\n", 505},
      {"GET /\r\n\r\n", 400},
      {"nonsense\r\n\r\n", 400},
      {ok + std::string(300, 'a'), 431},
  };
  for (const auto& [text, fault] : table) {
    for (std::size_t at = 0; at <= text.size(); at += 3) {
      Messages m(Messages::Side::kRequests, 256, 64);
      EXPECT_EQ(outcome(m, text.substr(0, at), text.substr(at)), fault) << text;
    }
  }
}

TEST(Http, AnAnswerMayEndWithItsStream) {
  Messages m(Messages::Side::kAnswers, 256, 64);
  EXPECT_EQ(outcome(m, "HTTP/1.1 200 OK\r\n\r\npart"), -1);
  EXPECT_EQ(m.stream_ended(), Messages::Got::kWhole);
  EXPECT_EQ(m.raw_body(), "part");
  EXPECT_TRUE(m.last());
  m.next();
  EXPECT_EQ(outcome(m, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart"), -1);
  EXPECT_EQ(m.stream_ended(), Messages::Got::kBad);
  m.next();
  EXPECT_EQ(outcome(m, "HTTP/1.1 2x0 OK\r\n\r\n"), 400);
}

TEST(Json, ValuesAreReadInPlace) {
  const std::string text =
      R"( {"a":[1,-2.5e1,{"b":"x\"\u00e9\ud83d\ude00\ud800"}], "t":true ,"n":null,"e":{},"l":[],"a2":"\n"} )";
  const auto json = Json::parse(text);
  ASSERT_TRUE(json);
  std::vector<std::string> items;
  json->member("a")->each_item([&](const Json& v) { items.emplace_back(v.raw()); });
  ASSERT_EQ(items.size(), 3U);
  EXPECT_EQ(Json::parse(items[1])->number(), -25.0);
  EXPECT_EQ(Json::parse(items[2])->text("b"), "x\"\xc3\xa9\xf0\x9f\x98\x80\xef\xbf\xbd");
  EXPECT_EQ(json->member("t")->truth(), true);
  EXPECT_EQ(json->number("n", 7), 7);
  EXPECT_EQ(json->text("a2"), "\n");
  EXPECT_FALSE(json->member("none"));
  EXPECT_EQ(Json::parse(json_text("q\"\\\x01z"))->text(), "q\"\\\x01z");
}

TEST(Json, WhatIsNoneIsRefused) {
  for (const char* text : {"",    "{",     "{\"a\"}", "{\"a\":}", "[1,]",        "[1 2]",       "01",
                           "1.",  "-",     "1e",      "\"\\x\"",  "\"\\u12g4\"", "\"a\nb\"",    "tru",
                           "{}x", "{a:1}", "\"open",  "\"\xff\"", "\"\xc3\"",    "\"\xe2\x82\""}) {
    EXPECT_FALSE(Json::parse(text)) << text;
  }
  EXPECT_FALSE(Json::parse(std::string(100, '[') + std::string(100, ']')));
  EXPECT_FALSE(Json::parse("1e999")->number());
}

TEST(Lines, AnySplitAndABound) {
  const std::string text = "one\r\n\ntwo\nrest";
  for (std::size_t at = 0; at <= text.size(); ++at) {
    Lines lines(8);
    std::vector<std::string> got;
    for (const std::string& piece : {text.substr(0, at), text.substr(at)}) {
      ASSERT_TRUE(lines.feed(piece, [&](std::string_view line) { return got.emplace_back(line), true; }));
    }
    EXPECT_EQ(got, (std::vector<std::string>{"one", "", "two"}));
  }
  Lines lines(8);
  EXPECT_FALSE(lines.feed("012345678", [](std::string_view) { return true; }));
}

// Pieces of good input shuffled with noise: nothing may crash, read outside, or take more than it was given.
TEST(Parsers, GarbageIsSurvived) {
  std::mt19937 chance(7);
  const std::string pieces[] = {"GET /a HTTP/1.1\r\n",
                                "HTTP/1.1 200 OK\r\n",
                                "Content-Length: 3\r\n",
                                "\r\n",
                                "5\r\n",
                                "Transfer-Encoding: chunked\r\n",
                                "{\"a\":",
                                "[",
                                "]",
                                "}",
                                "\"",
                                "\\u00",
                                ",",
                                "1e5",
                                "\n",
                                std::string(1, '\0'),
                                "abc",
                                "0\r\n\r\n"};
  unsigned whole = 0, parsed = 0;
  for (int round = 0; round < 20000; ++round) {
    std::string text;
    for (auto n = chance() % 8; n-- > 0;) {
      text +=
          chance() % 4 ? pieces[chance() % std::size(pieces)] : std::string(1, static_cast<char>(chance()));
    }
    for (const auto side : {Messages::Side::kRequests, Messages::Side::kAnswers}) {
      Messages m(side, 64, 64);
      std::string_view rest = text;
      const auto got = m.feed(rest);
      ASSERT_LE(rest.size(), text.size());
      whole += got == Messages::Got::kWhole;
      m.stream_ended();
    }
    if (const auto json = Json::parse(text)) {
      ++parsed;
      json->each_member([](const std::string&, const Json& v) { v.text(); });
      json->each_item([](const Json& v) { v.number(); });
    }
  }
  EXPECT_GT(whole, 20U);
  EXPECT_GT(parsed, 20U);
}

}  // namespace
}  // namespace ashbeam
