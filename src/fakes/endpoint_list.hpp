// Endpoints as fake discovery lists them, and their form on the wire.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "base/time.hpp"

namespace ashbeam::fakes {

enum class ListedState : std::uint8_t { kUp, kDraining, kRemoved };

struct ListedEndpoint {
  std::string uid;
  std::string address;
  ListedState state = ListedState::kUp;
  unsigned version = 1;  // of the release that it runs
  Instant started_at;    // far past: long ago
};

// One line of a watch. `complete`: endpoints that are not named are removed.
std::string endpoint_list_json(unsigned revision, bool complete,
                               const std::vector<ListedEndpoint>& endpoints);

}  // namespace ashbeam::fakes
