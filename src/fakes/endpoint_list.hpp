// The endpoints that the fake discovery service lists, and their JSON form on the wire.
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
  unsigned version = 1;  // of the release that the endpoint runs
  Instant started_at;    // the default, the far past, stands for an endpoint that is long warm
};

// Returns one line of a watch. `complete` tells the router to remove all endpoints that the line does not
// name.
std::string endpoint_list_json(unsigned revision, bool complete,
                               const std::vector<ListedEndpoint>& endpoints);

}  // namespace ashbeam::fakes
