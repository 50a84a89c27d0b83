// The role of an endpoint in a release, and a pair of values with one for each role.
#pragma once
#include <cstdint>

namespace ashbeam::policy {

enum class ReleaseRole : std::uint8_t {
  kStable,  // Runs an older version than the newest release.
  kCanary,  // Runs the version of the newest release, or one that the platform has not announced yet.
};

template <class T>
struct PerRole {
  T stable{};
  T canary{};

  T& operator[](ReleaseRole role) { return role == ReleaseRole::kCanary ? canary : stable; }
  const T& operator[](ReleaseRole role) const { return role == ReleaseRole::kCanary ? canary : stable; }
};

}  // namespace ashbeam::policy
