// The release desk: one subscribed connection that brings news and takes our votes, opened anew when it
// breaks or falls silent. A vote is written once; what became of it is told once.
#pragma once
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "base/limits.hpp"
#include "base/pcg.hpp"
#include "policy/router_policy.hpp"
#include "protocol/json.hpp"
#include "protocol/lines.hpp"
#include "transport/connection.hpp"
#include "transport/event_loop.hpp"

namespace ashbeam {

class ReleaseClient : public Connection::Owner {
 public:
  // Both say whether what came could be read; if not, its connection is of no further use.
  using News = std::function<bool(const std::string& method, const Json& params)>;
  using Answered = std::function<bool(VoteOutcome, const Json* state)>;  // the state comes with kTaken
  using Note =
      std::function<void(const std::string& what)>;  // once when it is lost, once when it stands again
  ReleaseClient(EventLoop& loop, const Limits& limits, std::string address, std::uint64_t seed, News news,
                Answered answered, Note note);
  void start() { open(); }
  // The desk is elsewhere from now on: no more news from here and no new connection; `over`, after this
  // returns, once every vote cast here has its answer or is given up.
  void retire(std::function<void()> over);
  void vote(ReleaseVersion build, unsigned stage, Vote vote);  // `answered` comes after this returns

 private:
  struct Call {
    std::uint64_t id = 0;
    bool vote = false;  // false too once its answer is given up
    Instant until;
  };
  void on_connected() override;
  void on_data() override;
  void on_closed() override { lost("ended"); }
  void open();
  void drop();
  void lost(const char* why);
  void call(const char* method, const std::string& params, bool vote);
  bool line(std::string_view text);
  bool answer(const Json& whole);
  void check();
  void end_if_retired();
  EventLoop& loop_;
  const Limits& limits_;
  std::string address_;
  Pcg chance_;
  News news_;
  Answered answered_;
  Note note_;
  std::unique_ptr<Connection> connection_;
  LineReader lines_;
  std::deque<Call> calls_;  // written, not answered
  std::uint64_t next_id_ = 1;
  bool opened_ = false;
  unsigned tries_ = 0;  // since it was lost
  Span wait_;
  std::function<void()> over_;  // once it is retired
  Timer silence_, again_, answers_;
};

}  // namespace ashbeam
