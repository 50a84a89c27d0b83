// The endpoint list as discovery sends it, decoded to typed values. The only place that knows discovery's
// JSON keys and state words.
//
// Pure functions without I/O. Errors: std::nullopt where a line is no list; an entry that can't be used is
// kept as it is, and says so by its missing uid or state. Source: the protocol's discovery pages.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "policy/types.hpp"

namespace ashbeam {

// One entry of the list.
struct ListedEndpoint {
  std::string uid;
  std::optional<EndpointState> state;
  std::string address;            // empty: as listed before
  std::optional<double> version;  // of the release; none: as listed before
  double boot_ms = 0;             // Unix time of the process' start; 0: long ago
  std::string zone;
  std::string machine_type;
  unsigned cell = 0;
  std::string_view raw_json;  // as it came; valid as long as the line

  // Does it name an endpoint, and a known state?
  bool has_uid_and_state() const { return !uid.empty() && state.has_value(); }
  // Is all there that a correct entry has?
  bool is_well_formed() const { return has_uid_and_state() && version.value_or(-1) >= 0; }
};

struct EndpointList {
  std::uint64_t revision = 0;
  bool complete = false;  // names every endpoint; else only those that have changed
  std::vector<ListedEndpoint> endpoints;
};

// `line` has to outlive the result.
std::optional<EndpointList> decode_endpoint_list(std::string_view line);

}  // namespace ashbeam
