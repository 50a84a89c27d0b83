// Keeps the endpoint list up to date. It receives the events of the discovery client, and passes them to the
// endpoint registry, the lease, the readiness state and the routing policy.
//
// Call start() once, after the routing policy has been started. Call watch() whenever the policy asks for it;
// calls before start() have no effect. The loss of a watch and its return are logged; no other error is
// reported.
#pragma once
#include <string>

#include "routing/discovery_client.hpp"
#include "routing/endpoint_list_lease.hpp"
#include "routing/endpoint_registry.hpp"
#include "routing/readiness.hpp"
#include "routing/router_context.hpp"

namespace ashbeam {

class EndpointWatch : private DiscoveryClient::Observer {
 public:
  EndpointWatch(RouterContext& context, const std::string& discovery_address, EndpointRegistry& registry,
                EndpointListLease& lease, Readiness& readiness);

  // Applies the endpoint list of the configuration, which is JSON in discovery's form. Does nothing if `list`
  // is empty.
  void apply_configured_list(const std::string& list);
  // Makes the first call to discovery after a random fraction of Limits::max_initial_poll_delay. `seed` seeds
  // the random number.
  void start(std::uint64_t seed);
  // Starts a watch, unless one is open.
  void watch();
  // Changes the address of discovery. Does nothing if it is the same as before.
  void change_address(const std::string& discovery_address);

 private:
  // DiscoveryClient::Observer.
  void on_endpoint_list(const EndpointList& list) override;
  void on_list_confirmed() override;
  void on_call_accepted() override;
  void on_line_started() override;
  void on_watch_ended(const WatchEnd& end) override;

  RouterContext& context_;
  EndpointRegistry& registry_;
  EndpointListLease& lease_;
  Readiness& readiness_;
  DiscoveryClient discovery_;
  Timer first_call_timer_;
  bool started_ = false;
  unsigned lost_watches_ = 0;  // since the last list
};

}  // namespace ashbeam
