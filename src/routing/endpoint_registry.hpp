// The table of endpoints. It assigns an index to each endpoint of the endpoint list, and passes each change
// to the routing policy and to the connection pools.
//
// Call apply() with each endpoint list, and on_attempt_started() and on_attempt_ended() in pairs for each
// attempt. Indices are small; the index of a removed endpoint is assigned again after
// Limits::removed_endpoint_retention, once its last attempt has ended. Entries that cannot be used are logged
// and ignored.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "routing/endpoint_list_lease.hpp"
#include "routing/endpoint_list_message.hpp"
#include "routing/endpoint_pools.hpp"
#include "routing/name_table.hpp"
#include "routing/router_context.hpp"
#include "terms/wire_settings.hpp"

namespace ashbeam {

class EndpointRegistry {
 public:
  EndpointRegistry(RouterContext& context, EndpointPools& pools, const EndpointListLease& lease,
                   const WireSettings& settings);

  void apply(const EndpointList& list);

  // Returns the index of the endpoint with that uid, or std::nullopt.
  std::optional<EndpointIndex> find(std::string_view uid) const;
  const std::string& address(EndpointIndex endpoint) const { return endpoints_[endpoint].address; }
  // Returns the release version that the endpoint list gives; a higher one is newer.
  double version(EndpointIndex endpoint) const { return endpoints_[endpoint].version; }
  // Returns the number of indices that have been assigned so far, including those that are free again.
  std::size_t slot_count() const { return endpoints_.size(); }

  void on_attempt_started(EndpointIndex endpoint) { ++endpoints_[endpoint].attempts_in_flight; }
  void on_attempt_ended(EndpointIndex endpoint) { --endpoints_[endpoint].attempts_in_flight; }

 private:
  struct Endpoint {
    std::string address;
    double version = 0;
    double boot_ms = 0;  // as listed: Unix time of the process's start in milliseconds
    Instant started_at;  // the same by the clock of the event loop
    bool listed = false;
    unsigned attempts_in_flight = 0;
    Instant removed_at;  // Instant::never() while the endpoint is listed
  };

  void apply_entry(const ListedEndpoint& entry);
  // Returns the index of the endpoint. Assigns one if the endpoint is unknown; returns std::nullopt if it is
  // unknown and listed as removed.
  std::optional<EndpointIndex> find_or_assign_index(const ListedEndpoint& entry);
  // Copies the entry to `endpoint`. Returns whether the entry describes another process than before.
  bool update(Endpoint& endpoint, const ListedEndpoint& entry);
  void remove_unlisted();
  void free_removed_indices();
  // Returns the index of `name`. Logs a name that the setting does not list, once.
  unsigned name_index_of(NameTable& names, const std::string& name, const char* setting);

  RouterContext& context_;
  EndpointPools& pools_;
  const EndpointListLease& lease_;
  std::map<std::string, EndpointIndex, std::less<>> indices_;  // by uid
  std::vector<Endpoint> endpoints_;                            // by EndpointIndex
  std::vector<EndpointIndex> free_indices_;
  NameTable zones_;
  NameTable machine_types_;
};

}  // namespace ashbeam
