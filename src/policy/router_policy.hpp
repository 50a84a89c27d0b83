// The interface between the decisions and whoever carries them out (sockets, or the simulator's wire).
//
// Job: RouterPolicy is handed each event, as plain decoded values, in the order in which they happen; it
// decides and answers through RouterActions. Order of calls: set_time() before each event, start() once and
// first. Units: instants of the router's own clock, spans of real time. Errors: none; events that name an
// unknown request, attempt or endpoint are ignored.
#pragma once
#include <cstdint>
#include <memory>
#include <string_view>

#include "base/time.hpp"
#include "policy/router_settings.hpp"
#include "policy/types.hpp"

namespace ashbeam {

// One endpoint, as the endpoint list has it now.
struct EndpointUpdate {
  EndpointIndex endpoint = 0;
  EndpointState state = EndpointState::kRemoved;
  ReleaseVersion version = 0;
  unsigned zone = 0;
  unsigned cell = 0;          // see IdempotencyScope::kCell
  unsigned machine_type = 0;  // index in the settings' list
  Instant started_at;         // of its process; far past: long ago
};

// Until when attempts may begin without further news of the endpoint list, see policy/endpoint_lease.hpp.
struct EndpointListValidity {
  // To any ready endpoint of the list. Later, to those alone whose own answers show that they do not drain,
  // see RouterPolicy::extend_endpoint_validity().
  Instant valid_until = Instant::never();
  // To none at all: a change is on its way whose content is not known yet.
  Instant blocked_from = Instant::never();
};

// A request whose last byte has come.
struct RequestArrival {
  RequestId request = 0;
  unsigned request_class = 0;    // index in RouterSettings::request_classes
  unsigned tenant = 0;           // index in RouterSettings::tenant_quota_per_s; past its end: no quota counts
  std::uint64_t sticky_key = 0;  // 0: none
  Instant deadline;              // when the client stops waiting
};

// What an attempt has come to.
struct AttemptEnd {
  RequestId request = 0;
  unsigned attempt = 0;  // counted from 0 for each request
  EndpointIndex endpoint = 0;
  AttemptResult result = AttemptResult::kOk;
  Duration duration;
  bool answered_client = false;  // the client has its final answer by it
};

// The state of the newest release, as the platform tells it.
struct ReleaseState {
  ReleaseVersion version = 0;
  unsigned stage = 0;
  ReleasePhase phase = ReleasePhase::kReleased;
  double exposure_cap = 0;  // part of requests that may go to the canary, 0 to 1
  Duration time_in_stage;   // since it came to stand so
};

// Outcomes that the platform has counted over all routers.
struct OutcomeSample {
  ReleaseVersion version = 0;
  unsigned request_class = 0;
  std::uint32_t count = 0;
  std::uint32_t failed = 0;
};

// A client found an endpoint's answer wrong.
struct DisputedAnswer {
  EndpointIndex endpoint = 0;
  Duration since_sent;  // since the attempt was sent
};

// What the router does. Each call takes effect at the time of the event that is being handled.
class RouterActions {
 public:
  virtual ~RouterActions() = default;
  // Sends the request's next attempt to the endpoint. It may last until the client's deadline.
  virtual void send_attempt(RequestId request, EndpointIndex endpoint) = 0;
  // Answers that the request was not run and may be sent again, by `retry_after` if that is not zero.
  virtual void reject(RequestId request, Duration retry_after) = 0;
  // Answers that the request has failed; it may have run.
  virtual void fail(RequestId request) = 0;
  // Gives up an attempt that is in flight; on_attempt_end() tells what became of it.
  virtual void cancel_attempt(RequestId request, unsigned attempt) = 0;
  // Calls on_wakeup() with `token` once, after `delay`; replaces an earlier call with the same token.
  virtual void schedule_wakeup(Duration delay, std::uint64_t token) = 0;
  // Opens a watch on the endpoint list unless one stands.
  virtual void watch_endpoints() = 0;
  // Sends the platform this router's vote on a release.
  virtual void cast_vote(ReleaseVersion version, unsigned stage, Vote vote) = 0;
  // Writes a log line.
  virtual void log(std::string_view line) = 0;
};

// Decides for one router. Objects share nothing.
class RouterPolicy {
 public:
  virtual ~RouterPolicy() = default;

  // The time of the events that follow; never goes back.
  virtual void set_time(Instant now) = 0;
  virtual void start() = 0;

  // The endpoint list: begin (`complete`: endpoints not named until the end are removed), each entry, end.
  virtual void begin_endpoint_update(bool complete) = 0;
  virtual void update_endpoint(const EndpointUpdate& update) = 0;
  virtual void end_endpoint_update() = 0;
  // A watch on the list could not be opened, or has ended.
  virtual void on_endpoint_watch_failed() = 0;
  virtual void set_endpoint_list_validity(const EndpointListValidity& validity) = 0;
  // The endpoint's own answer shows that attempts may go there until then, whatever the list's validity is.
  virtual void extend_endpoint_validity(EndpointIndex endpoint, Instant until) = 0;

  // The request gets exactly one final answer: reject(), fail(), or an attempt that answers its client.
  virtual void on_request(const RequestArrival& arrival) = 0;
  virtual void on_attempt_end(const AttemptEnd& end) = 0;
  // The client has gone: the request needs no answer any more.
  virtual void on_client_disconnect(RequestId request) = 0;
  virtual void on_wakeup(std::uint64_t token) = 0;

  virtual void on_release_state(const ReleaseState& state) = 0;
  // A vote of ours was not accepted: `outcome` is not kAccepted.
  virtual void on_vote_refused(VoteOutcome outcome) = 0;
  virtual void on_outcome_sample(const OutcomeSample& sample) = 0;
  virtual void on_disputed_answer(const DisputedAnswer& disputed) = 0;
};

// `seed`: for the policy's random numbers; `actions` has to outlive the policy.
std::unique_ptr<RouterPolicy> make_router_policy(const RouterSettings& settings, std::uint64_t seed,
                                                 RouterActions& actions);

}  // namespace ashbeam
