#include "routing/discovery.hpp"

#include <limits>

namespace ashbeam {

Discovery::Discovery(EventLoop& loop, const Limits& limits, std::string address, DetailLog& detail,
                     Events& events)
    : loop_(loop), limits_(limits), address_(std::move(address)), detail_(detail), events_(events),
      head_(http::Side::kAnswers, limits.max_head_bytes), body_(std::numeric_limits<std::size_t>::max()),
      lines_(limits.max_list_line_bytes), silence_(loop, [this] { silent(); }),
      stall_(loop, [this] { stalled(); }) {}

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
  if (!entries || !entries->is_array() || !whole || !whole->boolean() || version < 0 || version > 9e15)
    return false;
  // Guards against entries spoilt on their way: asked for again, the line comes whole. If it does not, that
  // is how discovery has it, and the rest counts.
  bool good = true;
  entries->for_each_element([&](const Json& entry) { good = good && readable(entry); });
  const auto at = static_cast<std::uint64_t>(version);
  if (!good && doubted_ != at) return doubted_ = at, false;
  if (any_ && at < version_) {
    // Guards against what is told late: after a newer list on the same watch an older one is no news.
    if (stands_) return true;
    // At a watch's beginning it may be that discovery counts anew, or that it lags behind itself: it is asked
    // once more, from nothing where it sent changes alone, and believed then.
    if (!*whole->boolean()) return any_ = false, false;
    if (!older_) return older_ = true, false;
  }
  older_ = false;
  version_ = at;
  any_ = true;
  detail_.line(LogTopic::kDiscovery, loop_.now(), "discovery: version %llu%s",
               static_cast<unsigned long long>(at), *whole->boolean() ? ", whole" : "");
  events_.listed(*whole->boolean(), *entries);
  return true;
}

void Discovery::move_to(const std::string& address) {
  address_ = address;
  const bool watched = connection_ != nullptr;
  drop("moved");
  if (!following_) return;
  if (watched) events_.list_lost("moved", true, false);
  follow();
}

void Discovery::follow() {
  following_ = true;
  if (connection_) return;
  in_place_ = 0;
  begin(limits_.discovery_call_timeout);
}

void Discovery::begin(Span first_line) {
  head_.clear();
  lines_.clear();
  in_body_ = stands_ = false;
  ++calls_;
  bytes_ = 0;
  begun_at_ = loop_.now();
  detail_.line(LogTopic::kDiscovery, begun_at_, "discovery: call %llu to %s begins, has version %llu",
               calls_number(), address_.c_str(), static_cast<unsigned long long>(any_ ? version_ : 0));
  connection_ = std::make_unique<Connection>(loop_, limits_, *this, address_);
  std::string request = "GET /registry/instances?follow=1";
  if (any_) request += "&since=" + std::to_string(version_);
  connection_->write(request + " HTTP/1.1\r\nHost: " + address_ + "\r\n\r\n");
  silence_.in(first_line);
}

// A whole line is a sign of life, bytes alone are none: a list that drips and never ends tells nothing.
bool Discovery::line(std::string_view text) {
  if (!text.empty() || !stands_)
    detail_.line(LogTopic::kDiscovery, loop_.now(), "discovery: call %llu line of %zu bytes, after %.1f ms",
                 calls_number(), text.size(), (loop_.now() - begun_at_).ms());
  if (!text.empty() && !take(text)) return false;
  stands_ = true;
  in_place_ = 0;
  silence_.in(limits_.watch_silence_timeout);
  events_.list_confirmed();
  return true;
}

// One that stood and fell silent is begun anew at once, and once more if that one is silent, too: what it
// misses counts as told all the same.
void Discovery::silent() {
  if (!stands_ && in_place_ == 0) return fail("silent");
  replace("silent");
}

// What has begun counts as notified: its rest has to come well within the grace, on another call if need be.
void Discovery::stalled() { replace("stalled"); }

void Discovery::replace(const char* why) {
  if (in_place_ > 1) return fail(why);
  const bool stood = stands_;
  drop(why);
  ++in_place_;
  events_.list_lost(why, true, false);
  begin(stood && in_place_ == 1 ? limits_.replacement_watch_timeout : limits_.discovery_call_timeout);
}

bool Discovery::begun() const {
  return in_body_ && (!stands_ || lines_.has_partial_line() || body_.inside_chunk());
}

void Discovery::watch_for_stall() {
  if (!begun()) return stall_.off();
  events_.list_begun();
  stall_.in(limits_.watch_stall_timeout);
}

void Discovery::on_closed() {
  const Failure failure = connection_->failure();
  fail(failure == Failure::kLocal ? "not possible for this machine" : "ended", failure == Failure::kRefused);
}

void Discovery::on_connected() {
  detail_.line(LogTopic::kDiscovery, loop_.now(), "discovery: call %llu connected, after %.1f ms",
               calls_number(), (loop_.now() - begun_at_).ms());
}

void Discovery::on_data() {
  std::string_view bytes = connection_->unread();
  const std::size_t had = bytes.size();
  bytes_ += had;
  if (!stands_)
    detail_.line(LogTopic::kDiscovery, loop_.now(),
                 "discovery: call %llu bytes %zu, %llu in all, after %.1f ms", calls_number(), had,
                 static_cast<unsigned long long>(bytes_), (loop_.now() - begun_at_).ms());
  if (!in_body_) {
    const auto got = head_.feed(bytes);
    if (got == http::ParseResult::kIncomplete) return connection_->consume(had);
    if (got != http::ParseResult::kComplete) return fail("answers no HTTP");
    if (head_.status_code() != "200") return fail("has no answer");
    if (head_.has_token("Transfer-Encoding", "chunked")) body_.expect_chunks();
    else body_.expect_until_stream_ends();
    in_body_ = true;
  }
  events_.list_begun();
  raw_.clear();
  plain_.clear();
  const auto got = body_.feed(bytes, raw_, &plain_);
  connection_->consume(had);
  if (got == http::ParseResult::kInvalid || got == http::ParseResult::kTooLong)
    return fail("sends no good chunks");
  const bool good = lines_.feed(plain_, [&](std::string_view text) { return line(text); });
  if (!good) return fail("sends a line that is no list");
  if (got == http::ParseResult::kComplete) return fail("ended");
  watch_for_stall();
}

void Discovery::drop(const char* why) {
  if (connection_) {
    detail_.line(LogTopic::kDiscovery, loop_.now(),
                 "discovery: call %llu closed: %s, after %.1f ms, %llu bytes, %s", calls_number(), why,
                 (loop_.now() - begun_at_).ms(), static_cast<unsigned long long>(bytes_),
                 connection_->connecting() ? "not connected"
                 : stands_                 ? "watch stood"
                 : in_body_                ? "line begun"
                                           : "no answer");
  }
  silence_.off();
  stall_.off();
  if (connection_) connection_->close(), loop_.destroy_later(std::move(connection_));
}

void Discovery::fail(const char* why, bool refused) {
  drop(why);
  events_.list_lost(why, false, refused);
}

}  // namespace ashbeam
