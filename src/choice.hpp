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

using RequestId = std::uint32_t;
using EndpointIndex = std::uint32_t;
using ReleaseVersion = std::uint32_t;

enum class Idempotency : std::uint8_t { kIdempotent, kKeyed, kUnsafe };
enum class IdempotencyScope : std::uint8_t { kAll, kZone, kCell };  // which hosts drop a tagged hit's repeats
enum class EndpointState : std::uint8_t { kRemoved, kReady, kDraining };
// kLocalFailure: this machine could not make the connection; it never left, and says nothing about the host.
enum class AttemptResult : std::uint8_t {
  kOk,
  kError,
  kRejected,
  kTimeout,
  kConnectFailed,
  kReset,
  kCancelled,
  kCancelledBeforeSent,
  kLocalFailure
};
enum class ReleasePhase : std::uint8_t { kCanary, kRollingBack, kReleased, kWithdrawn };
enum class Vote : std::uint8_t { kAbstain, kPromote, kPause, kAbort };
enum class VoteOutcome : std::uint8_t {
  kAccepted,
  kConditionFailed,
  kThrottled,
  kFailed,
  kUnknown
};  // what became of a vote

struct RequestClass {
  Idempotency repeats = Idempotency::kIdempotent;
  IdempotencyScope group = IdempotencyScope::kAll;
  Span target, client_timeout, memory;
  double benefit = 1, late_worth = 0;
};

// What a router is told once, at its start. The router derives its few figures and keeps none of this.
struct RouterSettings {
  std::vector<RequestClass> path_groups;
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
struct EndpointListValidity {
  Instant any_host = Instant::never();  // to any host of the list
  Instant no_host = Instant::never();   // not even to one that vouches for itself later than this
};

// What the router does. Every call takes effect at the time of the event that is being handled.
class RouterActions {
 public:
  virtual ~RouterActions() = default;
  virtual void forward(RequestId hit, EndpointIndex host,
                       Span try_for) = 0;  // zero span: as long as the client waits
  virtual void bounce(RequestId hit, Span retry_after) = 0;
  virtual void error(RequestId hit) = 0;
  virtual void cancel(RequestId hit, unsigned leg) = 0;
  virtual void wake(Span from_now, std::uint64_t token) = 0;
  virtual void ask_load(EndpointIndex host) = 0;
  virtual void follow_list() = 0;
  virtual void vote(ReleaseVersion build, unsigned stage, Vote vote) = 0;
  virtual void tell_peers(std::span<const std::uint8_t> bytes) = 0;
  virtual void log(std::string_view line) = 0;
};

class RouterPolicy {
 public:
  virtual ~RouterPolicy() = default;
  virtual void clock(Instant now) = 0;  // the time of the events that follow
  virtual void started() = 0;
  // The host list: begin (whole: hosts not named until the end are gone), each entry, end.
  virtual void list_begin(bool whole) = 0;
  virtual void list_host(EndpointIndex host, EndpointState state, ReleaseVersion build, unsigned zone,
                         unsigned cell, unsigned kind, Instant last_start) = 0;
  virtual void list_end() = 0;
  virtual void list_failed() = 0;
  virtual void list_valid(const EndpointListValidity&) {}
  // An answer shows that the host may be sent to until then, whatever the list's validity is.
  virtual void host_valid(EndpointIndex, Instant /*until*/) {}
  virtual void taken(RequestId hit, unsigned path_group, unsigned customer, std::uint64_t key,
                     Instant give_up_at, double work_hint_ms) = 0;
  virtual void ended(RequestId hit, unsigned leg, EndpointIndex host, AttemptResult result, Span took,
                     bool terminal, std::span<const float> report) = 0;
  virtual void opened(RequestId, unsigned /*leg*/) {}
  virtual void client_left(RequestId hit) = 0;
  virtual void woken(std::uint64_t token) = 0;
  virtual void load_told(EndpointIndex, bool /*answered*/, std::span<const float> /*report*/) {}
  virtual void stage_told(ReleaseVersion build, unsigned stage, ReleasePhase phase, bool answers_vote,
                          VoteOutcome answer, double cap, Span age) = 0;
  virtual void tally_told(ReleaseVersion build, unsigned path_group, std::uint32_t count, std::uint32_t lost,
                          Span mean, Span age) = 0;
  virtual void answer_disputed(EndpointIndex host, unsigned path_group, Span since_sent) = 0;
  virtual void peer_told(unsigned /*peer*/, std::span<const std::uint8_t>) {}
};

std::unique_ptr<RouterPolicy> make_router_policy(const RouterSettings& terms, std::uint64_t seed,
                                                 RouterActions& sink);

}  // namespace ashbeam
