// The client of endpoint discovery: one watch, a connection that stays open and brings a line for each change
// of the endpoint list. A watch that falls silent or stalls is replaced by another at once, twice at the
// most.
//
// Order of calls: apply_list() with the configured list, if there is one; watch() to begin, and again each
// time on_watch_ended() says that no other watch was begun. No callback comes while the owner is in a call to
// this object, but for apply_list() and change_address(). Units: as in Limits. Errors: a WatchEndReason.
// Source: the protocol's discovery pages; chunked bodies as in RFC 9112, section 7.1.
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
#include "transport/connection.hpp"
#include "transport/event_loop.hpp"

namespace ashbeam {

enum class WatchEndReason : std::uint8_t {
  kClosed,
  kLocalFailure,    // this machine could not connect
  kSilent,          // no complete line in time
  kStalled,         // no further byte of a line that had begun
  kAddressChanged,  // discovery is at another address
  kInvalidHttp,
  kUnexpectedStatus,
  kInvalidChunks,
  kInvalidLine,
};
const char* name_of(WatchEndReason reason);

struct WatchEnd {
  WatchEndReason reason = WatchEndReason::kClosed;
  bool replaced = false;            // another watch has been begun already
  bool connection_refused = false;  // the machine is there, and nothing listens
};

class DiscoveryClient : private Connection::Owner {
 public:
  class Observer {
   public:
    virtual ~Observer() = default;
    virtual void on_endpoint_list(const EndpointList& list) = 0;
    // A complete line has come: the list stands as discovery has it now. An end of the watch in order
    // confirms nothing: the watch may have fallen silent before it.
    virtual void on_list_confirmed() = 0;
    // The first bytes of an answer or of a line have come, and not all of it.
    virtual void on_line_started() = 0;
    virtual void on_watch_ended(const WatchEnd& end) = 0;
  };

  DiscoveryClient(EventLoop& loop, const Limits& limits, std::string address, DetailLog& detail_log,
                  Observer& observer);

  // A list in discovery's form, from the watch or from elsewhere. False where it is none, or is to be asked
  // for once more.
  bool apply_list(std::string_view line);
  // Begins a watch unless one stands.
  void watch();
  // Discovery is elsewhere from now on: a watch that stands is begun anew there, from the list known last.
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
  // Have bytes of an answer or a line come, and not all of it?
  bool has_incomplete_line() const;
  void check_for_stall();
  void end_watch(WatchEndReason reason, bool connection_refused = false);
  void close_call(WatchEndReason reason);
  const char* progress_text() const;
  unsigned long long call_number() const { return call_number_; }
  double call_ms() const { return (loop_.now() - call_started_at_).ms(); }

  EventLoop& loop_;
  const Limits& limits_;
  std::string address_;
  DetailLog& detail_log_;
  Observer& observer_;

  // The list.
  bool has_list_ = false;
  std::uint64_t revision_ = 0;
  // The last revision with an entry that is not well formed.
  std::optional<std::uint64_t> malformed_revision_;
  // A watch began with a complete list older than the one known.
  bool stale_list_seen_ = false;

  // The watch at hand.
  bool watching_ = false;      // watch() was called
  bool established_ = false;   // has brought a list or an empty line
  unsigned replacements_ = 0;  // watches begun in place of one that was silent, with no line since
  std::unique_ptr<Connection> connection_;
  http::Head head_;
  http::Body body_;
  bool in_body_ = false;
  std::string raw_body_;
  std::string body_text_;
  LineReader lines_;
  Timer silence_timer_;
  Timer stall_timer_;

  // For the log.
  std::uint64_t call_number_ = 0;
  std::uint64_t call_bytes_ = 0;
  Instant call_started_at_;
};

}  // namespace ashbeam
