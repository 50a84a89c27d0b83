// The client of endpoint discovery. It keeps one watch open: an HTTP response of unlimited length in which
// discovery sends one line for each change of the endpoint list, and empty lines in between.
//
// Call apply_list() first if the configuration holds an endpoint list. Then call watch(), and again after
// each Observer::on_watch_ended() that does not say that another watch has been started. A watch that stops
// sending is replaced at once, at most twice in a row. Except within apply_list() and change_address(), the
// observer is not called while the owner is in a call to this object. Timeouts are those of Limits. Errors
// are reported as a WatchEndReason. Source: the protocol's discovery pages; chunked bodies as in RFC 9112,
// section 7.1.
#pragma once
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/detail_log.hpp"
#include "base/limits.hpp"
#include "protocol/http.hpp"
#include "protocol/lines.hpp"
#include "routing/endpoint_list_message.hpp"
#include "routing/watch_end.hpp"
#include "transport/connection.hpp"
#include "transport/event_loop.hpp"

namespace ashbeam {

class DiscoveryClient : private Connection::Owner {
 public:
  class Observer {
   public:
    virtual ~Observer() = default;
    // Called with each new list.
    virtual void on_endpoint_list(const EndpointList& list) = 0;
    // Called after each complete line, including empty ones: the list received last is current. The regular
    // end of a watch confirms nothing, because the watch may have stopped receiving changes before it.
    virtual void on_list_confirmed() = 0;
    // Called when the connection of a call has been established.
    virtual void on_call_accepted() = 0;
    // Called when part of a response or of a line has been received, but not all of it.
    virtual void on_line_started() = 0;
    virtual void on_watch_ended(const WatchEnd& end) = 0;
  };

  // `observer` must outlive this object.
  DiscoveryClient(EventLoop& loop, const Limits& limits, std::string address, DetailLog& detail_log,
                  Observer& observer);

  // Applies an endpoint list in discovery's JSON form, either a line of the watch or the configured list.
  // Returns false if it cannot be parsed, or if the list has to be requested again before it is applied.
  bool apply_list(std::string_view line);
  // Starts a watch, unless one is open.
  void watch();
  // Changes the address of discovery. An open watch is closed and started again at the new address, from the
  // revision received last.
  void change_address(const std::string& address);
  const std::string& address() const { return address_; }

 private:
  // Connection::Owner.
  void on_connected() override;
  void on_data() override;
  void on_closed() override;

  void start_call(Duration first_line_timeout);
  bool read_head(std::string_view& bytes);
  bool on_line(std::string_view line);
  bool is_stale(const EndpointList& list) const { return has_list_ && list.revision < revision_; }
  bool accept_stale_list(const EndpointList& list);
  void on_silence_timeout();
  void replace_watch(WatchEndReason reason);
  // Returns whether part of the first line, or of a later one, has been received, but not all of it.
  bool has_incomplete_line() const;
  void check_for_stall();
  void end_watch(WatchEndReason reason);
  // Returns whether the current call, which discovery has ended, was ended at once and without an answer.
  bool was_ended_at_once() const;
  void close_call(WatchEndReason reason);
  // Returns how far the current call has come, for the log.
  const char* progress_text() const;
  unsigned long long call_number() const { return call_number_; }
  double call_ms() const { return (loop_.now() - call_started_at_).ms(); }

  EventLoop& loop_;
  const Limits& limits_;
  std::string address_;
  DetailLog& detail_log_;
  Observer& observer_;

  // The list received last.
  bool has_list_ = false;
  std::uint64_t revision_ = 0;
  // The revision of the last list with a malformed entry.
  std::optional<std::uint64_t> malformed_revision_;
  // The last watch began with a complete list of an older revision than `revision_`.
  bool stale_list_seen_ = false;

  // The current watch.
  bool watching_ = false;      // watch() has been called
  bool established_ = false;   // a complete line has been received
  unsigned replacements_ = 0;  // watches started by replace_watch() since the last complete line
  std::unique_ptr<Connection> connection_;
  http::Head head_;
  http::Body body_;
  bool in_body_ = false;
  std::string raw_body_;
  std::string body_text_;
  LineReader lines_;
  Timer silence_timer_;
  Timer stall_timer_;

  // Figures for the log.
  std::uint64_t call_number_ = 0;
  std::uint64_t call_bytes_ = 0;
  Instant call_started_at_;
};

}  // namespace ashbeam
