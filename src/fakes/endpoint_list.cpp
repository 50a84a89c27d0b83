#include "fakes/endpoint_list.hpp"

#include <algorithm>

namespace ashbeam::fakes {

namespace {

const char* wire_name(ListedState state) {
  switch (state) {
    case ListedState::kUp:
      return "up";
    case ListedState::kDraining:
      return "draining";
    case ListedState::kRemoved:
      return "removed";
  }
  return "";
}

std::string endpoint_json(const ListedEndpoint& endpoint) {
  const std::int64_t started_at_ms = std::max<std::int64_t>(0, endpoint.started_at.us() / 1000);
  return R"({"uid":")" + endpoint.uid + R"(","endpoint":")" + endpoint.address +
         R"(","az":"one","model":"usual","pod_group":1,"state":")" + wire_name(endpoint.state) +
         R"(","capacity_hint":1.0,"boot_ms":)" + std::to_string(started_at_ms) + R"(,"release":)" +
         std::to_string(endpoint.version) + "}";
}

}  // namespace

std::string endpoint_list_json(unsigned revision, bool complete,
                               const std::vector<ListedEndpoint>& endpoints) {
  std::string entries;
  for (const ListedEndpoint& endpoint : endpoints) {
    if (!entries.empty()) entries += ",";
    entries += endpoint_json(endpoint);
  }
  return R"({"rev":)" + std::to_string(revision) + R"(,"all":)" + (complete ? "true" : "false") +
         R"(,"targets":[)" + entries + "]}";
}

}  // namespace ashbeam::fakes
