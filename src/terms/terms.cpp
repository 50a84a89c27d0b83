#include "terms/terms.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace ashbeam {

namespace {

double parse(const std::string& path, const std::string& text) {
  double v = 0;
  const auto [end, err] = std::from_chars(text.data(), text.data() + text.size(), v);
  if (err != std::errc() || end != text.data() + text.size()) {
    throw SettingsError("settings: '" + path + "' is not a number: '" + text + "'");
  }
  return v;
}

}  // namespace

std::string listed_name(std::string name) {
  std::replace_if(
      name.begin(), name.end(), [](char c) { return c == ' ' || c == ','; }, '_');
  return name;
}

SettingsMap::SettingsMap(std::string_view lines) {
  while (!lines.empty()) {
    const std::size_t end = std::min(lines.find('\n'), lines.size());
    const std::string_view line = lines.substr(0, end);
    const std::size_t eq = line.find('=');
    if (eq != std::string_view::npos) values_[std::string(line.substr(0, eq))] = line.substr(eq + 1);
    lines.remove_prefix(std::min(end + 1, lines.size()));
  }
}

std::string SettingsMap::word(const std::string& path) const {
  const auto it = values_.find(path);
  if (it == values_.end()) throw SettingsError("settings: '" + path + "' is missing");
  return it->second;
}

std::string SettingsMap::word(const std::string& path, const char* otherwise) const {
  return values_.contains(path) ? word(path) : otherwise;
}

double SettingsMap::number(const std::string& path) const { return parse(path, word(path)); }

double SettingsMap::number(const std::string& path, double otherwise) const {
  return values_.contains(path) ? number(path) : otherwise;
}

std::vector<std::string> SettingsMap::words(const std::string& path) const {
  std::vector<std::string> all;
  std::string rest = word(path, "");
  while (!rest.empty()) {
    const std::size_t comma = std::min(rest.find(','), rest.size());
    all.push_back(rest.substr(0, comma));
    rest.erase(0, comma + 1);
  }
  return all;
}

std::vector<double> SettingsMap::numbers(const std::string& path) const {
  std::vector<double> all;
  for (const std::string& w : words(path)) all.push_back(parse(path, w));
  return all;
}

namespace {

constexpr double kMostRouters = 1 << 20;

// How many routers there are. What can't be is read as the most that the rest of the settings speak of: each
// router divides by it what all together may send a cold host, and one that thinks itself alone sends it all.
std::uint32_t read_routers(const SettingsMap& given, std::vector<std::string>& doubts) {
  const double told = given.number("replicasOfMe", 0);
  const double spoken_of = std::max({given.number("myNumber", 0) + 1, given.number("familyInfo.onVotes", 1),
                                     given.number("familyInfo.noesNeeded", 1), 1.0});
  // Not a number compares as neither.
  const bool good = told >= spoken_of && told <= kMostRouters;
  const double routers = good ? told : std::min(std::max(spoken_of, told > 0 ? told : 0), kMostRouters);
  if (!good)
    doubts.push_back("settings: 'replicasOfMe' is " + given.word("replicasOfMe", "missing") + ", read as " +
                     std::to_string(static_cast<std::uint32_t>(routers)) +
                     ": by own number and votes needed there are so many");
  return static_cast<std::uint32_t>(routers);
}

}  // namespace

