#include "routing/endpoint_registry.hpp"

#include <algorithm>
#include <cmath>

#include "policy/endpoint_start.hpp"

namespace ashbeam {

namespace {

constexpr std::size_t kMaxLoggedEntryBytes = 200;
constexpr double kMaxVersion = 65535;

}  // namespace

EndpointRegistry::EndpointRegistry(RouterContext& context, EndpointPools& pools,
                                   const EndpointListLease& lease, const WireSettings& settings)
    : context_(context), pools_(pools), lease_(lease), zones_(settings.zones),
      machine_types_(settings.machine_types) {}

std::optional<EndpointIndex> EndpointRegistry::find(std::string_view uid) const {
  const auto found = indices_.find(uid);
  if (found == indices_.end()) return std::nullopt;
  return found->second;
}

void EndpointRegistry::apply(const EndpointList& list) {
  context_.policy.at_now().begin_endpoint_update(list.complete);
  if (list.complete) {
    for (Endpoint& endpoint : endpoints_) endpoint.listed = false;
  }
  for (const ListedEndpoint& entry : list.endpoints) apply_entry(entry);
  if (list.complete) remove_unlisted();
  context_.policy.at_now().end_endpoint_update();
  free_removed_indices();
}

void EndpointRegistry::apply_entry(const ListedEndpoint& entry) {
  if (!entry.has_uid_and_state()) {
    return context_.log("endpoint list: ignored an entry without a uid or with an unknown state: " +
                        std::string(entry.raw_json.substr(0, kMaxLoggedEntryBytes)));
  }
  const auto index = find_or_assign_index(entry);
  if (!index) return;
  Endpoint& endpoint = endpoints_[*index];
  const bool process_replaced = update(endpoint, entry);
  const bool ready = entry.state == EndpointState::kReady;
  pools_.update(*index, {endpoint.address, process_replaced, ready});
  EndpointUpdate update;
  update.endpoint = *index;
  update.state = *entry.state;
  update.version = static_cast<ReleaseVersion>(std::lround(std::clamp(endpoint.version, 0.0, kMaxVersion)));
  update.zone = name_index_of(zones_, entry.zone, "zones");
  update.cell = entry.cell;
  update.machine_type = name_index_of(machine_types_, entry.machine_type, "machine types");
  update.started_at = endpoint.started_at;
  context_.policy.at_now().update_endpoint(update);
}

std::optional<EndpointIndex> EndpointRegistry::find_or_assign_index(const ListedEndpoint& entry) {
  if (const auto known = find(entry.uid)) return known;
  if (entry.state == EndpointState::kRemoved) return std::nullopt;
  auto index = static_cast<EndpointIndex>(endpoints_.size());
  if (free_indices_.empty()) {
    endpoints_.emplace_back();
  } else {
    index = free_indices_.back();
    free_indices_.pop_back();
    endpoints_[index] = {};
  }
  indices_.emplace(entry.uid, index);
  return index;
}

bool EndpointRegistry::update(Endpoint& endpoint, const ListedEndpoint& entry) {
  const std::string& address = entry.address.empty() ? endpoint.address : entry.address;
  const double version = entry.version.value_or(endpoint.version);
  const bool process_replaced =
      address != endpoint.address || version != endpoint.version || entry.boot_ms != endpoint.boot_ms;
  if (process_replaced) {
    endpoint.started_at = policy::compute_endpoint_start(
        entry.boot_ms, context_.loop.now(), context_.loop.wall_clock_offset(), lease_.confirmed_at());
  }
  const bool removed = entry.state == EndpointState::kRemoved;
  if (!removed) {
    endpoint.removed_at = Instant::never();
  } else if (endpoint.listed) {
    endpoint.removed_at = context_.loop.now();
  }
  endpoint.address = address;
  endpoint.version = version;
  endpoint.boot_ms = entry.boot_ms;
  endpoint.listed = !removed;
  return process_replaced;
}

unsigned EndpointRegistry::name_index_of(NameTable& names, const std::string& name, const char* setting) {
  const unsigned index = names.index_of(name);
  if (const auto unknown = names.take_unreported())
    context_.log("endpoint list: '" + *unknown + "' is not one of the " + setting +
                 " in the settings, treated as distinct from them");
  return index;
}

// Endpoints that a complete list does not name have been removed.
void EndpointRegistry::remove_unlisted() {
  for (EndpointIndex index = 0; index < endpoints_.size(); ++index) {
    Endpoint& endpoint = endpoints_[index];
    if (endpoint.listed || endpoint.removed_at < Instant::never()) continue;
    endpoint.removed_at = context_.loop.now();
    pools_.update(index, {endpoint.address, false, false});
  }
}

// Frees the indices of endpoints that were removed long ago and have no attempt in flight, so that the table
// does not grow without limit if each new endpoint has a new uid.
void EndpointRegistry::free_removed_indices() {
  const Instant removed_before = context_.loop.now() - context_.limits.removed_endpoint_retention;
  std::erase_if(indices_, [&](const auto& entry) {
    const Endpoint& endpoint = endpoints_[entry.second];
    const bool unused =
        !endpoint.listed && endpoint.attempts_in_flight == 0 && endpoint.removed_at <= removed_before;
    if (unused) free_indices_.push_back(entry.second);
    return unused;
  });
}

}  // namespace ashbeam
