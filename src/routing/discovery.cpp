#include "routing/discovery.hpp"

#include <limits>

namespace ashbeam {

Discovery::Discovery(Loop& loop, const Limits& limits, std::string address, Told told, Failed failed)
    : loop_(loop), limits_(limits), address_(std::move(address)), told_(std::move(told)),
      failed_(std::move(failed)), head_(http::Side::kAnswers, limits.head),
      body_(std::numeric_limits<std::size_t>::max()), lines_(limits.list_line),
      silence_(loop, [this] { fail("silent"); }) {}

namespace {

bool readable(const Json& entry) {
  const std::string state = entry.text("state");
  return !entry.text("uid").empty() && (state == "up" || state == "draining" || state == "removed") &&
         entry.number("release", -1) >= 0;
}

}  // namespace

bool Discovery::take(std::string_view line) {
  const auto list = Json::parse(line);
  if (!list || !list->is_object()) return false;
  const auto entries = list->member("targets");
  const double version = list->number("rev", -1);
  const auto whole = list->member("all");
  if (!entries || !entries->is_list() || !whole || !whole->truth() || version < 0 || version > 9e15)
    return false;
  // Guards against entries spoilt on their way: asked for again, the line comes whole. If it does not, that
  // is how discovery has it, and the rest counts.
  bool good = true;
  entries->each_item([&](const Json& entry) { good = good && readable(entry); });
  const auto at = static_cast<std::uint64_t>(version);
  if (!good && doubted_ != at) return doubted_ = at, false;
  version_ = at;
  any_ = true;
  told_(*whole->truth(), *entries);
  return true;
}

void Discovery::move_to(const std::string& address) {
  address_ = address;
  drop();
  if (following_) follow();
}

void Discovery::follow() {
  following_ = true;
  if (connection_) return;
  head_.clear();
  lines_.clear();
  in_body_ = false;
  connection_ = std::make_unique<Connection>(loop_, limits_, *this, address_);
  std::string request = "GET /registry/instances?follow=1";
  if (any_) request += "&since=" + std::to_string(version_);
  connection_->write(request + " HTTP/1.1\r\nHost: " + address_ + "\r\n\r\n");
  silence_.in(limits_.discovery_silence);
}

void Discovery::bytes_came() {
  std::string_view bytes = connection_->unread();
  const std::size_t had = bytes.size();
  if (!in_body_) {
    const auto got = head_.feed(bytes);
    if (got == http::Head::Got::kMore) return connection_->take(had);
    if (got != http::Head::Got::kWhole) return fail("answers no HTTP");
    if (head_.word(1) != "200") return fail("has no answer");
    if (head_.says("Transfer-Encoding", "chunked")) body_.by_chunks();
    else body_.until_end();
    in_body_ = true;
  }
  raw_.clear();
  plain_.clear();
  const auto got = body_.feed(bytes, raw_, &plain_);
  connection_->take(had);
  if (got == http::Body::Got::kBad || got == http::Body::Got::kTooLong) return fail("sends no good chunks");
  if (!plain_.empty()) silence_.in(limits_.discovery_silence);
  const bool good = lines_.feed(plain_, [&](std::string_view line) { return line.empty() || take(line); });
  if (!good) return fail("sends a line that is no list");
  if (got == http::Body::Got::kWhole) fail("ended");
}

void Discovery::drop() {
  silence_.off();
  if (connection_) connection_->close(), loop_.destroy_later(std::move(connection_));
}

void Discovery::fail(const char* why) {
  drop();
  failed_(why);
}

}  // namespace ashbeam
