// The settings of one router instance, which come from its environment: the address that it listens at, and
// the addresses that it connects to.
#pragma once
#include <cstdint>
#include <string>

namespace ashbeam {

// Each address has the form "host:port" with a numeric host.
struct InstanceSettings {
  std::string name;
  std::string listen_address;
  std::string discovery_address;
  std::string release_platform_address;
  std::uint64_t seed = 0;                // of the random number generators
  std::string configured_endpoint_list;  // JSON in discovery's form; empty: none
  std::string configured_release_state;  // JSON in the release platform's form; empty: none
};

}  // namespace ashbeam
