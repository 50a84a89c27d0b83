// One simulated router. Passes decoded events to the router's policy and encodes the actions that the policy
// takes. Translates between the endpoint addresses of the protocol and the endpoint indices of the policy.
#pragma once
#include <cstdint>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

#include "base/index_map.hpp"
#include "base/time.hpp"
#include "policy/router_policy.hpp"
#include "simhost/events.hpp"
#include "simhost/reply.hpp"

namespace ashbeam::simhost {

class RouterInstance : public RouterActions {
 public:
  // `reply` must outlive the instance.
  RouterInstance(RouterId id, Reply& reply) : id_(id), reply_(reply) {}

  // Starts the router; if it is running, it starts again without its state. Throws SettingsError if the
  // settings are invalid.
  void handle(const StartEvent& event, Instant now);
  // Stops the router and discards its state.
  void handle(HaltEvent) { router_.reset(); }

  // The events below are ignored if the router is not running. An exception that the policy throws is
  // reported to the simulator in a kFault action.
  //
  // Applies the rows of a complete endpoint list or, if `complete` is false, of the changes to one.
  void update_endpoints(bool complete, std::span<const std::uint8_t> rows, Instant now);
  void handle(EndpointWatchFailedEvent event, Instant now);
  void handle(const RequestEvent& event, Instant now);
  void handle(const AttemptEndEvent& event, Instant now);
  void handle(ClientDisconnectEvent event, Instant now);
  void handle(WakeupEvent event, Instant now);
  void handle(const ReleaseStateEvent& event, Instant now);
  void handle(VoteRefusedEvent event, Instant now);
  void handle(const OutcomeSampleEvent& event, Instant now);
  void handle(const DisputedAnswerEvent& event, Instant now);

  void send_attempt(RequestId request, EndpointIndex endpoint) override;
  void reject(RequestId request, Duration retry_after) override;
  void fail(RequestId request) override;
  void cancel_attempt(RequestId request, unsigned attempt) override;
  void schedule_wakeup(Duration delay, std::uint64_t token) override;
  void watch_endpoints() override;
  void cast_vote(ReleaseVersion version, unsigned stage, Vote vote) override;
  void log(std::string_view line) override;

 private:
  // Sets the policy's clock and calls `call` with the policy, if the router is running.
  template <class Call>
  void call_router(Instant now, Call&& call);
  // Returns the index of the endpoint, and assigns the next one if the address is new.
  EndpointIndex find_or_add_index(WireAddress address);
  bool is_known(WireAddress address) const { return indices_.find(address) != IndexMap::kNone; }
  Writer& begin_action(ActionCode code) { return reply_.begin_action(id_, code); }

  RouterId id_;
  Reply& reply_;
  std::vector<WireAddress> addresses_;  // by EndpointIndex
  IndexMap indices_;
  std::unique_ptr<RouterPolicy> router_;  // null if the router is not running
};

}  // namespace ashbeam::simhost
