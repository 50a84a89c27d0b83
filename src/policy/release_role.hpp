// Which side of a release an endpoint is on, and a value for each side.
#pragma once
#include <cstdint>

namespace ashbeam::policy {

enum class ReleaseRole : std::uint8_t {
  kStable,  // runs a version before the newest
  kCanary,  // runs the newest version, or one that the platform has not announced yet
};

template <class T>
struct PerRole {
  T stable{};
  T canary{};

  T& operator[](ReleaseRole role) { return role == ReleaseRole::kCanary ? canary : stable; }
  const T& operator[](ReleaseRole role) const { return role == ReleaseRole::kCanary ? canary : stable; }
};

}  // namespace ashbeam::policy
