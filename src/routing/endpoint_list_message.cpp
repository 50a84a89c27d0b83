#include "routing/endpoint_list_message.hpp"

#include <algorithm>

#include "protocol/json.hpp"
#include "terms/wire_settings.hpp"

namespace ashbeam {

namespace {

// A double represents all integers exactly up to 2^53, which is about 9e15.
constexpr double kMaxRevision = 9e15;

std::optional<EndpointState> endpoint_state_of(std::string_view word) {
  if (word == "up") return EndpointState::kReady;
  if (word == "draining") return EndpointState::kDraining;
  if (word == "removed") return EndpointState::kRemoved;
  return std::nullopt;
}

ListedEndpoint decode_entry(const Json& entry) {
  ListedEndpoint endpoint;
  endpoint.raw_json = entry.raw();
  endpoint.uid = entry.text("uid");
  endpoint.state = endpoint_state_of(entry.text("state"));
  endpoint.address = entry.text("endpoint");
  if (const auto version = entry.member("release")) endpoint.version = version->number();
  endpoint.boot_ms = entry.number("boot_ms", 0);
  endpoint.zone = sanitize_name(entry.text("az"));
  endpoint.machine_type = sanitize_name(entry.text("model"));
  endpoint.cell = static_cast<unsigned>(std::max(0.0, entry.number("pod_group", 0)));
  return endpoint;
}

}  // namespace

std::optional<EndpointList> decode_endpoint_list(std::string_view line) {
  const auto message = Json::parse(line);
  if (!message || !message->is_object()) return std::nullopt;
  const auto entries = message->member("targets");
  const auto complete = message->member("all");
  const double revision = message->number("rev", -1);
  if (!entries || !entries->is_array()) return std::nullopt;
  if (!complete || !complete->boolean()) return std::nullopt;
  if (revision < 0 || revision > kMaxRevision) return std::nullopt;
  EndpointList list;
  list.revision = static_cast<std::uint64_t>(revision);
  list.complete = *complete->boolean();
  entries->for_each_element([&](const Json& entry) { list.endpoints.push_back(decode_entry(entry)); });
  return list;
}

}  // namespace ashbeam
