// Sticky keys: once a version has answered a key, the key never goes to an earlier one.
//
// Job: remember, for each key, the newest version that has answered it, and say where its requests may go. A
// rollback frees the keys of the version rolled back and of earlier ones. Up to kMaxKeys are remembered; new
// keys beyond them go to no canary. Units: none. No I/O. Errors: none.
#pragma once
#include <algorithm>
#include <cstdint>

#include "base/index_map.hpp"
#include "policy/release_tracker.hpp"
#include "policy/request.hpp"

namespace ashbeam::policy {

class StickyKeys {
 public:
  // Not enabled, it allows everything.
  explicit StickyKeys(bool enabled) : enabled_(enabled) {}

  bool applies_to(const Request& request) const { return enabled_ && request.sticky_key != 0; }

  // An endpoint of `version`, which is not older than the newest release, has answered the request.
  void bind(const Request& request, ReleaseVersion version) {
    if (!applies_to(request)) return;
    const std::uint32_t bound = versions_.find(request.sticky_key);
    versions_.put(request.sticky_key, bound == IndexMap::kNone ? version : std::max(version, bound));
  }
  bool allows(const Request& request, ReleaseVersion version, const ReleaseTracker& release) const {
    if (!applies_to(request)) return true;
    const std::uint32_t bound = versions_.find(request.sticky_key);
    if (bound == IndexMap::kNone) return versions_.size() < kMaxKeys || !release.is_capped(version);
    return bound <= release.last_rolled_back() || version >= bound;
  }

 private:
  static constexpr std::size_t kMaxKeys = std::size_t{1} << 17U;

  bool enabled_;
  IndexMap versions_;  // by key
};

}  // namespace ashbeam::policy
