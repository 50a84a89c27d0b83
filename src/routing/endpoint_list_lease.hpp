// Tracks how long the endpoint list may be used, and publishes that to the routing policy. It runs
// policy::EndpointLease on the time of the event loop, and logs each change of the lease's state with its
// cause.
//
// Call start() once, and then one member function for each event. All times are instants of the event loop.
// Nothing here can fail.
#pragma once
#include "policy/endpoint_lease.hpp"
#include "routing/endpoint_pools.hpp"
#include "routing/router_context.hpp"
#include "routing/watch_end.hpp"

namespace ashbeam {

class EndpointListLease {
 public:
  EndpointListLease(RouterContext& context, EndpointPools& pools,
                    const policy::EndpointLeaseSettings& settings);

  // From now on the configured list may be used for Limits::configured_list_validity, whatever the state of
  // the lease is.
  void start();

  // Called when a complete line has been received on a watch, so that the list is current.
  void on_list_confirmed();
  // Called when discovery has accepted the connection of a call.
  void on_call_accepted();
  // Called when part of a line, or of the response to a call, has been received. A change that it announces
  // already counts as notified.
  void on_line_started();
  // Called when a watch, or a call that would have become one, has ended.
  void on_watch_ended(const WatchEnd& end);
  // Called when the address of discovery has been changed, before the watch at the former address is closed.
  void on_discovery_moved();

  policy::LeaseState state() const { return lease_.state(context_.loop.now()); }
  // Returns when the list was last confirmed; far in the past if it never was.
  Instant confirmed_at() const { return lease_.confirmed_at(); }
  // Called when an endpoint has answered a request that was sent at `sent` on a connection that was opened at
  // `connection_opened`. If that shows that the endpoint was not draining then, the routing policy may use
  // the endpoint for longer.
  void on_endpoint_answered(EndpointIndex endpoint, Instant sent, Instant connection_opened);

 private:
  void on_changed(const char* reason);
  void publish();
  void log_state(const char* reason) const;

  RouterContext& context_;
  EndpointPools& pools_;
  policy::EndpointLease lease_;
  policy::LeaseState logged_state_ = policy::LeaseState::kExpired;
  Instant configured_list_valid_until_;
  Timer expiry_timer_;
};

// Returns the settings of the lease. `connect_timeout` is the longest time that an attempt waits for its
// connection.
policy::EndpointLeaseSettings endpoint_lease_settings(const Limits& limits, const RouterSettings& settings,
                                                      Duration connect_timeout);

}  // namespace ashbeam
