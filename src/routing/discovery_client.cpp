#include "routing/discovery_client.hpp"

#include <algorithm>
#include <limits>

namespace ashbeam {

namespace {

constexpr unsigned kMaxReplacements = 2;

}  // namespace

const char* name_of(WatchEndReason reason) {
  switch (reason) {
    case WatchEndReason::kEnded:
      return "ended";
    case WatchEndReason::kLocalFailure:
      return "not possible for this machine";
    case WatchEndReason::kSilent:
      return "silent";
    case WatchEndReason::kStalled:
      return "stalled";
    case WatchEndReason::kMoved:
      return "moved";
    case WatchEndReason::kNoHttp:
      return "answers no HTTP";
    case WatchEndReason::kBadStatus:
      return "has no answer";
    case WatchEndReason::kBadChunks:
      return "sends no good chunks";
    case WatchEndReason::kBadLine:
      return "sends a line that is no list";
  }
  return "unknown";
}

DiscoveryClient::DiscoveryClient(EventLoop& loop, const Limits& limits, std::string address,
                                 DetailLog& detail_log, Observer& observer)
    : loop_(loop), limits_(limits), address_(std::move(address)), detail_log_(detail_log),
      observer_(observer), head_(http::MessageType::kResponse, limits.max_head_bytes),
      body_(std::numeric_limits<std::size_t>::max()), lines_(limits.max_discovery_line_bytes),
      silence_timer_(loop, [this] { on_silence(); }),
      stall_timer_(loop, [this] { replace(WatchEndReason::kStalled); }) {}

bool DiscoveryClient::apply_line(std::string_view line) {
  const auto list = decode_endpoint_list(line);
  if (!list) return false;
  // An entry may have been damaged on its way: the list is asked for once more. If it comes again as it is,
  // discovery has it so, and the other entries count.
  const bool well_formed = std::all_of(list->endpoints.begin(), list->endpoints.end(),
                                       [](const ListedEndpoint& e) { return e.well_formed(); });
  if (!well_formed && malformed_revision_ != list->revision) {
    malformed_revision_ = list->revision;
    return false;
  }
  if (is_stale(*list)) {
    if (established_) return true;  // after a newer list on the same watch an older one is no news
    if (!confirm_stale_list(*list)) return false;
  }
  stale_list_seen_ = false;
  revision_ = list->revision;
  has_list_ = true;
  detail_log_.write_line(LogTopic::kDiscovery, loop_.now(), "discovery: version %llu%s",
                         static_cast<unsigned long long>(revision_), list->complete ? ", complete" : "");
  observer_.on_endpoint_list(*list);
  return true;
}

// An older list at the beginning of a watch: discovery counts anew, or lags behind itself. It is asked once
// more, for the complete list where it sent changes alone, and believed then.
bool DiscoveryClient::confirm_stale_list(const EndpointList& list) {
  if (!list.complete) {
    has_list_ = false;
    return false;
  }
  if (stale_list_seen_) return true;
  stale_list_seen_ = true;
  return false;
}

void DiscoveryClient::move_to(const std::string& address) {
  address_ = address;
  const bool stood = connection_ != nullptr;
  close_call(WatchEndReason::kMoved);
  if (!watching_) return;
  if (stood) observer_.on_watch_ended({WatchEndReason::kMoved, true, false});
  watch();
}

void DiscoveryClient::watch() {
  watching_ = true;
  if (connection_) return;
  replacements_ = 0;
  begin_call(limits_.discovery_call_timeout);
}

void DiscoveryClient::begin_call(Duration first_line_timeout) {
  head_.clear();
  lines_.clear();
  in_body_ = false;
  established_ = false;
  ++call_number_;
  call_bytes_ = 0;
  call_began_at_ = loop_.now();
  detail_log_.write_line(LogTopic::kDiscovery, call_began_at_,
                         "discovery: call %llu to %s begins, has version %llu", call_number(),
                         address_.c_str(), static_cast<unsigned long long>(has_list_ ? revision_ : 0));
  Connection::Owner& owner = *this;
  connection_ = std::make_unique<Connection>(loop_, limits_, owner, address_);
  std::string request = "GET /registry/instances?follow=1";
  if (has_list_) request += "&since=" + std::to_string(revision_);
  connection_->write(request + " HTTP/1.1\r\nHost: " + address_ + "\r\n\r\n");
  silence_timer_.schedule_after(first_line_timeout);
}

// Only a complete line is a sign of life: a list that trickles in and never ends says nothing.
bool DiscoveryClient::on_line(std::string_view line) {
  if (!line.empty() || !established_)
    detail_log_.write_line(LogTopic::kDiscovery, loop_.now(),
                           "discovery: call %llu line of %zu bytes, after %.1f ms", call_number(),
                           line.size(), call_ms());
  if (!line.empty() && !apply_line(line)) return false;
  established_ = true;
  replacements_ = 0;
  silence_timer_.schedule_after(limits_.watch_silence_timeout);
  observer_.on_list_confirmed();
  return true;
}

// Whatever a silent watch misses counts as notified all the same, so another is begun at once.
void DiscoveryClient::on_silence() {
  if (!established_ && replacements_ == 0) return fail(WatchEndReason::kSilent);
  replace(WatchEndReason::kSilent);
}

// What has begun counts as notified: its rest has to come well within the grace, on another call if need be.
void DiscoveryClient::replace(WatchEndReason reason) {
  if (replacements_ >= kMaxReplacements) return fail(reason);
  const bool was_established = established_;
  close_call(reason);
  ++replacements_;
  observer_.on_watch_ended({reason, true, false});
  const bool first_replacement = was_established && replacements_ == 1;
  begin_call(first_replacement ? limits_.replacement_watch_timeout : limits_.discovery_call_timeout);
}

bool DiscoveryClient::line_begun() const {
  return in_body_ && (!established_ || lines_.has_partial_line() || body_.is_inside_chunk());
}

void DiscoveryClient::watch_for_stall() {
  if (!line_begun()) return stall_timer_.cancel();
  observer_.on_line_begun();
  stall_timer_.schedule_after(limits_.watch_stall_timeout);
}

void DiscoveryClient::on_closed() {
  const Failure failure = connection_->failure();
  const bool local = failure == Failure::kLocal;
  fail(local ? WatchEndReason::kLocalFailure : WatchEndReason::kEnded, failure == Failure::kRefused);
}

void DiscoveryClient::on_connected() {
  detail_log_.write_line(LogTopic::kDiscovery, loop_.now(), "discovery: call %llu connected, after %.1f ms",
                         call_number(), call_ms());
}

void DiscoveryClient::on_data() {
  std::string_view bytes = connection_->unread();
  const std::size_t unread = bytes.size();
  call_bytes_ += unread;
  if (!established_)
    detail_log_.write_line(LogTopic::kDiscovery, loop_.now(),
                           "discovery: call %llu bytes %zu, %llu in all, after %.1f ms", call_number(),
                           unread, static_cast<unsigned long long>(call_bytes_), call_ms());
  if (!in_body_ && !read_head(bytes)) return;
  observer_.on_line_begun();
  raw_body_.clear();
  body_text_.clear();
  const auto got = body_.feed(bytes, raw_body_, &body_text_);
  connection_->consume(unread);
  if (got == http::ParseResult::kInvalid || got == http::ParseResult::kTooLong)
    return fail(WatchEndReason::kBadChunks);
  const bool good = lines_.feed(body_text_, [&](std::string_view line) { return on_line(line); });
  if (!good) return fail(WatchEndReason::kBadLine);
  if (got == http::ParseResult::kComplete) return fail(WatchEndReason::kEnded);
  watch_for_stall();
}

// False where the head is not complete yet, or the watch has ended.
bool DiscoveryClient::read_head(std::string_view& bytes) {
  const std::size_t unread = bytes.size();
  const auto got = head_.feed(bytes);
  if (got == http::ParseResult::kIncomplete) {
    connection_->consume(unread);
    return false;
  }
  if (got != http::ParseResult::kComplete) {
    fail(WatchEndReason::kNoHttp);
    return false;
  }
  if (head_.target() != "200") {
    fail(WatchEndReason::kBadStatus);
    return false;
  }
  if (head_.has_token("Transfer-Encoding", "chunked")) {
    body_.expect_chunked();
  } else {
    body_.expect_until_close();
  }
  in_body_ = true;
  return true;
}

const char* DiscoveryClient::progress() const {
  if (connection_->connecting()) return "not connected";
  if (established_) return "watch stood";
  return in_body_ ? "line begun" : "no answer";
}

void DiscoveryClient::close_call(WatchEndReason reason) {
  silence_timer_.cancel();
  stall_timer_.cancel();
  if (!connection_) return;
  detail_log_.write_line(
      LogTopic::kDiscovery, loop_.now(), "discovery: call %llu closed: %s, after %.1f ms, %llu bytes, %s",
      call_number(), name_of(reason), call_ms(), static_cast<unsigned long long>(call_bytes_), progress());
  connection_->close();
  loop_.destroy_later(std::move(connection_));
}

void DiscoveryClient::fail(WatchEndReason reason, bool refused) {
  close_call(reason);
  observer_.on_watch_ended({reason, false, refused});
}

}  // namespace ashbeam
