// The watch on discovery's list: one connection that stays open and brings a line for each change.
#pragma once
#include <cstdint>
#include <memory>
#include <string>

#include "base/detail_log.hpp"
#include "base/limits.hpp"
#include "protocol/http.hpp"
#include "protocol/json.hpp"
#include "protocol/lines.hpp"
#include "transport/connection.hpp"
#include "transport/event_loop.hpp"

namespace ashbeam {

class Discovery : public Connection::Owner {
 public:
  // What the owner is told. None of these comes while the owner is in a call to this object.
  class Events {
   public:
    virtual ~Events() = default;
    virtual void listed(bool whole, const Json& entries) = 0;
    // A whole line has come: the list stands as discovery has it now. An end in order says nothing: the watch
    // may have fallen silent before it.
    virtual void list_confirmed() = 0;
    // The first bytes of an answer or of a line have come, and not all of it.
    virtual void list_begun() = 0;
    // `again`: another watch has been begun in its place already; else `follow` has to be called. `refused`:
    // the machine is there, and nothing listens.
    virtual void list_lost(const char* why, bool again, bool refused) = 0;
  };
  Discovery(EventLoop& loop, const Limits& limits, std::string address, DetailLog& detail, Events& events);
  // A list in discovery's form, from the watch or from elsewhere; false where it is none.
  bool take(std::string_view line);
  void follow();  // begins a watch unless one stands; `list_lost` says each time that one ended
  // Discovery is elsewhere from now on: a watch that stands is begun anew there, from the last list had.
  void move_to(const std::string& address);

 private:
  void on_connected() override;
  void on_data() override;
  void on_closed() override;
  void begin(Span first_line);  // opens a connection and asks; the first line has to come within that
  bool line(std::string_view text);
  void silent();
  void stalled();
  void replace(const char* why);  // the call at hand by another at once, twice at the most
  bool begun() const;             // bytes of an answer or a line have come, and not all of it
  void watch_for_stall();
  void fail(const char* why, bool refused = false);
  void drop(const char* why);
  unsigned long long calls_number() const { return calls_; }
  EventLoop& loop_;
  const Limits& limits_;
  std::string address_;
  DetailLog& detail_;
  Events& events_;
  std::uint64_t version_ = 0, doubted_ = UINT64_MAX;
  bool any_ = false;        // a list was told
  bool stands_ = false;     // the watch at hand has brought a list or an empty line
  bool older_ = false;      // a whole list older than the one had came first on a watch, and was doubted
  unsigned in_place_ = 0;   // watches begun in place of one that fell silent, with no line since
  bool following_ = false;  // has been asked to
  std::unique_ptr<Connection> connection_;
  http::Head head_;
  http::Body body_;
  bool in_body_ = false;
  std::string raw_, plain_;
  LineReader lines_;
  // For the log: calls so far, when the one at hand began, and the bytes that came on it.
  std::uint64_t calls_ = 0, bytes_ = 0;
  Instant begun_at_;
  Timer silence_;  // no whole line
  Timer stall_;    // no byte, in the middle of one
};

}  // namespace ashbeam
