// Keeps the endpoint list up to date: what the discovery client brings goes to the registry, the lease, the
// readiness and the decisions.
//
// Order of calls: start() once, after the decisions have started; watch() each time the decisions ask for it,
// which counts from start() on. Units: none. Errors: none; the loss and the return of a watch are logged.
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

  // A list in discovery's form; empty: none.
  void apply_configured_list(const std::string& list);
  // The first call to discovery is made after a random part of Limits::max_initial_poll_delay.
  void start(std::uint64_t seed);
  void watch();
  // Nothing happens where discovery is there already.
  void change_address(const std::string& discovery_address);

 private:
  // DiscoveryClient::Observer.
  void on_endpoint_list(const EndpointList& list) override;
  void on_list_confirmed() override;
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
