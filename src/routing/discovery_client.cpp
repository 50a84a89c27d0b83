#include "routing/discovery_client.hpp"

#include <algorithm>
#include <limits>

namespace ashbeam {

namespace {

// Maximum number of watches in a row that replace one that has stopped sending.
constexpr unsigned kMaxReplacements = 2;

}  // namespace

DiscoveryClient::DiscoveryClient(EventLoop& loop, const Limits& limits, std::string address,
                                 DetailLog& detail_log, Observer& observer)
    : loop_(loop), limits_(limits), address_(std::move(address)), detail_log_(detail_log),
      observer_(observer), head_(http::MessageType::kResponse, limits.max_head_bytes),
      body_(std::numeric_limits<std::size_t>::max()), lines_(limits.max_discovery_line_bytes),
      silence_timer_(loop, [this] { on_silence_timeout(); }),
      stall_timer_(loop, [this] { replace_watch(WatchEndReason::kStalled); }) {}

bool DiscoveryClient::apply_list(std::string_view line) {
  const auto list = decode_endpoint_list(line);
  if (!list) return false;
  // A malformed entry may have been corrupted in transit, so the list is requested once more. If the same
  // revision is malformed again, that is how discovery stores it, and its other entries are applied.
  const bool well_formed = std::all_of(list->endpoints.begin(), list->endpoints.end(),
                                       [](const ListedEndpoint& entry) { return entry.is_well_formed(); });
  if (!well_formed && malformed_revision_ != list->revision) {
    malformed_revision_ = list->revision;
    return false;
  }
  if (is_stale(*list)) {
    if (established_) return true;  // an older list after a newer one on the same watch is ignored
    if (!accept_stale_list(*list)) return false;
  }
  stale_list_seen_ = false;
  revision_ = list->revision;
  has_list_ = true;
  detail_log_.write_line(LogTopic::kDiscovery, loop_.now(),
                         "discovery: endpoint list revision %llu applied%s",
                         static_cast<unsigned long long>(revision_), list->complete ? ", complete" : "");
  observer_.on_endpoint_list(*list);
  return true;
}

// Decides on a list at the beginning of a watch that is older than the one known: discovery has restarted its
// revisions, or this instance of it lags behind another. The list is requested once more, and as a complete
// list if only changes were sent, and is accepted if it is older again.
bool DiscoveryClient::accept_stale_list(const EndpointList& list) {
  if (!list.complete) {
    has_list_ = false;
    return false;
  }
  if (stale_list_seen_) return true;
  stale_list_seen_ = true;
  return false;
}

void DiscoveryClient::change_address(const std::string& address) {
  address_ = address;
  const bool was_open = connection_ != nullptr;
  close_call(WatchEndReason::kAddressChanged);
  if (!watching_) return;
  if (was_open) observer_.on_watch_ended({.reason = WatchEndReason::kAddressChanged, .replaced = true});
  watch();
}

void DiscoveryClient::watch() {
  watching_ = true;
  if (connection_) return;
  replacements_ = 0;
  start_call(limits_.discovery_call_timeout);
}

void DiscoveryClient::start_call(Duration first_line_timeout) {
  head_.clear();
  lines_.clear();
  in_body_ = false;
  established_ = false;
  ++call_number_;
  call_bytes_ = 0;
  call_started_at_ = loop_.now();
  detail_log_.write_line(LogTopic::kDiscovery, call_started_at_,
                         "discovery: call %llu to %s started, known revision %llu (0: none)", call_number(),
                         address_.c_str(), static_cast<unsigned long long>(has_list_ ? revision_ : 0));
  Connection::Owner& owner = *this;
  connection_ = std::make_unique<Connection>(loop_, limits_, owner, address_);
  std::string request = "GET /registry/instances?follow=1";
  if (has_list_) request += "&since=" + std::to_string(revision_);
  connection_->write(request + " HTTP/1.1\r\nHost: " + address_ + "\r\n\r\n");
  silence_timer_.schedule_after(first_line_timeout);
}

// Only a complete line restarts the silence timeout. A line whose bytes arrive slowly and never end would
// otherwise keep a useless watch open.
bool DiscoveryClient::on_line(std::string_view line) {
  if (!line.empty() || !established_)
    detail_log_.write_line(LogTopic::kDiscovery, loop_.now(),
                           "discovery: call %llu received a line of %zu bytes after %.1f ms", call_number(),
                           line.size(), call_ms());
  if (!line.empty() && !apply_list(line)) return false;
  established_ = true;
  replacements_ = 0;
  silence_timer_.schedule_after(limits_.watch_silence_timeout);
  observer_.on_list_confirmed();
  return true;
}

// A change that a silent watch misses counts as notified all the same, so another watch is started at once.
void DiscoveryClient::on_silence_timeout() {
  if (!established_ && replacements_ == 0) return end_watch(WatchEndReason::kSilent);
  replace_watch(WatchEndReason::kSilent);
}

// A change counts as notified as soon as its first byte has been received. The rest of it has to arrive well
// within the grace period of drains, if necessary on another call.
void DiscoveryClient::replace_watch(WatchEndReason reason) {
  if (replacements_ >= kMaxReplacements) return end_watch(reason);
  const bool was_established = established_;
  close_call(reason);
  ++replacements_;
  observer_.on_watch_ended({.reason = reason, .replaced = true});
  const bool first_replacement = was_established && replacements_ == 1;
  start_call(first_replacement ? limits_.replacement_watch_timeout : limits_.discovery_call_timeout);
}

bool DiscoveryClient::has_incomplete_line() const {
  return in_body_ && (!established_ || lines_.has_partial_line() || body_.is_inside_chunk());
}

void DiscoveryClient::check_for_stall() {
  if (!has_incomplete_line()) return stall_timer_.cancel();
  observer_.on_line_started();
  stall_timer_.schedule_after(limits_.watch_stall_timeout);
}

void DiscoveryClient::on_closed() {
  switch (connection_->failure()) {
    case ConnectionFailure::kLocal:
      return end_watch(WatchEndReason::kLocalFailure);
    case ConnectionFailure::kRefused:
      return end_watch(WatchEndReason::kRefused);
    case ConnectionFailure::kNone:
    case ConnectionFailure::kUnreachable:
    case ConnectionFailure::kBroken:
      return end_watch(WatchEndReason::kClosed);
  }
}

void DiscoveryClient::on_connected() {
  detail_log_.write_line(LogTopic::kDiscovery, loop_.now(), "discovery: call %llu connected after %.1f ms",
                         call_number(), call_ms());
  observer_.on_call_accepted();
}

void DiscoveryClient::on_data() {
  std::string_view bytes = connection_->unread();
  const std::size_t unread = bytes.size();
  call_bytes_ += unread;
  if (!established_)
    detail_log_.write_line(LogTopic::kDiscovery, loop_.now(),
                           "discovery: call %llu received %zu bytes, %llu in total, after %.1f ms",
                           call_number(), unread, static_cast<unsigned long long>(call_bytes_), call_ms());
  if (!in_body_ && !read_head(bytes)) return;
  observer_.on_line_started();
  raw_body_.clear();
  body_text_.clear();
  const auto result = body_.feed(bytes, raw_body_, &body_text_);
  connection_->consume(unread);
  if (result == http::ParseResult::kInvalid || result == http::ParseResult::kTooLong)
    return end_watch(WatchEndReason::kInvalidChunks);
  const bool lines_accepted = lines_.feed(body_text_, [&](std::string_view line) { return on_line(line); });
  if (!lines_accepted) return end_watch(WatchEndReason::kInvalidLine);
  if (result == http::ParseResult::kComplete) return end_watch(WatchEndReason::kClosed);
  check_for_stall();
}

// Returns false if the head is not complete yet, or if the watch has been ended because of an error.
bool DiscoveryClient::read_head(std::string_view& bytes) {
  const std::size_t unread = bytes.size();
  const auto result = head_.feed(bytes);
  if (result == http::ParseResult::kIncomplete) {
    connection_->consume(unread);
    return false;
  }
  if (result != http::ParseResult::kComplete) {
    end_watch(WatchEndReason::kInvalidHttp);
    return false;
  }
  if (head_.target() != "200") {
    end_watch(WatchEndReason::kUnexpectedStatus);
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

const char* DiscoveryClient::progress_text() const {
  if (connection_->is_connecting()) return "not connected";
  if (established_) return "watch established";
  return in_body_ ? "first line incomplete" : "no response head";
}

void DiscoveryClient::close_call(WatchEndReason reason) {
  silence_timer_.cancel();
  stall_timer_.cancel();
  if (!connection_) return;
  detail_log_.write_line(LogTopic::kDiscovery, loop_.now(),
                         "discovery: call %llu closed: %s, after %.1f ms and %llu bytes, progress: %s",
                         call_number(), name_of(reason), call_ms(),
                         static_cast<unsigned long long>(call_bytes_), progress_text());
  connection_->close();
  loop_.destroy_later(std::move(connection_));
}

void DiscoveryClient::end_watch(WatchEndReason reason) {
  const bool ended_by_discovery = reason == WatchEndReason::kClosed || reason == WatchEndReason::kRefused;
  const bool unavailable = ended_by_discovery && was_ended_at_once();
  close_call(reason);
  observer_.on_watch_ended(
      {.reason = reason, .call_started_at = call_started_at_, .unavailable = unavailable});
}

bool DiscoveryClient::was_ended_at_once() const {
  return call_bytes_ == 0 && loop_.now() - call_started_at_ <= limits_.max_unavailable_call_time;
}

}  // namespace ashbeam
