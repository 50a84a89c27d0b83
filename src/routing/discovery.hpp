// The watch on discovery's list: one connection that stays open and brings a line for each change.
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/detail_log.hpp"
#include "base/limits.hpp"
#include "protocol/http.hpp"
#include "protocol/lines.hpp"
#include "transport/connection.hpp"
#include "transport/loop.hpp"

namespace ashbeam {

class Discovery : public Connection::Owner {
 public:
  using Told = std::function<void(bool whole, const Json& entries)>;
  // `again`: another watch has been begun in its place already; else `follow` has to be called.
  using Failed = std::function<void(const char* why, bool again)>;
  Discovery(Loop& loop, const Limits& limits, std::string address, DetailLog& detail, Told told,
            Failed failed);
  // A list in discovery's form, from the watch or from elsewhere; false where it is none.
  bool take(std::string_view line);
  void follow();  // begins a watch unless one stands; `failed` says each time that one ended
  // Discovery is elsewhere from now on: a watch that stands is begun anew there, from the last list had.
  void move_to(const std::string& address);

 private:
  void opened() override;
  void bytes_came() override;
  void ended() override { fail("ended"); }
  void begin(Span first_line);  // opens a connection and asks; the first line has to come within that
  bool line(std::string_view text);
  void silent();
  void fail(const char* why);
  void drop(const char* why);
  unsigned long long calls_number() const { return calls_; }
  Loop& loop_;
  const Limits& limits_;
  std::string address_;
  DetailLog& detail_;
  Told told_;
  Failed failed_;
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
  Lines lines_;
  // For the log: calls so far, when the one at hand began, and the bytes that came on it.
  std::uint64_t calls_ = 0, bytes_ = 0;
  Instant begun_at_;
  Timer silence_;
};

}  // namespace ashbeam
