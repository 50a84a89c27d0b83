// The lease on the endpoint list as it is published to the decisions: keeps policy::EndpointLease with the
// event loop's time, and logs each change of its state with the reason.
//
// Order of calls: start() once, then an event at a time. Units: instants of the event loop. Errors: none.
#pragma once
#include "policy/endpoint_lease.hpp"
#include "routing/router_context.hpp"

namespace ashbeam {

class EndpointListLease {
 public:
  EndpointListLease(RouterContext& context, const policy::EndpointLeaseSettings& settings);

  // The configured list may be used for a while, whatever discovery says.
  void start();

  // See policy::EndpointLease for these.
  void on_list_confirmed();
  void on_line_started();
  void on_watch_lost(const char* reason, bool discovery_refused);

  policy::LeaseState state() const { return lease_.state(context_.loop.now()); }
  Instant confirmed_at() const { return lease_.confirmed_at(); }
  // An endpoint has answered a request that was sent then, on a connection that was opened then: tells the
  // decisions how long it may be sent to, if that is known by it.
  void on_endpoint_answered(EndpointIndex endpoint, Instant sent, Instant connection_opened);

 private:
  void on_changed(const char* reason);
  void publish();
  void log_state(const char* reason) const;

  RouterContext& context_;
  policy::EndpointLease lease_;
  policy::LeaseState logged_state_ = policy::LeaseState::kExpired;
  Instant configured_list_valid_until_;
  Timer expiry_timer_;
};

// The settings of the lease; `connect_timeout` is how long an attempt may wait for its connection.
policy::EndpointLeaseSettings endpoint_lease_settings(const Limits& limits, const RouterSettings& settings,
                                                      Duration connect_timeout);

}  // namespace ashbeam