RouterSettings read_router_settings(const SettingsMap& given, std::vector<std::string>* told) {
  RouterSettings t;
  std::vector<std::string> doubts;
  const std::uint32_t groups = given.count("grades.count");
  for (std::uint32_t i = 0; i < groups; ++i) {
    const std::string at = "grades." + std::to_string(i) + ".";
    RequestClass g;
    const std::string effect = given.word(at + "effect");
    if (effect == "idempotent") g.idempotency = Idempotency::kIdempotent;
    else if (effect == "deduplicated") g.idempotency = Idempotency::kKeyed;
    else if (effect == "at_most_once") g.idempotency = Idempotency::kUnsafe;
    else throw SettingsError("settings: '" + at + "effect' is unknown: '" + effect + "'");
    const std::string group = given.word(at + "group", "all");
    g.scope = group == "zone"   ? IdempotencyScope::kZone
              : group == "cell" ? IdempotencyScope::kCell
                                : IdempotencyScope::kAll;
    g.latency_objective = given.span(at + "goalTimeMs");
    g.client_timeout = given.span(at + "deadlineMs");
    g.key_retention = Span::ms(given.number(at + "memorySpanMs", 0));
    g.priority_weight = given.number(at + "worth", 1);
    g.late_priority_weight = given.number(at + "lateWorth", 0);
    t.request_classes.push_back(g);
  }
  if (groups == 0) throw SettingsError("settings: 'grades.count' is 0");
  const auto parties = static_cast<std::uint32_t>(given.number("parties.count", 0));
  for (std::uint32_t i = 0; i < parties; ++i) {
    t.tenant_quota_per_s.push_back(given.number("parties." + std::to_string(i) + ".allowancePerS", 0));
  }
  // One more, with no share, for whoever is none of them: no name may bring more than its settings give.
  if (parties > 0) t.tenant_quota_per_s.push_back(0);
  t.over_quota_weight = given.number("overShareWorth", 1);
  t.zone_count = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(given.words("zones").size()));
  t.machine_type_count = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(given.words("kinds").size()));
  t.zone = static_cast<std::uint32_t>(given.number("zone", 0));
  t.router_count = read_routers(given, doubts);
  t.router_index = static_cast<std::uint32_t>(given.number("myNumber", 0));
  t.must_watch_endpoints = given.word("discovery", "automatic") == "subscribe";
  t.may_cancel = given.flag("allowed.cancel");
  t.may_hedge = given.flag("allowed.secondCopies");
  t.may_send_retry_after = given.flag("allowed.retryAfter");
  t.max_retry_after = Span::ms(given.number("allowed.maxRetryAfterMs", 0));
  t.max_attempts = static_cast<std::uint32_t>(given.number("allowed.maxAttempts", 1));
  t.drain_grace = given.span("rules.drainGraceMs");
  t.endpoint_poll_interval = Span::ms(given.number("rules.askWithinMs", 1e9));
  t.slow_start_window = given.span("rules.fallMs");
  t.overload_multiple = given.number("rules.fallMultiple");
  t.initial_capacity = given.number("rules.startCapacity");
  t.slow_start_duration = given.span("rules.warmAfterMs");
  t.clock_tick = Span::ms(given.number("tickMs", 1));
  t.cross_zone_cost = given.number("prices.crossZone", 0);
  t.health_check_cost = given.number("prices.probe", 0);
  t.exposure_caps = given.numbers("familyInfo.mostShares");
  if (t.exposure_caps.empty()) throw SettingsError("settings: 'familyInfo.mostShares' is missing");
  t.stage_fractions = given.numbers("familyInfo.rings");
  t.exposure_per_class = given.word("familyInfo.counts", "all") == "per_lane";
  t.sticky_keys = given.flag("familyInfo.forwardOnly");
  t.promoted_by_clock = given.word("familyInfo.decidedBy", "single") == "clocked";
  t.rolling_update = given.word("familyInfo.style", "side_by_side") == "rolling";
  t.idempotent_only_stages = static_cast<std::uint32_t>(given.number("familyInfo.closedStages", 0));
  t.exposure_allowance = given.number("familyInfo.spareTries", 0);
  t.exposure_window = given.span("familyInfo.spanMs");
  t.vote_ttl = given.span("familyInfo.ballotTtlMs");
  t.bake_time = Span::ms(given.number("familyInfo.bakeMs", 2000));
  t.sample_interval = Span::ms(given.number("familyInfo.tallyEveryMs", 0));
  t.vote_answer_timeout = Span::ms(given.number("familyInfo.answerWaitMs", 2000));
  t.abort_votes_needed = static_cast<std::uint32_t>(given.number("familyInfo.noesNeeded", 1));
  t.platform_calls_per_s = given.number("familyInfo.callsPerS", 10);
  if (!(t.platform_calls_per_s > 0)) {
    doubts.push_back("settings: 'familyInfo.callsPerS' is " + given.word("familyInfo.callsPerS") +
                     ", read as 1");
    t.platform_calls_per_s = 1;
  }
  t.dispute_report_fraction = given.number("familyInfo.reportedShare", 0);
  t.outcome_sample_fraction = given.number("familyInfo.tallySample", 1);
  if (told) *told = std::move(doubts);
  return t;
}

WireSettings read_wire_settings(const SettingsMap& given) {
  WireSettings t;
  const auto names = [&](const std::string& list, std::vector<std::string>& to) {
    const auto count = static_cast<std::uint32_t>(given.number(list + ".count", 0));
    for (std::uint32_t i = 0; i < count; ++i)
      to.push_back(given.word(list + "." + std::to_string(i) + ".name"));
  };
  names("grades", t.request_classes);
  names("parties", t.tenants);
  t.zones = given.words("zones");
  t.machine_types = given.words("kinds");
  t.load_report_columns = given.words("stats.columns");
  t.connect_timeout = Span::ms(given.number("allowed.connectTimeoutMs", 250));
  t.endpoint_idle_timeout = Span::ms(given.number("allowed.connIdleMs", 30000));
  return t;
}

}  // namespace ashbeam
