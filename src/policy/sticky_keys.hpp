// Keeps the requests of a sticky key from going back to an earlier release version.
//
// For each key, the newest version that has answered it is remembered, and later requests of the key go only
// to that version or newer ones. A rollback releases the keys that are bound to the version rolled back or to
// earlier ones. At most kMaxKeys keys are remembered. Requests of further keys do not go to a canary.
// Performs no I/O and reports no errors.
#pragma once
#include <algorithm>
#include <cstdint>

#include "base/index_map.hpp"
#include "policy/release_tracker.hpp"
#include "policy/request.hpp"

namespace ashbeam::policy {

class StickyKeys {
 public:
  // If not `enabled`, keys are ignored and allows() always returns true.
  explicit StickyKeys(bool enabled) : enabled_(enabled) {}

  // Returns whether the request has a sticky key that must be observed.
  bool applies_to(const Request& request) const { return enabled_ && request.sticky_key != 0; }

  // Called when an endpoint of `version` has answered the request. `version` must not be older than the
  // newest release.
  void bind(const Request& request, ReleaseVersion version) {
    if (!applies_to(request)) return;
    const std::uint32_t bound = versions_.find(request.sticky_key);
    versions_.put(request.sticky_key, bound == IndexMap::kNone ? version : std::max(version, bound));
  }
  // Returns whether the request may go to an endpoint of `version`.
  bool allows(const Request& request, ReleaseVersion version, const ReleaseTracker& release) const {
    if (!applies_to(request)) return true;
    const std::uint32_t bound = versions_.find(request.sticky_key);
    if (bound == IndexMap::kNone) return versions_.size() < kMaxKeys || !release.is_capped(version);
    return bound <= release.last_rolled_back() || version >= bound;
  }

 private:
  static constexpr std::size_t kMaxKeys = std::size_t{1} << 17U;

  bool enabled_;
  IndexMap versions_;  // The newest version that has answered each key.
};

}  // namespace ashbeam::policy
