// The interface of the decision module: one call for each event, with plain decoded fields, and a sink
// for what the router does about it. Hosts are small indices that the caller hands out; hits carry the
// caller's own numbers. Nothing here decides anything.
#pragma once
#include <cstdint>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

#include "base/time.hpp"

namespace ashbeam {

using HitId = std::uint32_t;
using HostIndex = std::uint32_t;
using BuildId = std::uint32_t;

enum class Repeats : std::uint8_t { kRepeatable, kTagged, kMutating };
enum class DropGroup : std::uint8_t { kAll, kZone, kCell };  // which hosts drop a tagged hit's repeats
enum class HostState : std::uint8_t { kGone, kReady, kDraining };
// kLocal: this machine could not make the connection; it never left, and says nothing about the host.
enum class Result : std::uint8_t {
  kOk,
  kError,
  kFull,
  kTimeout,
  kNoConnect,
  kReset,
  kCancelled,
  kMoot,
  kLocal
};
enum class Phase : std::uint8_t { kTrial, kReverting, kReleased, kWithdrawn };
enum class Vote : std::uint8_t { kNone, kOn, kHold, kBack };
enum class Answer : std::uint8_t { kTaken, kVoid, kFull, kFailed, kUnknown };  // what became of a vote

struct PathGroup {
  Repeats repeats = Repeats::kRepeatable;
  DropGroup group = DropGroup::kAll;
  Span target, client_timeout, memory;
  double benefit = 1, late_worth = 0;
};

// What a router is told once, at its start. The router derives its few figures and keeps none of this.
struct Terms {
  std::vector<PathGroup> path_groups;
  std::vector<double> customer_per_s;  // hits a second within each customer's share, all routers together
  double over_share_worth = 1;
  std::uint32_t zones = 1, zone = 0, kinds = 1, routers = 1, me = 0;
  bool must_ask = false, may_cancel = false, may_copy = false, may_tell_peers = false, may_ask_load = false;
  bool report_in_answers = false;  // load reports come with outcomes, not only when asked for
  int active_column = -1;          // where a load report holds the hits at the host; -1: nowhere
  std::uint32_t max_forwards = 1;
  bool retry_after = false;
  Span longest_retry_after;
  Span drain_grace, ask_within, cold_window, warm_after, tick;
  double cold_multiple = 2, start_capacity = 1;
  double cross_price = 0, probe_price = 0;
  std::vector<double> caps, rings;  // by stage
  bool by_path_group = false, one_way = false, clocked = false, rolling = false;
  std::uint32_t closed_stages = 0;
  double spare = 0;
  Span window, vote_life, bake, tally_every, answer_wait;
  std::uint32_t back_needed = 1;  // routers that must stand for 'back'
  double votes_per_s = 1, reported_share = 0, tally_sample = 1;
};

// Until when attempts may begin without further news of the list, see policy/endpoint_lease.hpp.
struct ListValidity {
  Instant any_host = Instant::never();  // to any host of the list
  Instant no_host = Instant::never();   // not even to one that vouches for itself later than this
};

// What the router does. Every call takes effect at the time of the event that is being handled.
class Sink {
 public:
  virtual ~Sink() = default;
  virtual void forward(HitId hit, HostIndex host,
                       Span try_for) = 0;  // zero span: as long as the client waits
  virtual void bounce(HitId hit, Span retry_after) = 0;
  virtual void error(HitId hit) = 0;
  virtual void cancel(HitId hit, unsigned leg) = 0;
  virtual void wake(Span from_now, std::uint64_t token) = 0;
  virtual void ask_load(HostIndex host) = 0;
  virtual void follow_list() = 0;
  virtual void vote(BuildId build, unsigned stage, Vote vote) = 0;
  virtual void tell_peers(std::span<const std::uint8_t> bytes) = 0;
  virtual void log(std::string_view line) = 0;
};

class Router {
 public:
  virtual ~Router() = default;
  virtual void clock(Instant now) = 0;  // the time of the events that follow
  virtual void started() = 0;
  // The host list: begin (whole: hosts not named until the end are gone), each entry, end.
  virtual void list_begin(bool whole) = 0;
  virtual void list_host(HostIndex host, HostState state, BuildId build, unsigned zone, unsigned cell,
                         unsigned kind, Instant last_start) = 0;
  virtual void list_end() = 0;
  virtual void list_failed() = 0;
  virtual void list_valid(const ListValidity&) {}
  // An answer shows that the host may be sent to until then, whatever the list's validity is.
  virtual void host_valid(HostIndex, Instant /*until*/) {}
  virtual void taken(HitId hit, unsigned path_group, unsigned customer, std::uint64_t key, Instant give_up_at,
                     double work_hint_ms) = 0;
  virtual void ended(HitId hit, unsigned leg, HostIndex host, Result result, Span took, bool terminal,
                     std::span<const float> report) = 0;
  virtual void opened(HitId, unsigned /*leg*/) {}
  virtual void client_left(HitId hit) = 0;
  virtual void woken(std::uint64_t token) = 0;
  virtual void load_told(HostIndex, bool /*answered*/, std::span<const float> /*report*/) {}
  virtual void stage_told(BuildId build, unsigned stage, Phase phase, bool answers_vote, Answer answer,
                          double cap, Span age) = 0;
  virtual void tally_told(BuildId build, unsigned path_group, std::uint32_t count, std::uint32_t lost,
                          Span mean, Span age) = 0;
  virtual void answer_disputed(HostIndex host, unsigned path_group, Span since_sent) = 0;
  virtual void peer_told(unsigned /*peer*/, std::span<const std::uint8_t>) {}
};

std::unique_ptr<Router> make_router(const Terms& terms, std::uint64_t seed, Sink& sink);

}  // namespace ashbeam
