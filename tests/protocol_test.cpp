// Tests of the HTTP, JSON and line parsers: valid input split at every byte, a table of invalid requests with
// their status codes, invalid JSON, and generated input.
#include <gtest/gtest.h>

#include <random>

#include "protocol/http.hpp"
#include "protocol/json.hpp"
#include "protocol/lines.hpp"

namespace ashbeam {
namespace {

using http::MessageParser;
using http::ParseResult;

// Feeds `first`, and then `second` unless the message was complete or invalid after `first`.
ParseResult feed_pieces(MessageParser& parser, std::string_view first, std::string_view second = {}) {
  ParseResult result = ParseResult::kIncomplete;
  for (std::string_view piece : {first, second}) {
    result = parser.feed(piece);
    if (result != ParseResult::kIncomplete) break;
  }
  return result;
}

TEST(HttpMessageParser, ParsesSameRequestAtEverySplit) {
  const std::string with_length =
      "POST /book/7?x=1 HTTP/1.1\r\nHost: a\r\ncontent-length:  5 \r\nX-Odd:\r\n\r\nhello";
  const std::string chunked =
      "POST /book HTTP/1.1\r\nTransfer-Encoding: "
      "Chunked\r\n\r\n3;ext=1\r\nabc\r\n1f\r\n0123456789012345678901234567890"
      "\r\n0\r\nTrailer: x\r\n\r\n";
  for (const std::string& text : {with_length, chunked}) {
    const std::string body = text.substr(text.find("\r\n\r\n") + 4);
    for (std::size_t split = 0; split <= text.size(); ++split) {
      MessageParser parser(http::MessageType::kRequest, 1024, 1024);
      ASSERT_EQ(feed_pieces(parser, text.substr(0, split), text.substr(split)), ParseResult::kComplete)
          << split;
      EXPECT_EQ(parser.raw_body(), body) << split;
      EXPECT_EQ(parser.head().method(), "POST");
    }
  }
}

TEST(HttpMessageParser, ParsesResponseByteByByteAndLeavesNextMessageUnread) {
  const std::string text =
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\nA: b, close\r\n\r\nokHTTP/1.1";
  MessageParser parser(http::MessageType::kResponse, 256, 256);
  std::size_t used = 0;
  while (used < text.size()) {
    std::string_view byte = std::string_view(text).substr(used, 1);
    const ParseResult result = parser.feed(byte);
    ASSERT_NE(result, ParseResult::kInvalid);
    ++used;
    if (result == ParseResult::kComplete) break;
  }
  EXPECT_EQ(text.substr(used), "HTTP/1.1");
  EXPECT_EQ(parser.status(), 200U);
  EXPECT_EQ(parser.raw_body(), "ok");
  EXPECT_TRUE(parser.head().has_token("a", "CLOSE"));
  EXPECT_FALSE(parser.closes_connection());
}

struct InvalidRequest {
  std::string bytes;
  unsigned error_status;
};

TEST(HttpMessageParser, RejectsInvalidRequestsWithTheirStatusCode) {
  const std::string ok = "GET / HTTP/1.1\r\n";
  const InvalidRequest requests[] = {
      {ok + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na", 400},
      {ok + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
      {ok + "Content-Length: +1\r\n\r\na", 400},
      {ok + "Content-Length: -1\r\n\r\na", 400},
      {ok + "Content-Length: 1\r\nTransfer-Encoding:\x0b" + "chunked\r\n\r\n", 400},
      {ok + "transfer-encoding:chunked\r\nCONTENT-LENGTH:3\r\n\r\n", 400},
      {ok + "Transfer-Encoding : chunked\r\n",
       400},  // rejected at the end of the line, before the end of the head
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
  for (const InvalidRequest& request : requests) {
    const std::string& bytes = request.bytes;
    for (std::size_t split = 0; split <= bytes.size(); split += 3) {
      MessageParser parser(http::MessageType::kRequest, 256, 64);
      EXPECT_EQ(feed_pieces(parser, bytes.substr(0, split), bytes.substr(split)), ParseResult::kInvalid)
          << bytes;
      EXPECT_EQ(parser.error_status(), request.error_status) << bytes;
    }
  }
}

TEST(HttpMessageParser, AcceptsEndOfStreamOnlyAsEndOfCloseDelimitedResponse) {
  MessageParser parser(http::MessageType::kResponse, 256, 64);
  EXPECT_EQ(feed_pieces(parser, "HTTP/1.1 200 OK\r\n\r\npart"), ParseResult::kIncomplete);
  EXPECT_EQ(parser.on_end_of_stream(), ParseResult::kComplete);
  EXPECT_EQ(parser.raw_body(), "part");
  EXPECT_TRUE(parser.closes_connection());
  parser.start_next_message();
  EXPECT_EQ(feed_pieces(parser, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart"),
            ParseResult::kIncomplete);
  EXPECT_EQ(parser.on_end_of_stream(), ParseResult::kInvalid);
  parser.start_next_message();
  EXPECT_EQ(feed_pieces(parser, "HTTP/1.1 2x0 OK\r\n\r\n"), ParseResult::kInvalid);
  EXPECT_EQ(parser.error_status(), 400U);
}

TEST(Json, ReadsMembersElementsAndScalars) {
  const std::string text =
      R"( {"a":[1,-2.5e1,{"b":"x\"\u00e9\ud83d\ude00\ud800"}], "t":true ,"n":null,"e":{},"l":[],"a2":"\n"} )";
  const auto json = Json::parse(text);
  ASSERT_TRUE(json);
  std::vector<std::string> items;
  json->member("a")->for_each_element([&](const Json& item) { items.emplace_back(item.raw()); });
  ASSERT_EQ(items.size(), 3U);
  EXPECT_EQ(Json::parse(items[1])->number(), -25.0);
  EXPECT_EQ(Json::parse(items[2])->text("b"), "x\"\xc3\xa9\xf0\x9f\x98\x80\xef\xbf\xbd");
  EXPECT_EQ(json->member("t")->boolean(), true);
  EXPECT_EQ(json->number("n", 7), 7);
  EXPECT_EQ(json->text("a2"), "\n");
  EXPECT_FALSE(json->member("none"));
  EXPECT_EQ(Json::parse(json_quoted("q\"\\\x01z"))->text(), "q\"\\\x01z");
}

TEST(Json, RejectsInvalidTextAndExcessiveDepth) {
  for (const char* text : {"",    "{",     "{\"a\"}", "{\"a\":}", "[1,]",        "[1 2]",       "01",
                           "1.",  "-",     "1e",      "\"\\x\"",  "\"\\u12g4\"", "\"a\nb\"",    "tru",
                           "{}x", "{a:1}", "\"open",  "\"\xff\"", "\"\xc3\"",    "\"\xe2\x82\""}) {
    EXPECT_FALSE(Json::parse(text)) << text;
  }
  EXPECT_FALSE(Json::parse(std::string(100, '[') + std::string(100, ']')));
  EXPECT_FALSE(Json::parse("1e999")->number());
}

TEST(LineReader, ReadsLinesAtEverySplitAndRejectsTooLongLine) {
  const std::string text = "one\r\n\ntwo\nrest";
  for (std::size_t split = 0; split <= text.size(); ++split) {
    LineReader reader(8);
    std::vector<std::string> lines;
    const auto keep = [&](std::string_view line) {
      lines.emplace_back(line);
      return true;
    };
    for (const std::string& piece : {text.substr(0, split), text.substr(split)})
      ASSERT_TRUE(reader.feed(piece, keep));
    EXPECT_EQ(lines, (std::vector<std::string>{"one", "", "two"}));
  }
  LineReader reader(8);
  EXPECT_FALSE(reader.feed("012345678", [](std::string_view) { return true; }));
}

// Feeds valid fragments mixed with random bytes. The parsers must not crash, read out of bounds, or consume
// more than they were given.
TEST(Parsers, HandleGeneratedInput) {
  std::mt19937 random(7);
  const std::string fragments[] = {"GET /a HTTP/1.1\r\n",
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
  unsigned complete_messages = 0;
  unsigned parsed_values = 0;
  for (int round = 0; round < 20000; ++round) {
    std::string text;
    for (auto remaining = random() % 8; remaining-- > 0;) {
      text += random() % 4 ? fragments[random() % std::size(fragments)]
                           : std::string(1, static_cast<char>(random()));
    }
    for (const auto type : {http::MessageType::kRequest, http::MessageType::kResponse}) {
      MessageParser parser(type, 64, 64);
      std::string_view rest = text;
      const ParseResult result = parser.feed(rest);
      ASSERT_LE(rest.size(), text.size());
      if (result == ParseResult::kComplete) ++complete_messages;
      parser.on_end_of_stream();
    }
    if (const auto json = Json::parse(text)) {
      ++parsed_values;
      json->for_each_member([](const std::string&, const Json& value) { value.text(); });
      json->for_each_element([](const Json& value) { value.number(); });
    }
  }
  EXPECT_GT(complete_messages, 20U);
  EXPECT_GT(parsed_values, 20U);
}

}  // namespace
}  // namespace ashbeam
