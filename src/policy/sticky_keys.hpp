// Keeps the requests of a sticky key from going back to an earlier release version.
//
// For each key, the newest version that has answered it is remembered, and later requests of the key go only
// to that version or newer ones. A rollback releases the keys that are bound to the version rolled back or to
// earlier ones. At most `max_keys` keys are remembered. Requests of further keys do not go to a canary, nor
// to a version older than the newest one that has answered such a key. Performs no I/O and reports no errors.
#pragma once
#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "base/index_map.hpp"
#include "policy/release_tracker.hpp"
#include "policy/request.hpp"

namespace ashbeam::policy {

class StickyKeys {
 public:
  // If not `enabled`, keys are ignored and allows() always returns true.
  StickyKeys(bool enabled, std::size_t max_keys) : enabled_(enabled), max_keys_(max_keys) {}

  // Returns whether the request has a sticky key that must be observed.
  bool applies_to(const Request& request) const { return enabled_ && request.sticky_key != 0; }

  // Called when an endpoint of `version` has answered the request. `version` must not be older than the
  // newest release.
  void bind(const Request& request, ReleaseVersion version) {
    if (!applies_to(request)) return;
    const std::uint32_t bound = versions_.find(request.sticky_key);
    if (bound != IndexMap::kNone) return versions_.put(request.sticky_key, std::max(version, bound));
    if (versions_.size() < max_keys_) return versions_.put(request.sticky_key, version);
    unstored_keys_version_ = std::max(unstored_keys_version_, version);
  }
  // Returns whether the request may go to an endpoint of `version`.
  bool allows(const Request& request, ReleaseVersion version, const ReleaseTracker& release) const {
    if (!applies_to(request)) return true;
    const std::uint32_t bound = versions_.find(request.sticky_key);
    if (bound == IndexMap::kNone) return allows_unstored_key(version, release);
    return bound <= release.last_rolled_back() || version >= bound;
  }

 private:
  bool allows_unstored_key(ReleaseVersion version, const ReleaseTracker& release) const {
    if (versions_.size() < max_keys_) return true;
    if (release.is_capped(version)) return false;
    return unstored_keys_version_ <= release.last_rolled_back() || version >= unstored_keys_version_;
  }

  bool enabled_;
  std::size_t max_keys_;
  // The newest version that has answered a key that is not stored.
  ReleaseVersion unstored_keys_version_ = 0;
  IndexMap versions_;  // The newest version that has answered each key.
};

}  // namespace ashbeam::policy
