#include "program/environment.hpp"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>

#include "transport/connection.hpp"

namespace ashbeam {

namespace {

std::string plain(const Json& value) {  // as the settings' text has it
  return listed_name(value.text().value_or(std::string(value.raw())));
}

void put(SettingsMap& pairs, const std::string& path, const Json& value) {
  const std::string inside = path.empty() ? "" : path + ".";
  if (value.is_object()) {
    value.for_each_member([&](const std::string& name, const Json& v) { put(pairs, inside + name, v); });
  } else if (value.is_array()) {
    std::string joined;
    std::size_t count = 0, objects = 0;
    value.for_each_element([&](const Json& v) {
      if (v.is_object()) ++objects, put(pairs, inside + std::to_string(count), v);
      else joined.append(count > 0 ? "," : "").append(plain(v));
      ++count;
    });
    if (objects > 0) pairs.put(inside + "count", std::to_string(count));
    else pairs.put(path, joined);
  } else {
    pairs.put(path, plain(value));
  }
}

std::uint64_t seed_of(const std::optional<Json>& given) {
  const std::string text = given ? given->text().value_or(std::string(given->raw())) : "";
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (error != std::errc() || end != text.data() + text.size())
    throw StartError("configuration: 'seed' is no seed");
  return seed;
}

}  // namespace

SettingsMap pairs_of(const Json& settings) {
  SettingsMap pairs;
  put(pairs, "", settings);
  return pairs;
}

Start start_from(std::string_view configuration, InstanceSettings site) {
  const auto all = Json::parse(configuration);
  if (!all || !all->is_object()) throw StartError("configuration: not a JSON object");
  const auto settings = all->member("settings"), limits = all->member("limits"),
             desk = all->member("release_api");
  if (!settings || !settings->is_object()) throw StartError("configuration: 'settings' is missing");
  if (!desk || desk->text("address").empty())
    throw StartError("configuration: 'release_api.address' is missing");
  Start start;
  site.seed = seed_of(all->member("seed"));
  site.release_platform_address = desk->text("address");
  if (!all->text("discovery").empty()) site.discovery_address = all->text("discovery");
  for (const auto& [what, at] : {std::pair{"release_api.address", site.release_platform_address},
                                 {"discovery", site.discovery_address}}) {
    if (!at.empty() && !is_numeric_address(at))
      throw StartError(std::string("configuration: '") + what + "' is no numeric address");
  }
  if (const auto news = desk->member("news")) site.configured_release_state = news->raw();
  if (const auto known = all->member("known")) site.configured_endpoint_list = known->raw();
  start.site = std::move(site);
  start.settings = pairs_of(*settings);
  if (limits)
    start.sockets = static_cast<std::size_t>(std::clamp(limits->number("sockets", 1024), 64.0, 1e6));
  return start;
}

Start read_start(const char* (*variable)(const char*)) {
  const auto need = [&](const char* name) {
    const char* const value = variable(name);
    if (!value || !*value) throw StartError(std::string(name) + " is not set");
    return std::string(value);
  };
  InstanceSettings site;
  site.name = need("PROXY_NAME");
  site.listen_address = need("PROXY_LISTEN");
  site.discovery_address = need("PROXY_DISCOVERY");
  const std::string path = need("PROXY_CONFIG");
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) throw StartError("PROXY_CONFIG: '" + path + "' can't be read");
  return start_from(text.str(), std::move(site));
}

// Sockets: a few for ourselves, the rest in halves: each hit in hand holds one of both kinds.
Limits limits_for(std::size_t sockets, const WireSettings& door, const RouterSettings& terms) {
  constexpr std::size_t kOwn = 32;
  Limits limits;
  limits.max_client_connections = (sockets - kOwn) / 2;
  limits.max_idle_client_connections = sockets / 8;
  limits.max_endpoint_connections = (sockets - kOwn) / 2;
  limits.connect_timeout = door.connect_timeout;
  limits.endpoint_idle_timeout = std::min(limits.endpoint_idle_timeout, door.endpoint_idle_timeout * 0.8);
  limits.platform_answer_timeout = terms.vote_answer_timeout;
  Span longest;
  for (const RequestClass& g : terms.request_classes) {
    limits.shutdown_timeout =
        std::max(limits.shutdown_timeout, g.client_timeout + limits.shutdown_accept_time + Span::ms(250));
    longest = std::max(longest, g.client_timeout);
  }
  // Two fifths of the time within which the settings have each router ask once, 4 s at the most: then
  // processes that start together do not fill discovery's queue. One alone takes none.
  constexpr double kManyRouters = 10;
  limits.max_initial_poll_delay = std::min(terms.endpoint_poll_interval * 0.4, Span::s(4)) *
                                  std::min(1.0, (terms.router_count - 1) / kManyRouters);
  limits.earliest_kill = std::min(longest, Span::s(3)) + Span::ms(700);
  return limits;
}

}  // namespace ashbeam
