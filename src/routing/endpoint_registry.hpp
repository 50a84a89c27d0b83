// The endpoints by index, as the endpoint list has them: gives out the indices, and notifies the decisions
// and the connection pools of each change.
//
// Order of calls: apply() with each list; on_attempt_started() and on_attempt_ended() for each attempt, in
// pairs. Units: indices are small and used again a while after an endpoint is removed and its last attempt
// has ended. Errors: none; entries that can't be used are logged and ignored.
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

  std::optional<EndpointIndex> find(std::string_view uid) const;
  const std::string& address(EndpointIndex endpoint) const { return endpoints_[endpoint].address; }
  // As listed: a higher one is newer.
  double version(EndpointIndex endpoint) const { return endpoints_[endpoint].version; }
  // Indices given out so far, whether in use or not.
  std::size_t slot_count() const { return endpoints_.size(); }

  void on_attempt_started(EndpointIndex endpoint) { ++endpoints_[endpoint].attempts_in_flight; }
  void on_attempt_ended(EndpointIndex endpoint) { --endpoints_[endpoint].attempts_in_flight; }

 private:
  struct Endpoint {
    std::string address;
    double version = 0;
    double boot_ms = 0;  // as listed
    Instant started_at;  // by the clock of the event loop
    bool listed = false;
    unsigned attempts_in_flight = 0;
    Instant removed_at;  // never: it is listed
  };

  void apply_entry(const ListedEndpoint& entry);
  // The index of the endpoint; a new one where it is not known, unless it is removed.
  std::optional<EndpointIndex> find_or_assign_index(const ListedEndpoint& entry);
  // Takes the entry over; true where another process than before is listed.
  bool update(Endpoint& endpoint, const ListedEndpoint& entry);
  void remove_unlisted();
  void free_removed_indices();
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
