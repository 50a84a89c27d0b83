// Decodes the endpoint list that discovery sends as JSON. No other module knows discovery's member names and
// state words.
//
// The functions are pure and do no I/O. An entry that cannot be used is kept in the list, without a uid or a
// state. Source: the protocol's discovery pages.
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
  std::string uid;                     // empty: missing
  std::optional<EndpointState> state;  // none: missing or unknown
  std::string address;                 // empty: unchanged since the entry before
  std::optional<double> version;       // of the release; none: unchanged since the entry before
  double boot_ms = 0;                  // Unix time of the process's start; 0: long ago
  std::string zone;
  std::string machine_type;
  unsigned cell = 0;
  std::string_view raw_json;  // the entry as received; refers to the decoded line

  bool has_uid_and_state() const { return !uid.empty() && state.has_value(); }
  // Returns whether the entry has every member that a valid entry has.
  bool is_well_formed() const { return has_uid_and_state() && version.value_or(-1) >= 0; }
};

struct EndpointList {
  std::uint64_t revision = 0;
  // True if the list names every endpoint, false if it names only those that have changed.
  bool complete = false;
  std::vector<ListedEndpoint> endpoints;
};

// Returns std::nullopt if `line` is no endpoint list. `line` must outlive the result.
std::optional<EndpointList> decode_endpoint_list(std::string_view line);

}  // namespace ashbeam
