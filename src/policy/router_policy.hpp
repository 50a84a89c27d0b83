// The interface between the routing policy and the code that performs its decisions, which is either the
// network code or the adapter of the simulator.
//
// The caller passes each event to RouterPolicy as decoded values, in the order in which the events happen.
// RouterPolicy decides what to do and calls RouterActions. start() is called once, before all other events,
// and set_time() before each event. Instants are of the router's own clock; durations are real time. No call
// reports an error: events with an unknown request, attempt or endpoint are ignored.
#pragma once
#include <cstdint>
#include <memory>
#include <string_view>

#include "base/time.hpp"
#include "policy/endpoint_list_validity.hpp"
#include "policy/router_settings.hpp"
#include "policy/types.hpp"

namespace ashbeam {

// The current entry of one endpoint in the endpoint list.
struct EndpointUpdate {
  EndpointIndex endpoint = 0;
  EndpointState state = EndpointState::kRemoved;
  ReleaseVersion version = 0;
  unsigned zone = 0;
  unsigned cell = 0;          // See IdempotencyScope::kCell.
  unsigned machine_type = 0;  // Index in the list of machine types in the settings.
  Instant started_at;         // When its process started. Instant() means long ago.
};

// Why there is no watch on the endpoint list.
enum class EndpointWatchFailure : std::uint8_t {
  kUnavailable,  // Discovery has ended the call at once and without an answer.
  kLocal,        // This machine could not make the call.
  kOther,        // Discovery may be overloaded.
};

// A request that has been received completely.
struct RequestArrival {
  RequestId request = 0;
  unsigned request_class = 0;  // Index in RouterSettings::request_classes.
  unsigned tenant = 0;         // Index in RouterSettings::tenant_quota_per_s. Past its end: no quota applies.
  std::uint64_t sticky_key = 0;  // 0 if the request has none.
  Instant deadline;              // When the client stops waiting for the answer.
};

// The end of an attempt.
struct AttemptEnd {
  RequestId request = 0;
  unsigned attempt = 0;  // The number of the attempt, from 0 for each request.
  EndpointIndex endpoint = 0;
  AttemptResult result = AttemptResult::kOk;
  Duration duration;
  bool answered_client = false;  // Whether the client received its final answer from this attempt.
};

// The state of the newest release, as the platform reports it.
struct ReleaseState {
  ReleaseVersion version = 0;
  unsigned stage = 0;
  ReleasePhase phase = ReleasePhase::kReleased;
  double exposure_cap = 0;  // The fraction of requests that may go to the canary, 0 to 1.
  Duration time_in_stage;   // The time since the release entered this stage and phase.
};

// Outcomes of attempts that the platform has sampled over all routers.
struct OutcomeSample {
  ReleaseVersion version = 0;
  unsigned request_class = 0;
  std::uint32_t count = 0;
  std::uint32_t failed = 0;
};

// A client's report that an endpoint's answer was wrong.
struct DisputedAnswer {
  EndpointIndex endpoint = 0;
  Duration since_sent;  // The time since the attempt was sent.
};

// The actions of a router. Each call takes effect at the time of the event that is being handled.
class RouterActions {
 public:
  virtual ~RouterActions() = default;
  // Sends the request's next attempt to the endpoint. The attempt may last until the client's deadline.
  virtual void send_attempt(RequestId request, EndpointIndex endpoint) = 0;
  // Answers that the request was not executed and may be sent again. `retry_after` is the delay to tell the
  // client, or zero for none.
  virtual void reject(RequestId request, Duration retry_after) = 0;
  // Answers that the request has failed. It may have been executed.
  virtual void fail(RequestId request) = 0;
  // Cancels an attempt that is in flight. The result follows in RouterPolicy::on_attempt_end().
  virtual void cancel_attempt(RequestId request, unsigned attempt) = 0;
  // Calls RouterPolicy::on_wakeup() with `token` once, after `delay`. Replaces a pending wakeup with the same
  // token.
  virtual void schedule_wakeup(Duration delay, std::uint64_t token) = 0;
  // Opens a watch on the endpoint list, unless one is open.
  virtual void watch_endpoints() = 0;
  // Sends this router's vote on a stage of a release to the platform.
  virtual void cast_vote(ReleaseVersion version, unsigned stage, Vote vote) = 0;
  // Writes a log line.
  virtual void log(std::string_view line) = 0;
};

// The policy of one router. Instances share no state.
class RouterPolicy {
 public:
  virtual ~RouterPolicy() = default;

  // Sets the time of the events that follow. It must not decrease.
  virtual void set_time(Instant now) = 0;
  // Called once, after the first set_time() and before all other events.
  virtual void start() = 0;

  // Begins an update of the endpoint list. If `complete`, the endpoints that are not passed to
  // update_endpoint() before end_endpoint_update() are removed.
  virtual void begin_endpoint_update(bool complete) = 0;
  // Adds or changes one endpoint of the update.
  virtual void update_endpoint(const EndpointUpdate& update) = 0;
  // Ends the update.
  virtual void end_endpoint_update() = 0;
  // Called when a watch on the endpoint list could not be opened or has ended.
  virtual void on_endpoint_watch_failed(EndpointWatchFailure failure) = 0;
  // Replaces the validity of the endpoint list.
  virtual void set_endpoint_list_validity(const EndpointListValidity& validity) = 0;
  // Called when an answer shows that the endpoint, which is still the listed process, has accepted a request
  // sent at `sent`. It had not begun to drain then, so attempts may go to it even after
  // EndpointListValidity::valid_until.
  virtual void on_endpoint_accepted_request(EndpointIndex endpoint, Instant sent) = 0;

  // Called when a request has been received. The request gets exactly one final answer: reject(), fail(), or
  // an attempt that answers its client.
  virtual void on_request(const RequestArrival& arrival) = 0;
  // Called once for each attempt that was sent.
  virtual void on_attempt_end(const AttemptEnd& end) = 0;
  // Called when the client has disconnected. The request needs no answer any more.
  virtual void on_client_disconnect(RequestId request) = 0;
  // Called when a wakeup of RouterActions::schedule_wakeup() is due.
  virtual void on_wakeup(std::uint64_t token) = 0;

  // Called with each state of the newest release that the platform announces.
  virtual void on_release_state(const ReleaseState& state) = 0;
  // Called when a vote of this router was not accepted. `outcome` is never kAccepted.
  virtual void on_vote_refused(VoteOutcome outcome) = 0;
  virtual void on_outcome_sample(const OutcomeSample& sample) = 0;
  virtual void on_disputed_answer(const DisputedAnswer& disputed) = 0;
};

// Creates the policy of one router. `seed` initializes its random numbers. `actions` must outlive the policy.
std::unique_ptr<RouterPolicy> make_router_policy(const RouterSettings& settings, std::uint64_t seed,
                                                 RouterActions& actions);

}  // namespace ashbeam
