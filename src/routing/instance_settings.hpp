// Settings of one router's own instance, from its environment: where it listens, and whom it connects to.
#pragma once
#include <cstdint>
#include <string>

namespace ashbeam {

// Addresses are "host:port", numeric.
struct InstanceSettings {
  std::string name;
  std::string listen_address;
  std::string discovery_address;
  std::string release_platform_address;
  std::uint64_t seed = 0;                // of the random numbers
  std::string configured_endpoint_list;  // JSON in discovery's form; empty: none
  std::string configured_release_state;  // JSON in the release platform's form; empty: none
};

}  // namespace ashbeam
